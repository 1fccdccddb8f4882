package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
)

// maxResultBytes bounds the body of one result, so that a segment fits a
// record of the log.
const maxResultBytes = 256 << 10

// startRange reads the lines of a range and dispatches each of its items.
func (r *Runner) startRange(ctx context.Context, st Start) {
	js, ok := r.jobs[st.Job]
	if !ok {
		return
	}
	v, err := js.shard.Table.anyJob(st.Job)
	if err != nil {
		return
	}
	ctxs := make([]context.Context, st.Count)
	for i := range st.Count {
		id := st.Attempt + AttemptID(i)
		actx, cancel := context.WithCancel(ctx)
		ctxs[i] = actx
		r.attempts[id] = &attempt{job: js, item: st.First + i, cancel: cancel}
		js.running++
	}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.runRange(ctx, ctxs, js.shard, v, st)
	}()
}

func (r *Runner) runRange(ctx context.Context, ctxs []context.Context, s *shardState, v JobView, st Start) {
	input, blocks := s.Table.input(v.ID)
	lines, err := readItems(ctx, s.store, input, blocks, st.First, st.Count)
	for i := range st.Count {
		id := st.Attempt + AttemptID(i)
		if err != nil {
			r.report(ctx, endedAttempt{id: id, ended: Ended{Attempt: id, Outcome: OutcomeRefused, RetryAfter: commitRetry}})
			continue
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.report(ctx, r.runItem(ctxs[i], v, st, st.First+i, id, lines[i]))
		}()
	}
}

func (r *Runner) report(ctx context.Context, e endedAttempt) {
	select {
	case r.ended <- e:
	case <-ctx.Done():
	}
}

// runItem dispatches one item and turns what comes back into an outcome.
func (r *Runner) runItem(ctx context.Context, v JobView, st Start, index uint32, id AttemptID, raw []byte) endedAttempt {
	out := endedAttempt{id: id, ended: Ended{Attempt: id}}
	var l Line
	if err := json.Unmarshal(raw, &l); err != nil {
		out.result = &Result{Index: index, ErrorCode: string(errkind.BadBatchLine), Error: err.Error()}
		return out
	}
	out.customID = l.CustomID
	it := r.item(v, st, index, id, l)
	event.Log(r.opts.Logger, event.ItemPlaced, "job", it.Job, "item", it.Index, "attempt", it.Attempt, "service", it.Service, "try", it.Try, "alone", it.Alone)
	ans, err := r.opts.Dispatcher.Dispatch(ctx, it)
	if err == nil {
		out.ended.Worker = ans.Backend
		out.result = answerResult(it, ans)
		return out
	}
	r.fail(it, err, &out)
	return out
}

func (r *Runner) item(v JobView, st Start, index uint32, id AttemptID, l Line) Item {
	it := Item{
		Job: v.ID, Workspace: v.Workspace, Index: index, CustomID: l.CustomID,
		Attempt: fmt.Sprintf("%s-%d", r.opts.Incarnation, id),
		Key:     requestID(v.ID, index),
		Service: v.Service, Method: l.Method, Path: l.URL, Body: l.Body,
		ResumeText: st.ResumeText, ResumeTokens: st.ResumeTokens,
		Deadline: time.Unix(v.Deadline, 0), Try: st.Try, Alone: st.Alone, AvoidBackend: st.Avoid,
	}
	if v.Endpoint == EndpointChat {
		it.Model = l.Model()
	}
	return it
}

func answerResult(it Item, a Response) *Result {
	if len(a.Body) > maxResultBytes {
		return &Result{
			Index: it.Index, CustomID: it.CustomID, ErrorCode: string(errkind.TooLarge),
			Error: fmt.Sprintf("the answer has %d bytes, more than %d", len(a.Body), maxResultBytes),
		}
	}
	return &Result{Index: it.Index, CustomID: it.CustomID, Status: a.Status, RequestID: a.RequestID, Body: a.Body}
}

// fail classifies a failed attempt.
func (r *Runner) fail(it Item, err error, out *endedAttempt) {
	var preempted *PreemptedError
	var died *BackendLostError
	switch {
	case errors.As(err, &preempted):
		out.ended.Outcome = OutcomePreempted
		out.ended.ResumeText, out.ended.ResumeTokens = preempted.ResumeText, preempted.ResumeTokens
	case errors.As(err, &died):
		out.ended.Outcome, out.ended.Worker = OutcomeWorkerDied, died.Backend
	default:
		e := errkind.From(err)
		a := e.Response()
		switch {
		case permanent(e.Kind):
			out.result = &Result{Index: it.Index, CustomID: it.CustomID, ErrorCode: string(e.Kind), Error: e.Message}
			return
		case a.Outcome == errkind.NotRun:
			out.ended.Outcome, out.ended.RetryAfter = OutcomeRefused, a.RetryAfter
		default:
			out.ended.Outcome = OutcomeFailed
		}
	}
	event.Log(r.opts.Logger, event.ItemRequeued, "job", it.Job, "item", it.Index, "attempt", it.Attempt, "err", err)
}

// giveUp records the permanent failure of an item that used up its tries.
func (r *Runner) giveUp(now time.Time, g GiveUp) {
	a, ok := r.attempts[g.Attempt]
	if !ok {
		return
	}
	res := Result{
		Index: g.Item, CustomID: a.customID, ErrorCode: string(errkind.BackendFailed),
		Error: fmt.Sprintf("the request failed %d times", g.Tries),
	}
	a.job.collector.add(now, res)
	r.buffered += res.size()
}

// stop ends a running attempt; it leaves the table when its goroutine returns.
func (r *Runner) stop(id AttemptID) {
	if a, ok := r.attempts[id]; ok {
		a.stopped = true
		a.cancel()
	}
}
