package quarantine

import (
	"context"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// fakePeers records what a guard broadcasts.
type fakePeers struct {
	mu                       sync.Mutex
	crashes                  int
	crashed, held, completed []string
	states                   []HoldState
}

func (p *fakePeers) BroadcastCrash(r CrashReport) {
	runs := r.Runs
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes++
	p.crashed = runs.Suspects()
}

func (p *fakePeers) BroadcastHeld(parts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = append(p.held, parts...)
}

func (p *fakePeers) BroadcastCompleted(parts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.completed = append(p.completed, parts...)
}

func (p *fakePeers) BroadcastHolds(states []HoldState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states = append(p.states, states...)
}

func (*fakePeers) Priority(string) uint64 { return 1 }

// guardFixture is a guard of a process that has run for a minute, whose probes return probeErr.
type guardFixture struct {
	*Guard
	peers    *fakePeers
	probeErr error
	// others are the backend servers of the service.
	others []catalog.Backend
	stored chan keyedlog.Record
}

func newGuardFixture(probeErr error) *guardFixture {
	f := &guardFixture{peers: &fakePeers{}, probeErr: probeErr, stored: make(chan keyedlog.Record, 10)}
	f.Guard = NewGuard(Options{
		StartedAt: time.Now().Add(-time.Minute),
		Probe:     func(context.Context, catalog.Backend, bool) error { return f.probeErr }, Eject: func(catalog.Backend) {},
		Backends: func(string) []catalog.Backend { return f.others },
		Peers:    func() Peers { return f.peers }, Logger: log.New(io.Discard),
		Store: func(_ context.Context, r keyedlog.Record) error { f.stored <- r; return nil },
	})
	return f
}

var refused = errors.Wrap(upstream.ErrProcessEnded, "dial")

func TestOnlyEndedServersAreEvidence(t *testing.T) {
	ready := catalog.Backend{ID: "i", State: catalog.Ready}
	draining := catalog.Backend{ID: "i", State: catalog.Draining}
	for name, c := range map[string]struct {
		probe   error
		backend catalog.Backend
		parts   []string
		crashes int
	}{
		"ended":       {refused, ready, []string{"p"}, 1},
		"alive":       {nil, ready, []string{"p"}, 0},
		"silent":      {context.DeadlineExceeded, ready, []string{"p"}, 0},
		"draining":    {refused, draining, []string{"p"}, 0},
		"no prompt":   {refused, ready, nil, 0},
		"unreachable": {syscall.EHOSTUNREACH, ready, []string{"p"}, 0},
	} {
		f := newGuardFixture(c.probe)
		f.RunInterrupted(c.backend, c.parts, time.Now()).Ended(t.Context())
		assert.Equal(t, f.peers.crashes, c.crashes, name)
	}
}

func TestEndDuringAProbeNeedsAnotherProbe(t *testing.T) {
	f := newGuardFixture(nil)
	b := catalog.Backend{ID: "i", State: catalog.Ready}
	probing, answer := make(chan struct{}), make(chan error)
	f.opts.Probe = func(context.Context, catalog.Backend, bool) error {
		probing <- struct{}{}
		return <-answer
	}
	first := f.Examine(b, nil, time.Now())
	<-probing
	second := f.Examine(b, nil, time.Now())
	answer <- nil
	assert.Equal(t, first.Evidence(t.Context()), upstream.ByProcess)
	<-probing
	answer <- upstream.ErrProcessEnded
	assert.Equal(t, second.Evidence(t.Context()), upstream.ServerEnded)
}

func TestRunsThatEndTogetherAreOneReport(t *testing.T) {
	f := newGuardFixture(refused)
	b := catalog.Backend{ID: "i", State: catalog.Ready}
	first := f.RunInterrupted(b, []string{"x", "a"}, time.Now())
	assert.Assert(t, f.RunInterrupted(b, []string{"b", "a"}, time.Now()).Ended(t.Context()))
	assert.Assert(t, first.Ended(t.Context()))
	assert.Equal(t, f.peers.crashes, 1)
	assert.DeepEqual(t, f.peers.crashed, []string{"a", "b", "x"})
}

func TestProvedPartIsAnnouncedAndStored(t *testing.T) {
	f := newGuardFixture(refused)
	for server, age := range []time.Duration{2 * partCrashSpacing, partCrashSpacing} {
		f.table.RecordCrash(uint32(server), runsOf("bad", "shared"), time.Now().Add(-age))
	}
	f.PeerCrash(CrashReport{Server: 1, Runs: runsOf("other")})
	f.RunInterrupted(catalog.Backend{ID: "i", State: catalog.Ready}, []string{"bad", "shared"}, time.Now()).Ended(t.Context())
	f.PeerCompleted([]string{"shared"}) // the objection of another gateway
	assert.Equal(t, (<-f.stored).Key, "bad")
	assert.Equal(t, f.Check([]string{"shared", "bad"}, balance.Batch).Suspect, "bad")
	f.peers.mu.Lock()
	assert.DeepEqual(t, f.peers.held, []string{"bad"})
	f.peers.mu.Unlock()

	f.RunCompleted([]string{"bad"})
	r := <-f.stored
	assert.Equal(t, r.Key, "bad")
	assert.Assert(t, r.Value == nil)
	assert.Assert(t, !f.Check([]string{"bad"}, balance.Batch).Held())
}

func TestStartingGatewayKnowsStoredParts(t *testing.T) {
	f := newGuardFixture(refused)
	f.Rebuild([]keyedlog.Record{{Key: "bad", Value: []byte{1}}})
	assert.Assert(t, f.Check([]string{"bad"}, balance.Batch).Refuses())
	f.Apply([]keyedlog.Record{{Key: "bad"}})
	assert.Assert(t, !f.Check([]string{"bad"}, balance.Batch).Held())
	f.PeerHeld([]string{"bad"})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !f.Check([]string{"bad"}, balance.Batch).Held() {
			return poll.Continue("not held")
		}
		return poll.Success()
	})
}

// TestGatewayThatKnowsBetterObjectsToAHold guards against a part that stays held because the gateway that found it has
// missed the runs that speak for it.
func TestGatewayThatKnowsBetterObjectsToAHold(t *testing.T) {
	f := newGuardFixture(nil)
	f.RunCompleted([]string{"sound"})
	f.PeerHeld([]string{"sound", "bad"})
	assert.DeepEqual(t, f.peers.completed, []string{"sound"})
	assert.Assert(t, !f.Check([]string{"sound"}, balance.Batch).Held())
	assert.Assert(t, f.Check([]string{"bad"}, balance.Batch).Refuses())
	r := <-f.stored
	assert.Equal(t, r.Key, "sound")
	assert.Assert(t, r.Value == nil, "gateways that start later must not hold it")
}
