package jobs

import "time"

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
