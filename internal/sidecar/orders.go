package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

const (
	// orderInterval is how often the backend server is asked what it runs.
	orderInterval = 200 * time.Millisecond
	orderTimeout  = 2 * time.Second
	// orderSettle is how long a new sidecar listens for the highest order
	// before it sends one: its predecessor's number is not known.
	orderSettle = 2 * time.Second
	// orderRetry is the least time between two orders to the engine.
	orderRetry = time.Second

	enginePath = "/v1/engine"
)

// EngineState is what a model engine says it runs.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// Fence is the number of the last order it took, zero if it keeps none.
	Fence   uint64 `json:"fence"`
	Loading bool   `json:"loading"`
}

// EngineOrder tells a model engine what to run.
type EngineOrder struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Fence    uint64   `json:"fence"`
}

// orders reconciles what the backend server runs with the newest order. The
// server's mutex guards it.
type orders struct {
	since   time.Time
	newest  *peerv1.Order
	state   *EngineState
	paused  bool
	retryAt time.Time
}

// take keeps an order unless a newer one is known.
func (o *orders) take(order *peerv1.Order) {
	if order == nil || order.Spec == nil {
		return
	}
	if o.newest == nil || order.Fence > o.newest.Fence {
		o.newest = order
	}
}

// due reports whether the backend server runs something other than ordered.
func (o *orders) due(now time.Time) bool {
	if o.newest == nil || o.state == nil || now.Sub(o.since) < orderSettle {
		return false
	}
	return !o.state.runs(o.newest.Spec) && o.newest.Fence >= o.state.Fence
}

func (s *EngineState) runs(spec *peerv1.Spec) bool {
	return s.Model == spec.Model && s.Version == spec.Version && s.Role == spec.Role && slices.Equal(s.Adapters, spec.Adapters)
}

// orderLoop asks the backend server what it runs and carries out orders until
// ctx ends. A backend server that takes no orders is left alone.
func (s *Server) orderLoop(ctx context.Context) {
	t := time.NewTicker(orderInterval)
	defer t.Stop()
	for {
		if s.takesOrders() {
			s.reconcile(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// takesOrders reports whether the desired state says what to load; without
// that, the backend server is neither asked nor told.
func (s *Server) takesOrders() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.policy.service.Deploy) > 0 {
		return true
	}
	s.orders.paused = false
	s.orders.state = nil
	return false
}

// reconcile pauses the backend server, waits until nothing runs on it, sends
// the order, and takes work again once it reports what was ordered.
func (s *Server) reconcile(ctx context.Context) {
	state, err := s.backend.engineState(ctx)
	if err != nil || state == nil {
		return
	}
	order := s.nextOrder(state, time.Now())
	if order == nil {
		return
	}
	err = s.backend.order(ctx, order)
	event.Log(s.logger, event.OrderSent, "fence", order.Fence, "model", order.Spec.Model, "version", order.Spec.Version, "err", err)
}

// nextOrder takes over the backend server's state and returns the order to send
// now, nil if there is none or work still runs.
func (s *Server) nextOrder(state *EngineState, now time.Time) *peerv1.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &s.orders
	o.state = state
	due := o.due(now)
	switch {
	case state.Loading || due && !o.paused:
		s.pause()
	case !due:
		o.paused = false
	}
	if !due || state.Loading || len(s.attempts) > 0 || now.Before(o.retryAt) {
		return nil
	}
	o.retryAt = now.Add(orderRetry)
	return o.newest
}

// pause refuses new attempts and hands back those that have not started and
// batch that may be repeated; the caller holds mu.
func (s *Server) pause() {
	if s.orders.paused {
		return
	}
	s.orders.paused = true
	s.handBack()
}

// engineState returns nil if the backend server takes no orders.
func (b *backend) engineState(ctx context.Context) (*EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.base+enginePath, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "engine state")
	}
	resp, err := b.pooled.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "engine state")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, nil
	}
	var state EngineState
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return nil, errors.Wrap(err, "engine state")
	}
	if state.Model == "" && !state.Loading {
		return nil, nil
	}
	return &state, nil
}

// order sends one order; an engine that checks refuses an old number.
func (b *backend) order(ctx context.Context, o *peerv1.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(EngineOrder{
		Model: o.Spec.Model, Version: o.Spec.Version, Adapters: o.Spec.Adapters, Role: o.Spec.Role, Fence: o.Fence,
	})
	if err != nil {
		return errors.Wrap(err, "engine order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.base+enginePath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "engine order")
	}
	resp, err := b.fresh.Do(req)
	if err != nil {
		return errors.Wrap(err, "engine order")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return statusError(resp)
	}
	return nil
}

// reportOrders adds to a report what the backend server runs; the caller holds
// mu.
func (s *Server) reportOrders(out *peerv1.ReportResponse) {
	o := &s.orders
	out.Loading = o.paused
	if o.newest != nil {
		out.Fence = o.newest.Fence
	}
	if o.state != nil {
		out.Running = &peerv1.Spec{Model: o.state.Model, Version: o.state.Version, Adapters: o.state.Adapters, Role: o.state.Role}
	}
}

// serves reports whether the backend server takes attempts for a model now.
func (o *orders) serves(model string) bool {
	if o.paused {
		return false
	}
	return model == "" || o.state == nil || o.state.Model == model
}
