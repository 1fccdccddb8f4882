// Package sidecar implements the process that runs beside one backend server and
// is the only path to it. The sidecar queues, admits, preempts and refuses
// attempts.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/peer"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/peer/v1/peerv1connect"
	"github.com/catkinrudder/catkinrudder/settings"
)

const (
	// tickInterval is the granularity of deadlines; arrivals and ends of attempts
	// run a tick immediately.
	tickInterval = 10 * time.Millisecond
	// drainNotice is the time for which a drained sidecar keeps serving, so that
	// its peers receive a report that it is draining.
	drainNotice = 500 * time.Millisecond
)

// Server is one sidecar. mu guards the fields below it, so that starting, vetoing
// and refusing an attempt are mutually exclusive.
type Server struct {
	settings    settings.Settings
	incarnation string
	logger      *log.Logger
	backend     *backend
	epoch       time.Time // the core's clock is the time since epoch
	metrics     *metricSet
	drainOnce   sync.Once
	drained     chan struct{} // closed by drain

	mu       sync.Mutex
	core     *admission.Core
	attempts map[string]*attempt
	ledger   *ledger
	policy   policy
	orders   orders
	draining bool
}

// New returns a sidecar; Serve starts it.
func New(s settings.Settings, logger *log.Logger) *Server {
	return &Server{
		settings:    s,
		incarnation: uuid.NewString(),
		logger:      logger.With("instance", s.Instance),
		backend:     newBackend(s.Backend.Address),
		epoch:       time.Now(),
		metrics:     newMetricSet(),
		drained:     make(chan struct{}),
		core:        admission.New(admission.Policy{}),
		attempts:    make(map[string]*attempt),
		ledger:      newLedger(ledgerSize),
		orders:      orders{createdAt: time.Now()},
	}
}

// Incarnation returns the identifier of this run of the sidecar.
func (s *Server) Incarnation() string { return s.incarnation }

// Serve serves until ctx ends or the sidecar is drained. It then refuses new work,
// waits for running attempts to finish, and returns.
func (s *Server) Serve(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "sidecar: listen on the peer address")
	}
	srvCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewSidecarHandler(s, peer.ReadLimit()))
	var g errgroup.Group
	g.Go(func() error { defer stop(); return peer.Serve(srvCtx, ln, mux) })
	if s.settings.OperatorListen != "" {
		g.Go(func() error { return s.serveOperator(srvCtx) })
	}
	g.Go(func() error { s.tickLoop(srvCtx); return nil })
	g.Go(func() error { s.orderLoop(srvCtx); return nil })
	event.Log(s.logger, event.Started, "role", "sidecar", "incarnation", s.incarnation, "peer", s.settings.PeerListen)
	select {
	case <-ctx.Done():
		s.drain()
	case <-s.drained:
	case <-srvCtx.Done():
		return g.Wait()
	}
	s.waitIdle(srvCtx)
	stop()
	err = g.Wait()
	event.Log(s.logger, event.Stopped)
	return err
}

// drain refuses new work from now on and returns batch attempts to their callers.
func (s *Server) drain() {
	s.drainOnce.Do(func() {
		event.Log(s.logger, event.Draining)
		s.mu.Lock()
		s.draining = true
		s.tick(admission.Drain{})
		s.returnAttempts()
		s.mu.Unlock()
		close(s.drained)
	})
}

// returnAttempts preempts running idempotent batch attempts, whose output so far
// stays valid, and refuses queued batch attempts. While the backend server is
// paused before a load, it refuses every attempt that has not started. The caller
// holds mu.
func (s *Server) returnAttempts() {
	for id, a := range s.attempts {
		batch := a.req.Class == peerv1.Class_CLASS_BATCH
		switch {
		case !a.started && (batch || s.orders.paused):
			s.tick(admission.Cancel{ID: id})
			a.refuse(errkind.Draining, 0)
		case a.started && batch && !a.req.NonIdempotent:
			a.cancel(errPreempted)
		}
	}
}

// waitIdle blocks until no attempt is left and drainNotice has passed, or until
// ctx ends.
func (s *Server) waitIdle(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	notice := time.After(drainNotice)
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if s.inProgress() > 0 {
			continue
		}
		select {
		case <-notice:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) inProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

func (s *Server) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.mu.Lock()
			s.tick()
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// tick runs the core and executes its actions. The caller holds mu.
func (s *Server) tick(in ...admission.Input) {
	for _, a := range s.core.Tick(time.Since(s.epoch), in...) {
		s.execute(a)
	}
}

// execute carries out one action. It has no case for Pause, because the core is
// created without WithPause.
func (s *Server) execute(a admission.Action) {
	at, ok := s.attempts[a.ID]
	if !ok {
		return
	}
	switch a.Kind {
	case admission.Start:
		s.start(at)
	case admission.Refuse:
		event.Log(s.logger, event.AttemptRefused, "attempt", a.ID, "kind", a.Err)
		at.refuse(a.Err, a.RetryAfter)
	case admission.Preempt:
		event.Log(s.logger, event.BatchPreempted, "attempt", a.ID, "job", at.req.Job)
		s.metrics.preempted.Inc()
		at.cancel(errPreempted)
	case admission.Stop:
		at.cancel(errStopped)
	}
}

// Run implements peerv1connect.SidecarHandler.
func (s *Server) Run(ctx context.Context, req *connect.Request[peerv1.RunRequest], stream *connect.ServerStream[peerv1.RunEvent]) error {
	a := newAttempt(ctx, req.Msg)
	defer a.close()
	if s.register(a) {
		defer s.unregister(a)
	}
	var seq uint64
	for {
		select {
		case ev := <-a.events:
			ev.Seq = seq
			seq++
			ev.Load = s.load()
			if err := stream.Send(ev); err != nil {
				return err
			}
			if isFinal(ev) {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
