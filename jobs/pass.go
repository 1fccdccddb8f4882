package jobs

import (
	"context"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
)

// giveUpExpired gives up the items of jobs whose retention is over, and returns the other jobs.
func (r *runner) giveUpExpired(open []openJob, now time.Time) []openJob {
	retained := open[:0]
	for _, j := range open {
		if j.route.JobRetention <= 0 || now.Before(j.submitted.Add(j.route.JobRetention+clockSkewMargin)) {
			retained = append(retained, j)
			continue
		}
		r.giveUp(j, "retention is over")
	}
	return retained
}

// giveUp gives up the items of a job that do not run and have no result.
func (r *runner) giveUp(j openJob, cause string) {
	for _, item := range j.items {
		if u := r.runFor(j, item); u.result == nil && u.backend == "" {
			r.setResult(u, Result{Item: item, Text: u.progress.Text}, cause)
		}
	}
}

// enqueueResults passes the results of runs to the writers of their shards again, whose epochs may have
// changed.
func (r *runner) enqueueResults() {
	for _, u := range r.runs {
		if u.result != nil {
			r.enqueueResult(u)
		}
	}
}

// pass is one pass over the open jobs in a cycle. Over all jobs, items that can be complete in time go
// first; inTime selects either those or the others.
type pass struct {
	inTime bool
	// used holds the backend servers that already got an item in this cycle: each gets one at most.
	used map[string]bool
	// tried states that a server was chosen for the trial of a held item in this pass.
	tried bool
	// full holds the services that take no more items in this pass, and why.
	full map[string]WaitReason
}

func newPass(inTime bool, used map[string]bool) *pass {
	return &pass{inTime: inTime, used: used, full: make(map[string]WaitReason)}
}

// allFull reports whether no service of a route takes more items.
func (p *pass) allFull(route *catalog.Route) bool {
	return !slices.ContainsFunc(route.Splits, func(s catalog.Split) bool { return p.full[s.Service] == notWaiting })
}

// startItems starts the items of a job that find a slot. It returns false if this process runs no more
// items. Services that have no room are left out of the rest of the pass; the items of others go on.
func (r *runner) startItems(ctx context.Context, j openJob, p *pass, now time.Time) bool {
	for _, item := range j.items {
		if p.allFull(j.route) {
			return true
		}
		u := r.runFor(j, item)
		reason, may := r.mayStart(j, u, p, now)
		if may {
			if r.runningCount() >= r.maxRuns {
				u.lookedAt(WaitRunLimit, r.cycles)
				return false
			}
			reason = r.startItem(ctx, j, u, p, now)
		}
		if may || reason != notWaiting {
			u.lookedAt(reason, r.cycles)
		}
	}
	return true
}

// mayStart reports whether an item may start in a pass if there is a slot for it, and if not, why; there is no reason
// if it runs, or belongs to the other pass.
func (r *runner) mayStart(j openJob, u *run, p *pass, now time.Time) (WaitReason, bool) {
	if own := u.ownWait(now); own != notWaiting || u.backend != "" {
		return own, false
	}
	if p.inTime != r.estimates.meetsDeadline(j.job.Route, u.progress.Events, j.due.Sub(now)) {
		return notWaiting, false
	}
	if len(p.full) > 0 {
		if reason := p.full[r.serviceOf(j, u)]; reason != notWaiting {
			return u.unlessHeld(reason), false
		}
	}
	if v := r.s.opts.Quarantine.Check(u.suspects, balance.Batch); v.Refuses() || v.Held() && p.tried { // it waits for its trial
		u.suspect = v.Suspect
		return WaitHeld, false
	}
	return notWaiting, true
}
