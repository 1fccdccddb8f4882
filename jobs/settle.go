package jobs

import (
	"time"

	"github.com/catkinrudder/catkinrudder/event"
)

// settle decides what follows a run.
func (r *runner) settle(j openJob, u *run, out outcome) {
	switch out.end {
	case endComplete:
		r.pace.complete(j.job.Route, out.progress.Events)
		r.deliver(u, Result{Item: u.ref.item, Completed: true, Text: out.progress.Text}, "complete")
	case endImpossible:
		r.deliver(u, Result{Item: u.ref.item}, "the backend server can't ever do it")
	case endFailed:
		u.progress.Failures++
		if u.progress.Failures >= j.route.MaxAttempts {
			r.deliver(u, Result{Item: u.ref.item}, "every run failed")
			return
		}
		r.requeue(u, out)
	default:
		r.requeue(u, out)
	}
}

func (r *runner) requeue(u *run, out outcome) {
	if out.end != endStopped {
		u.notBefore = time.Now().Add(itemPause)
	}
	event.Log(r.s.opts.Logger, event.ItemRequeued, "job", u.ref.job, "item", u.ref.item, "cause", out.cause,
		"failures", u.progress.Failures, "last_event", u.progress.LastEvent)
}

func (r *runner) deliver(u *run, result Result, cause string) {
	u.result = &result
	r.handOver(u)
	event.Log(r.s.opts.Logger, event.ItemDone, "job", u.ref.job, "item", u.ref.item, "completed", result.Completed,
		"cause", cause, "events", u.progress.Events, "epoch", u.epoch)
}

// handOver gives a result to the writer of its shard, once in each epoch.
func (r *runner) handOver(u *run) {
	sh := r.s.shards[shardOf(u.ref.job, len(r.s.shards))]
	u.epoch = sh.add(u.ref.job, *u.result, u.epoch)
}

// unsavedProgress returns, by the key of its record, the progress of unfinished
// items of a shard that has not been appended yet; unless all is set, only of
// items of which nothing was.
func (r *runner) unsavedProgress(sh *shard, all bool) map[string]Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Progress)
	for ref, u := range r.runs {
		p := u.progress
		if u.result != nil || !sh.holds(ref.job) || p.Events == u.saved.Events && p.Failures == u.saved.Failures {
			continue
		}
		if !all && u.saved.Events > 0 {
			continue
		}
		u.saved = p
		out[progressKey(ref.job, ref.item)] = p
	}
	return out
}

// report notes what a run has produced so far.
func (r *runner) report(u *run, p Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.Failures = u.progress.Failures
	u.progress = p
}
