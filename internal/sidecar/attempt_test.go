package sidecar

import (
	"context"
	"fmt"
	"io"
	"testing"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/errkind"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/settings"
)

// newTestServer returns a sidecar whose backend server is unreachable and whose
// only slot is occupied by a non-idempotent batch attempt.
func newTestServer(t *testing.T, queue int) *Server {
	t.Helper()
	s := New(settings.Settings{Instance: "s", Backend: settings.Backend{Address: "127.0.0.1:1"}}, log.New(io.Discard))
	s.core = admission.New(admission.Policy{Slots: 1, MaxQueue: queue})
	s.core.Tick(0, admission.Arrive{Attempt: admission.Attempt{ID: "busy", Class: admission.Batch, NonIdempotent: true}})
	return s
}

func (s *Server) newTestAttempt(t *testing.T, id string) *attempt {
	return newAttempt(t.Context(), &peerv1.RunRequest{
		AttemptId: id, Incarnation: s.incarnation, Class: peerv1.Class_CLASS_BATCH, NonIdempotent: true,
	})
}

// bufferedRefusal returns the first refusal among the buffered events of an attempt.
func bufferedRefusal(t *testing.T, a *attempt) *peerv1.Refused {
	t.Helper()
	for range len(a.events) {
		if r := (<-a.events).GetRefused(); r != nil {
			return r
		}
	}
	t.Fatal("the attempt was not refused")
	return nil
}

func TestAttemptIsAcceptedOnce(t *testing.T) {
	s := newTestServer(t, 4)
	assert.Assert(t, s.register(s.newTestAttempt(t, "a")))
	again := s.newTestAttempt(t, "a")
	assert.Assert(t, !s.register(again))
	r := bufferedRefusal(t, again)
	assert.Equal(t, r.Kind, string(errkind.InProgress))
	assert.Assert(t, r.Started, "the refusal of a duplicate must not claim that the attempt never started")
}

func TestFullQueueRefusesAtOnce(t *testing.T) {
	s := newTestServer(t, 2)
	for i := range 2 {
		assert.Assert(t, s.register(s.newTestAttempt(t, fmt.Sprint(i))))
	}
	over := s.newTestAttempt(t, "over")
	s.register(over)
	r := bufferedRefusal(t, over)
	assert.Equal(t, r.Kind, string(errkind.Overloaded))
	assert.Assert(t, !r.Started)
}

func TestStopRefusesQueuedAttempt(t *testing.T) {
	s := newTestServer(t, 4)
	a := s.newTestAttempt(t, "a")
	assert.Assert(t, s.register(a))
	resp, err := s.Stop(context.Background(), connect.NewRequest(&peerv1.StopRequest{AttemptId: "a"}))
	assert.NilError(t, err)
	assert.Equal(t, resp.Msg.Stopped, uint32(1))
	r := bufferedRefusal(t, a)
	assert.Equal(t, r.Kind, string(errkind.Cancelled))
	assert.Assert(t, !r.Started)
}

// A refusal for another incarnation proves that the attempt never started only if
// the attempt is idempotent: the other incarnation may have started an earlier
// copy.
func TestRefusalForOtherIncarnationIsNotProof(t *testing.T) {
	s := newTestServer(t, 4)
	for _, nonIdempotent := range []bool{true, false} {
		a := s.newTestAttempt(t, fmt.Sprint(nonIdempotent))
		a.req.Incarnation, a.req.NonIdempotent = "predecessor", nonIdempotent
		assert.Assert(t, !s.register(a))
		assert.Equal(t, bufferedRefusal(t, a).Started, nonIdempotent)
	}
}

// A vetoed attempt that arrives after its veto is refused and never started.
func TestVetoedAttemptIsNeverStarted(t *testing.T) {
	s := newTestServer(t, 4)
	req := &peerv1.VetoRequest{AttemptId: "a", Incarnation: s.incarnation, ClaimOffset: 7}
	resp, err := s.Veto(context.Background(), connect.NewRequest(req))
	assert.NilError(t, err)
	assert.Equal(t, resp.Msg.Verdict, peerv1.VetoResponse_VERDICT_NEVER_STARTED)
	late := s.newTestAttempt(t, "a")
	late.req.ClaimOffset = 7
	assert.Assert(t, !s.register(late))
	assert.Assert(t, !bufferedRefusal(t, late).Started)
}
