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

// maxResultBytes bounds the body of one result, so that a segment fits into a
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
			r.report(ctx, endedAttempt{id: id, ended: AttemptEnd{Attempt: id, Outcome: OutcomeRefused, RetryAfter: commitRetryDelay}})
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

// runItem dispatches one item and converts the response or error into an outcome.
func (r *Runner) runItem(ctx context.Context, v JobView, st Start, index uint32, id AttemptID, raw []byte) endedAttempt {
	out := endedAttempt{id: id, ended: AttemptEnd{Attempt: id}}
	var l Line
	if err := json.Unmarshal(raw, &l); err != nil {
		out.result = &Result{Index: index, ErrorCode: string(errkind.BadBatchLine), Error: err.Error()}
		return out
	}
	out.customID = l.CustomID
	it := r.newItem(v, st, index, id, l)
	event.Log(r.opts.Logger, event.ItemPlaced, "job", it.Job, "item", it.Index, "attempt", it.Attempt, "service", it.Service, "try", it.Try, "alone", it.Exclusive)
	resp, err := r.opts.Dispatcher.Dispatch(ctx, it)
	if err == nil {
		out.ended.Backend = resp.Backend
		out.result = responseResult(it, resp)
		return out
	}
	r.classifyError(it, err, &out)
	return out
}

func (r *Runner) newItem(v JobView, st Start, index uint32, id AttemptID, l Line) Item {
	it := Item{
		Job: v.ID, Workspace: v.Workspace, Index: index, CustomID: l.CustomID,
		Attempt: fmt.Sprintf("%s-%d", r.opts.Incarnation, id),
		Key:     requestID(v.ID, index),
		Service: v.Service, Method: l.Method, Path: l.URL, Body: l.Body,
		ResumeText: st.ResumeText, ResumeTokens: st.ResumeTokens,
		Deadline: time.Unix(v.Deadline, 0), Try: st.Try, Exclusive: st.Exclusive, AvoidBackend: st.AvoidBackend,
	}
	if v.Endpoint == EndpointChat {
		it.Model = l.Model()
	}
	return it
}

func responseResult(it Item, resp Response) *Result {
	if len(resp.Body) > maxResultBytes {
		return &Result{
			Index: it.Index, CustomID: it.CustomID, ErrorCode: string(errkind.TooLarge),
			Error: fmt.Sprintf("the answer has %d bytes, more than %d", len(resp.Body), maxResultBytes),
		}
	}
	return &Result{Index: it.Index, CustomID: it.CustomID, Status: resp.Status, RequestID: resp.RequestID, Body: resp.Body}
}

// classifyError sets the outcome or the final result of a failed attempt.
func (r *Runner) classifyError(it Item, err error, out *endedAttempt) {
	var preempted *PreemptedError
	var lost *BackendLostError
	switch {
	case errors.As(err, &preempted):
		out.ended.Outcome = OutcomePreempted
		out.ended.ResumeText, out.ended.ResumeTokens = preempted.ResumeText, preempted.ResumeTokens
	case errors.As(err, &lost):
		out.ended.Outcome, out.ended.Backend = OutcomeBackendLost, lost.Backend
	default:
		e := errkind.From(err)
		resp := e.Response()
		switch {
		case isPermanent(e.Kind):
			out.result = &Result{Index: it.Index, CustomID: it.CustomID, ErrorCode: string(e.Kind), Error: e.Message}
			return
		case resp.Outcome == errkind.NotRun:
			out.ended.Outcome, out.ended.RetryAfter = OutcomeRefused, resp.RetryAfter
		default:
			out.ended.Outcome = OutcomeFailed
		}
	}
	event.Log(r.opts.Logger, event.ItemRequeued, "job", it.Job, "item", it.Index, "attempt", it.Attempt, "err", err)
}

// failExhausted records the permanent failure of an item that has no tries left.
func (r *Runner) failExhausted(now time.Time, g ExhaustedItem) {
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

// stop cancels a running attempt. It is removed when its goroutine returns.
func (r *Runner) stop(id AttemptID) {
	if a, ok := r.attempts[id]; ok {
		a.stopped = true
		a.cancel()
	}
}
