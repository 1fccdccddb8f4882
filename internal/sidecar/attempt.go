package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

// Causes of the cancellation of a running attempt.
var (
	errPreempted = errors.New("preempted")
	errStopped   = errors.New("stopped")
	errDeadline  = errors.New("deadline")
)

// eventBuffer is the number of events that are buffered for a slow peer.
const eventBuffer = 64

// attempt is one attempt that this sidecar holds. events has one writer at a time:
// the server while it holds its mutex before the start, and serve afterwards.
type attempt struct {
	req *peerv1.RunRequest
	// stream is done when the peer's stream ends, ctx also when the attempt is
	// cancelled.
	stream  context.Context
	ctx     context.Context
	cancel  context.CancelCauseFunc
	events  chan *peerv1.RunEvent
	started bool
}

func newAttempt(ctx context.Context, req *peerv1.RunRequest) *attempt {
	cctx, cancel := context.WithCancelCause(ctx)
	return &attempt{req: req, stream: ctx, ctx: cctx, cancel: cancel, events: make(chan *peerv1.RunEvent, eventBuffer)}
}

func (a *attempt) close() { a.cancel(errStopped) }

// send sends one event to the peer's stream. It returns false if the attempt has
// been cancelled.
func (a *attempt) send(ev *peerv1.RunEvent) bool {
	select {
	case a.events <- ev:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// finish sends the last event, even if the attempt has been cancelled, unless the
// peer's stream has ended.
func (a *attempt) finish(ev *peerv1.RunEvent) {
	select {
	case a.events <- ev:
	case <-a.stream.Done():
	}
}

// refuse sends the refusal of an attempt that has never started. The buffer holds
// at most Accepted at that time, so refuse never blocks.
func (a *attempt) refuse(kind errkind.Kind, retryAfter time.Duration) {
	a.events <- refused(kind, string(kind), false, retryAfter)
}

func refused(kind errkind.Kind, msg string, started bool, retryAfter time.Duration) *peerv1.RunEvent {
	return &peerv1.RunEvent{Event: &peerv1.RunEvent_Refused{Refused: &peerv1.Refused{
		Kind:         string(kind),
		Message:      msg,
		Started:      started,
		RetryAfterMs: uint32(retryAfter.Milliseconds()),
	}}}
}

// isFinal reports whether an event ends its stream.
func isFinal(ev *peerv1.RunEvent) bool {
	switch ev.Event.(type) {
	case *peerv1.RunEvent_Refused, *peerv1.RunEvent_End, *peerv1.RunEvent_Preempted:
		return true
	}
	return false
}

// register adds an attempt to the table. It returns false if the sidecar refuses
// the attempt itself and does not add it. An attempt that the core refuses
// immediately stays in the table until unregister removes it.
func (s *Server) register(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := a.req.AttemptId
	if a.req.Incarnation != s.incarnation {
		// A non-idempotent attempt may have been started earlier by the
		// incarnation that it is addressed to, so this refusal does not prove
		// that it never ran.
		a.events <- refused(errkind.NoBackend, "meant for another incarnation", a.req.NonIdempotent, 0)
		return false
	}
	if !s.orders.serves(a.req.ModelName) {
		a.refuse(errkind.NoBackend, orderInterval)
		return false
	}
	if a.req.ClaimOffset > 0 && !s.ledger.covers(a.req.ClaimOffset) {
		// The attempt may have been vetoed and evicted from the ledger. It is not
		// started, but whether it ever was can no longer be proven here.
		a.events <- refused(errkind.NoBackend, "its claim is too old", true, 0)
		return false
	}
	if s.ledger.vetoed(id) {
		a.refuse(errkind.NoBackend, 0)
		return false
	}
	if _, ok := s.attempts[id]; ok || s.ledger.started(id) {
		a.events <- refused(errkind.InProgress, "attempt was seen before", true, 0)
		return false
	}
	s.attempts[id] = a
	a.events <- &peerv1.RunEvent{Event: &peerv1.RunEvent_Accepted{Accepted: &peerv1.Accepted{}}}
	s.tick(admission.Arrive{Attempt: toAdmission(a.req)})
	return true
}

// unregister removes an attempt whose stream has ended. A running attempt is
// stopped at the backend server, and serve removes it at its end.
func (s *Server) unregister(a *attempt) {
	a.cancel(errStopped)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick(admission.Cancel{ID: a.req.AttemptId})
	if !a.started {
		delete(s.attempts, a.req.AttemptId)
	}
}

func toAdmission(req *peerv1.RunRequest) admission.Attempt {
	class := admission.Online
	if req.Class == peerv1.Class_CLASS_BATCH {
		class = admission.Batch
	}
	return admission.Attempt{
		ID:            req.AttemptId,
		Class:         class,
		Deadline:      time.Duration(req.DeadlineMs) * time.Millisecond,
		PromptTokens:  int(req.PromptTokens),
		MaxTokens:     int(req.MaxTokens),
		CachedTokens:  int(req.CachedTokens),
		NonIdempotent: req.NonIdempotent,
	}
}

// start sends an attempt to the backend server. The caller holds mu.
func (s *Server) start(a *attempt) {
	a.started = true
	if a.req.NonIdempotent {
		s.ledger.recordStart(a.req.AttemptId, a.req.ClaimOffset)
	}
	s.metrics.started(a.req.Class).Inc()
	event.Log(s.logger, event.AttemptAdmitted, "attempt", a.req.AttemptId, "class", a.req.Class, "service", a.req.Service)
	go s.serve(a)
}

// serve runs a started attempt to its end and sends its last event.
func (s *Server) serve(a *attempt) {
	ctx := a.ctx
	if a.req.DeadlineMs > 0 {
		var cancel context.CancelFunc
		d := time.Duration(a.req.DeadlineMs) * time.Millisecond
		ctx, cancel = context.WithTimeoutCause(ctx, d, errDeadline)
		defer cancel()
	}
	last := s.call(ctx, a)
	s.mu.Lock()
	delete(s.attempts, a.req.AttemptId)
	s.tick(admission.Finish{ID: a.req.AttemptId})
	s.mu.Unlock()
	a.finish(last)
}

// call runs the attempt at the backend server and returns its last event.
func (s *Server) call(ctx context.Context, a *attempt) *peerv1.RunEvent {
	var end *peerv1.End
	var err error
	if a.req.Model {
		end, err = s.backend.chat(ctx, a.req, func(d *peerv1.Delta) bool {
			s.onToken(a)
			return a.send(&peerv1.RunEvent{Event: &peerv1.RunEvent_Delta{Delta: d}})
		})
	} else {
		end, err = s.backend.callPlain(ctx, a.req, a.send)
	}
	if err == nil {
		return &peerv1.RunEvent{Event: &peerv1.RunEvent_End{End: end}}
	}
	return s.failure(ctx, err)
}

// failure converts the error of a started attempt to its last event.
func (s *Server) failure(ctx context.Context, err error) *peerv1.RunEvent {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errPreempted):
		return &peerv1.RunEvent{Event: &peerv1.RunEvent_Preempted{Preempted: &peerv1.Preempted{}}}
	case errors.Is(cause, errDeadline):
		return refused(errkind.Timeout, "deadline passed while running", true, 0)
	case cause != nil:
		return refused(errkind.Cancelled, "cancelled while running", true, 0)
	}
	var e *errkind.Error
	if errors.As(err, &e) {
		return refused(e.Kind, e.Message, e.Response().Outcome != errkind.NotRun, e.RetryAfter)
	}
	return refused(errkind.BackendFailed, err.Error(), true, 0)
}

func (s *Server) onToken(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tick(admission.Token{ID: a.req.AttemptId})
}
