package jobs

import (
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
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

// ownWait returns why an item must not start whatever slots are free: it has a result, or its last run has
// just ended. It returns notWaiting if neither is so.
func (u *run) ownWait(now time.Time) WaitReason {
	switch {
	case u.result != nil:
		return WaitResultPending
	case now.Before(u.notBefore):
		return WaitRetryDelay
	}
	return notWaiting
}

// unlessHeld returns reason, or WaitHeld if the quarantine refused the item when it was last asked: a pass that has
// no slot does not ask again.
func (u *run) unlessHeld(reason WaitReason) WaitReason {
	if u != nil && u.wait == WaitHeld {
		return WaitHeld
	}
	return reason
}

// lookedAt records why the runner has not started an item in a cycle.
func (u *run) lookedAt(reason WaitReason, cycle uint64) { u.wait, u.lookedIn = reason, cycle }

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

// skipReason returns why a pass has ended before it looked at all items of a route.
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
		if reason := u.ownWait(now); reason != notWaiting {
			return reason
		}
		if u.lookedIn == r.cycles {
			return u.wait
		}
		events = u.progress.Events
	}
	inTime := r.estimates.meetsDeadline(j.job.Route, events, j.due.Sub(now))
	own := slices.IndexFunc(passes[:], func(p *pass) bool { return p.inTime == inTime })
	return u.unlessHeld(passes[own].skipReason(j.route))
}
