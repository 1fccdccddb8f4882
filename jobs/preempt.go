package jobs

import (
	"time"

	"github.com/catkinrudder/catkinrudder/backfill"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
)

// mayPreempt reports whether the item runs and may be stopped for online requests.
func (u *run) mayPreempt() bool {
	return u.backend != "" && (u.answered || u.progress.UnansweredStops < maxUnansweredStops)
}

// preempt stops batch runs at backend servers where online requests need more slots
// than are left.
func (r *runner) preempt(now time.Time) {
	byBackend := make(map[string][]*run)
	for _, u := range r.runs {
		if u.mayPreempt() {
			byBackend[u.backend] = append(byBackend[u.backend], u)
		}
	}
	if len(byBackend) == 0 {
		return
	}
	r.s.opts.AllBackends(func(b catalog.Backend) {
		if runs := byBackend[b.ID]; len(runs) > 0 {
			r.preemptAt(b, runs, now)
		}
	})
}

// preemptAt stops runs at one backend server. Runs that are stopped already count until they
// have ended.
func (r *runner) preemptAt(b catalog.Backend, runs []*run, now time.Time) {
	excess := r.s.opts.Table.ExcessBatch(r.s.opts.Instance, b, now)
	var candidates []*run
	var described []backfill.Run
	for _, u := range runs {
		if u.stopping {
			excess--
			continue
		}
		candidates = append(candidates, u)
		described = append(described, backfill.Run{Answered: u.answered, Item: r.describe(u, now)})
	}
	if excess <= 0 {
		return
	}
	load := r.s.opts.Table.Load(b, now)
	for _, i := range backfill.Cut(described, excess) {
		u := candidates[i]
		reason := cutForOnline
		if load.Online <= u.placedBeside {
			reason = cutForBatch
		}
		event.Log(r.s.opts.Logger, event.BatchPreempted, "job", u.ref.job, "item", u.ref.item, "backend", b.ID, "excess", excess,
			"online", load.Online, "batch", load.Batch, "for", reason, "remaining", described[i].Remaining)
		r.s.count(RunCut, reason)
		u.stopping = true
		u.cancel()
	}
}

// describe describes an item for a decision of package backfill.
func (r *runner) describe(u *run, now time.Time) backfill.Item {
	return backfill.Item{Remaining: r.estimates.remaining(u.route, u.progress.Events), Left: u.due.Sub(now)}
}
