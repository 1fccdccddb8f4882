package jobs

import (
	"time"

	"github.com/catkinrudder/catkinrudder/event"
)

// maxUnconfirmedEmptyRuns is how many runs without any event are no output yet: a server that fails before its
// first event may end its response as a complete one does. A further run confirms that the output is empty.
const maxUnconfirmedEmptyRuns = 1

// handleOutcome handles the outcome of a run.
func (r *runner) handleOutcome(j openJob, u *run, out outcome) {
	switch out.end {
	case runComplete:
		if out.progress.Events == 0 && u.emptyRuns < maxUnconfirmedEmptyRuns {
			u.emptyRuns++
			r.requeue(u, out)
			return
		}
		r.estimates.recordOutput(j.job.Route, out.progress.Events)
		r.setResult(u, Result{Item: u.ref.item, Completed: true, Text: out.progress.Text}, "complete")
	case runRejected:
		r.setResult(u, Result{Item: u.ref.item}, "rejected by the backend server")
	case runFailed:
		u.progress.Failures++
		if u.progress.Failures >= j.route.MaxAttempts {
			r.setResult(u, Result{Item: u.ref.item}, "every run failed")
			return
		}
		r.requeue(u, out)
	default:
		r.requeue(u, out)
	}
}

func (r *runner) requeue(u *run, out outcome) {
	switch out.end {
	case runCancelled:
	case runInterrupted, runPanicked:
		u.notBefore = time.Now().Add(interruptedRetryDelay)
	default:
		u.notBefore = time.Now().Add(itemRetryDelay)
	}
	event.Log(r.s.opts.Logger, event.ItemRequeued, "job", u.ref.job, "item", u.ref.item, "cause", out.cause,
		"failures", u.progress.Failures, "last_event", u.progress.LastEvent)
}

func (r *runner) setResult(u *run, result Result, cause string) {
	u.result = &result
	u.memory.Pin()
	r.enqueueResult(u)
	event.Log(r.s.opts.Logger, event.ItemDone, "job", u.ref.job, "item", u.ref.item, "completed", result.Completed,
		"cause", cause, "events", u.progress.Events, "epoch", u.epoch)
}

// enqueueResult passes a result to the writer of its shard, once in each epoch.
func (r *runner) enqueueResult(u *run) {
	sh := r.s.shards[shardOf(u.ref.job, len(r.s.shards))]
	u.epoch = sh.enqueue(u.ref.job, *u.result, u.epoch)
}

// unsavedProgress returns the progress of a shard's unfinished items that has not
// been appended yet, by the key of its record. If all is false, it only returns the
// progress of items that have no progress on the log at all.
func (r *runner) unsavedProgress(sh *shard, all bool) map[string]Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Progress)
	for ref, u := range r.runs {
		p := u.progress
		if u.result != nil || !sh.contains(ref.job) || p.equalState(u.checkpointed) {
			continue
		}
		if !all && u.checkpointed.Events > 0 {
			continue
		}
		u.checkpointed = p.withoutText()
		out[progressKey(ref.job, ref.item)] = p
	}
	return out
}

// recordProgress records the output that a run has produced so far.
func (r *runner) recordProgress(u *run, p Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.Failures, p.UnansweredStops = u.progress.Failures, u.progress.UnansweredStops
	u.progress = p
}

// recordAnswer records that the backend server has answered a run.
func (r *runner) recordAnswer(u *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.answered = true
	u.progress.UnansweredStops = 0
}
