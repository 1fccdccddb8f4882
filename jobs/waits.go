package jobs

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
)

// WaitReason is why an open item of an owned shard has no run at present.
type WaitReason uint8

// The reasons, in the order of WaitReasons.
const (
	// notWaiting: the item runs, or may start.
	notWaiting WaitReason = iota
	// WaitHeld: the quarantine refused the item when the runner last looked at it.
	WaitHeld
	// WaitRetryDelay: the delay after the item's last run is not over.
	WaitRetryDelay
	// WaitOrigin: the software that has begun the item has no free slot.
	WaitOrigin
	// WaitGap: online requests will probably need the free slots.
	WaitGap
	// WaitNoSlot: no backend server has a free slot, or each has got another item in this cycle.
	WaitNoSlot
	// WaitRunLimit: this process runs no more items.
	WaitRunLimit
	// WaitResultPending: the item has a result that is not on the log yet.
	WaitResultPending
	// WaitNoRoute: the configuration has no route for the item, or there is none yet.
	WaitNoRoute
	// WaitNoContent: the job is accepted, and its content has not been read yet.
	WaitNoContent
	waitReasonsEnd
	// silentRun marks the log lines of items that have a run which has received nothing for long.
	silentRun
)

var waitReasonNames = [...]string{
	WaitHeld: "held", WaitRetryDelay: "retry_delay", WaitOrigin: "origin", WaitGap: "gap", WaitNoSlot: "no_slot", WaitRunLimit: "run_limit",
	WaitResultPending: "result_pending", WaitNoRoute: "no_route", WaitNoContent: "no_content", silentRun: "silent_run",
}

func (w WaitReason) String() string { return waitReasonNames[w] }

// WaitReasons returns all reasons.
func WaitReasons() []WaitReason {
	var all []WaitReason
	for w := notWaiting + 1; w < waitReasonsEnd; w++ {
		all = append(all, w)
	}
	return all
}

const (
	// surveyInterval is the time between two surveys of the open items, which is also how exactly
	// the beginning of a wait is known.
	surveyInterval = 500 * time.Millisecond
	// firstWaitLine is the age at which a wait is first logged; each further line comes at twice the age
	// of the last one.
	firstWaitLine = 5 * time.Second
	// maxWaitLines bounds the lines of one reason in a survey; those of the oldest waits are written.
	maxWaitLines = 2
)

// Work is what a process does with the open items of its shards.
type Work struct {
	// Runs counts the runs in progress, OldestEvent is the earliest time of the last events of those
	// runs; the start of a run counts as an event.
	Runs        int
	OldestEvent time.Time
	// OwnedShards counts the shards that this process owns, ClaimedShards those that it takes over.
	OwnedShards, ClaimedShards int

	waiting [waitReasonsEnd]int
	oldest  [waitReasonsEnd]time.Time
}

// Waiting returns how many items wait for a reason.
func (w *Work) Waiting(reason WaitReason) int { return w.waiting[reason] }

// OldestSince returns since when the item waits that has waited for a reason for the longest time; zero if
// there is none.
func (w *Work) OldestSince(reason WaitReason) time.Time { return w.oldest[reason] }

func (w *Work) addWait(reason WaitReason, since time.Time) {
	w.waiting[reason]++
	w.oldest[reason] = earliest(w.oldest[reason], since)
}

func (w *Work) addRun(lastEvent time.Time) {
	w.Runs++
	w.OldestEvent = earliest(w.OldestEvent, lastEvent)
}

// earliest returns the earlier one of two times, of which a may be zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// itemWait is the wait of one item.
type itemWait struct {
	reason WaitReason
	// since is when the item began to wait for reason, idle since when it has had no run.
	since, idle time.Time
	// lineAt and idleLineAt are the ages, by since and idle, at which the next line is due.
	lineAt, idleLineAt time.Duration
	// survey is the survey that has last found the item waiting.
	survey uint64
}

// due reports whether a log line is due.
func (w itemWait) due(now time.Time) bool {
	return now.Sub(w.since) >= w.lineAt || now.Sub(w.idle) >= w.idleLineAt
}

// logged returns the wait after a line.
func (w itemWait) logged(now time.Time) itemWait {
	w.lineAt = nextLine(w.lineAt, now.Sub(w.since))
	w.idleLineAt = nextLine(w.idleLineAt, now.Sub(w.idle))
	return w
}

// nextLine returns the age at which the line after that at an age is due.
func nextLine(at, age time.Duration) time.Duration {
	for at <= age {
		at *= 2
	}
	return at
}

// waits follows why open items have no run. The runner's lock guards it, except for work.
type waits struct {
	survey   uint64
	surveyed time.Time
	items    map[itemRef]itemWait
	// lines are the oldest waits of each reason whose log lines are due in this survey, current is what it
	// has found.
	lines   [silentRun + 1][]waitLine
	current Work

	mu   sync.Mutex
	work Work
}

// waitLine is a log line about an item; j and u may be nil.
type waitLine struct {
	ref  itemRef
	wait itemWait
	j    *openJob
	u    *run
}

// before reports whether a line is written rather than another one of the same reason.
func (l *waitLine) before(m *waitLine) bool {
	return cmp.Or(l.wait.idle.Compare(m.wait.idle), cmp.Compare(l.ref.job, m.ref.job), cmp.Compare(l.ref.item, m.ref.item)) < 0
}

func newWaits() *waits { return &waits{items: make(map[itemRef]itemWait)} }

// begin begins a survey unless the last one is recent.
func (w *waits) begin(now time.Time) bool {
	if !w.surveyed.IsZero() && now.Sub(w.surveyed) < surveyInterval {
		return false
	}
	w.survey++
	w.surveyed, w.current = now, Work{}
	return true
}

// end forgets the items that no longer wait, and publishes what the survey has found.
func (w *waits) end() {
	for ref, wait := range w.items {
		if wait.survey != w.survey {
			delete(w.items, ref)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work = w.current
}

// published returns what the last survey has found.
func (w *waits) published() Work {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.work
}

// found records that the survey has found an item waiting. It returns the wait, and whether a line is due.
func (w *waits) found(ref itemRef, reason WaitReason, now time.Time) (wait itemWait, due bool) {
	wait, known := w.items[ref]
	if !known {
		wait = itemWait{idle: now, idleLineAt: firstWaitLine}
	}
	if wait.reason != reason {
		wait.reason, wait.since, wait.lineAt = reason, now, firstWaitLine
	}
	wait.survey = w.survey
	w.items[ref] = wait
	w.current.addWait(reason, wait.since)
	return wait, wait.due(now)
}

// silent records that a run has received nothing since lastEvent. It returns the wait for its next event,
// and whether a line is due.
func (w *waits) silent(ref itemRef, lastEvent, now time.Time) (wait itemWait, due bool) {
	wait, known := w.items[ref]
	if !known || wait.reason != silentRun || !wait.since.Equal(lastEvent) {
		wait = itemWait{reason: silentRun, since: lastEvent, idle: lastEvent, lineAt: firstWaitLine, idleLineAt: firstWaitLine}
	}
	wait.survey = w.survey
	w.items[ref] = wait
	return wait, wait.due(now)
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

// ownWait returns the reason that an item itself has not to be started: it has a result, or its last run has
// just ended.
func (u *run) ownWait(now time.Time) WaitReason {
	switch {
	case u.result != nil:
		return WaitResultPending
	case now.Before(u.notBefore):
		return WaitRetryDelay
	}
	return notWaiting
}

// unlessHeld returns WaitHeld for an item that the quarantine has refused and that it has not been asked about
// again, and reason for others.
func (u *run) unlessHeld(reason WaitReason) WaitReason {
	if u != nil && u.wait == WaitHeld {
		return WaitHeld
	}
	return reason
}

// lookedAt records why the runner has not started an item in a cycle.
func (u *run) lookedAt(reason WaitReason, cycle uint64) { u.wait, u.looked = reason, cycle }

// beginRun records that a run begins.
func (u *run) beginRun(now time.Time) {
	u.began = now
	u.lastEvent.Store(0)
}

// recordEvent records that the run in progress has received an event.
func (u *run) recordEvent() { u.lastEvent.Store(int64(time.Since(u.began))) }

// lastEventAt returns when the run in progress has received its last event, or when it began.
func (u *run) lastEventAt() time.Time { return u.began.Add(time.Duration(u.lastEvent.Load())) }

// reason returns why a search has not found a backend server.
func (s search) reason() WaitReason {
	switch s {
	case waitsForOrigin:
		return WaitOrigin
	case waitsForGap:
		return WaitGap
	case noSlot:
		return WaitNoSlot
	default:
		return notWaiting
	}
}

// skipReason returns why a pass has not looked at the items of a route that are left.
func (p *pass) skipReason(route *catalog.Route) WaitReason {
	if !p.allFull(route) {
		return WaitRunLimit
	}
	if len(route.Splits) == 0 {
		return WaitNoSlot
	}
	return p.full[route.Splits[0].Service]
}

// waitOf returns why an item has no run after the passes of a cycle; u is nil if the runner has never looked at
// the item.
func (r *runner) waitOf(j *openJob, item int, u *run, passes [2]*pass, now time.Time) WaitReason {
	events := j.progress[item].Events
	if u != nil {
		if u.backend != "" {
			return notWaiting
		}
		if own := u.ownWait(now); own != notWaiting {
			return own
		}
		if u.looked == r.cycles {
			return u.wait
		}
		events = u.progress.Events
	}
	p := passes[1]
	if r.estimates.meetsDeadline(j.job.Route, events, j.due.Sub(now)) {
		p = passes[0]
	}
	return u.unlessHeld(p.skipReason(j.route))
}

// surveyWaits records after the passes of a cycle why open items have no run, and logs the oldest waits.
func (r *runner) surveyWaits(open, withoutRoute []openJob, passes [2]*pass, now time.Time) {
	if !r.waits.begin(now) {
		return
	}
	for ref, u := range r.runs {
		r.surveyRun(ref, u, now)
	}
	for i := range withoutRoute {
		r.surveyJob(&withoutRoute[i], now, func(int, *run) WaitReason { return WaitNoRoute })
	}
	for i := range open {
		j := &open[i]
		r.surveyJob(j, now, func(item int, u *run) WaitReason { return r.waitOf(j, item, u, passes, now) })
	}
	r.s.table.withoutContent(r.ownsJob, func(ref itemRef) { r.surveyWait(ref, WaitNoContent, nil, nil, now) })
	r.waits.takeLines(now, func(l waitLine) { r.logWait(l, now) })
	r.waits.end()
}

// surveyRun records a run in progress, or a result that is not on the log yet. Those of jobs that have been given
// up count too.
func (r *runner) surveyRun(ref itemRef, u *run, now time.Time) {
	switch {
	case u.backend != "":
		at := u.lastEventAt()
		r.waits.current.addRun(at)
		if now.Sub(at) < firstWaitLine {
			return
		}
		if wait, due := r.waits.silent(ref, at, now); due {
			r.waits.propose(waitLine{ref: ref, wait: wait, u: u})
		}
	case u.result != nil:
		r.surveyWait(ref, WaitResultPending, nil, u, now)
	}
}

// surveyJob records why the items of a job wait that neither run nor have a result.
func (r *runner) surveyJob(j *openJob, now time.Time, reason func(item int, u *run) WaitReason) {
	for _, item := range j.items {
		ref := itemRef{j.id, item}
		u := r.runs[ref]
		if u != nil && (u.backend != "" || u.result != nil) {
			continue
		}
		if why := reason(item, u); why != notWaiting {
			r.surveyWait(ref, why, j, u, now)
		}
	}
}

func (r *runner) surveyWait(ref itemRef, reason WaitReason, j *openJob, u *run, now time.Time) {
	if wait, due := r.waits.found(ref, reason, now); due {
		r.waits.propose(waitLine{ref, wait, j, u})
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
		kv := []any{"request", l.u.request, "route", l.u.route, "events", l.u.progress.Events}
		if !l.u.due.IsZero() {
			kv = append(kv, "due_in", l.u.due.Sub(now))
		}
		switch l.wait.reason {
		case WaitHeld:
			kv = append(kv, "suspect", l.u.suspect)
		case silentRun:
			kv = append(kv, "backend", l.u.backend, "answered", l.u.answered, "stopping", l.u.stopping, "began", now.Sub(l.u.began))
		}
		return kv
	case l.j != nil:
		kv := []any{"request", l.j.content[l.ref.item].ID, "route", l.j.job.Route, "events", l.j.progress[l.ref.item].Events}
		if !l.j.due.IsZero() {
			kv = append(kv, "due_in", l.j.due.Sub(now))
		}
		return kv
	}
	return nil
}
