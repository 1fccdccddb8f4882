package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/event"
)

// waitLine is a log line about an item; j and u may be nil.
type waitLine struct {
	ref  itemRef
	wait itemWait
	j    *openJob
	u    *run
}

// before reports whether an item has waited longer than another one for the same reason, so that its line goes first.
func (l *waitLine) before(m *waitLine) bool {
	return cmp.Or(l.wait.idle.Compare(m.wait.idle), cmp.Compare(l.ref.job, m.ref.job), cmp.Compare(l.ref.item, m.ref.item)) < 0
}

// propose adds a line that is due, unless maxWaitLines older waits have one.
func (w *waits) propose(l waitLine) {
	lines := w.lines[l.wait.reason]
	at := 0
	for at < len(lines) && lines[at].before(&l) {
		at++
	}
	if at < maxWaitLines {
		w.lines[l.wait.reason] = slices.Insert(lines[:min(len(lines), maxWaitLines-1)], at, l)
	}
}

// takeLines passes the lines of this survey to write. The next lines of those items are due later.
func (w *waits) takeLines(now time.Time, write func(l waitLine)) {
	for reason, lines := range w.lines {
		for _, l := range lines {
			w.items[l.ref] = l.wait.logged(now)
			write(l)
		}
		clear(lines)
		w.lines[reason] = lines[:0]
	}
}

// logWait logs why an item waits.
func (r *runner) logWait(l waitLine, now time.Time) {
	kv := []any{"job", l.ref.job, "item", l.ref.item, "shard", shardOf(l.ref.job, len(r.s.shards)), "reason", l.wait.reason,
		"for", now.Sub(l.wait.since), "idle", now.Sub(l.wait.idle)}
	kv = append(kv, l.itemFields(now)...)
	if l.wait.reason < waitReasonsEnd {
		kv = append(kv, "items", r.waits.current.Waiting(l.wait.reason))
	}
	event.Log(r.s.opts.Logger, event.ItemWaits, kv...)
}

// itemFields returns the fields of a line that describe the item, as far as it is known.
func (l *waitLine) itemFields(now time.Time) []any {
	switch {
	case l.u != nil:
		kv := describeItem(l.u.request, l.u.route, l.u.progress.Events, l.u.due, now)
		switch l.wait.reason {
		case WaitHeld:
			kv = append(kv, "suspect", l.u.suspect)
		case silentRun:
			kv = append(kv, "backend", l.u.backend, "answered", l.u.answered, "stopping", l.u.stopping, "began", now.Sub(l.u.began))
		}
		return kv
	case l.j != nil:
		return describeItem(l.j.content[l.ref.item].ID, l.j.job.Route, l.j.progress[l.ref.item].Events, l.j.due, now)
	}
	return nil
}

// describeItem returns the fields that any line about an item has; due may be zero.
func describeItem(request, route string, events int, due, now time.Time) []any {
	kv := []any{"request", request, "route", route, "events", events}
	if !due.IsZero() {
		kv = append(kv, "due_in", due.Sub(now))
	}
	return kv
}
