package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

const (
	// orderInterval is the interval at which the backend server's state is
	// polled.
	orderInterval = 200 * time.Millisecond
	orderTimeout  = 2 * time.Second
	// orderSettleTime is the time for which a new sidecar collects orders before
	// it sends the one with the highest fencing token, because it does not have
	// the token of its previous incarnation.
	orderSettleTime = 2 * time.Second
	// orderRetryInterval is the minimum time between two orders to the engine.
	orderRetryInterval = time.Second

	// maxStateBytes bounds the state that an engine reports.
	maxStateBytes = 64 << 10

	enginePath = "/v1/engine"
)

// EngineState is the state that a model engine reports.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// Fence is the fencing token of the last order that the engine accepted, or
	// zero if it stores none.
	Fence   uint64 `json:"fence"`
	Loading bool   `json:"loading"`
}

// EngineOrder instructs a model engine what to run.
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
	createdAt time.Time
	newest    *peerv1.Order // nil if none has been received
	state     *EngineState  // nil if unknown
	paused    bool          // no attempts are accepted, because of a load or a due order
	retryAt   time.Time     // earliest time of the next order to the engine
}

// update stores an order unless a newer one is already stored.
func (o *orders) update(order *peerv1.Order) {
	if order == nil || order.Spec == nil {
		return
	}
	if o.newest == nil || order.Fence > o.newest.Fence {
		o.newest = order
	}
}

// due reports whether the newest order must be sent because the backend server
// runs something else. An order is not due before orderSettleTime has passed, or
// if the engine has already accepted one with a higher fencing token.
func (o *orders) due(now time.Time) bool {
	if o.newest == nil || o.state == nil || now.Sub(o.createdAt) < orderSettleTime {
		return false
	}
	return !o.state.runs(o.newest.Spec) && o.newest.Fence >= o.state.Fence
}

func (s *EngineState) runs(spec *peerv1.Spec) bool {
	return s.Model == spec.Model && s.Version == spec.Version && s.Role == spec.Role && slices.Equal(s.Adapters, spec.Adapters)
}

// orderLoop polls the state of the backend server and carries out orders until
// ctx ends. It sends nothing to a backend server that does not accept orders.
func (s *Server) orderLoop(ctx context.Context) {
	t := time.NewTicker(orderInterval)
	defer t.Stop()
	for {
		if s.ordersEnabled() {
			s.reconcile(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// ordersEnabled reports whether the desired state specifies what to load. If it
// does not, the backend server is neither polled nor sent orders, and the sidecar
// accepts attempts for every model again.
func (s *Server) ordersEnabled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.policy.service.Deploy) > 0 {
		return true
	}
	s.orders.paused = false
	s.orders.state = nil
	return false
}

// reconcile carries out the newest order. It pauses the backend server, waits
// until no attempt runs on it, sends the order, and resumes once the backend
// server reports what was ordered.
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

// nextOrder stores the state of the backend server, updates whether attempts are
// accepted, and returns the order to send now. It returns nil if there is none or
// attempts are still running.
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
	o.retryAt = now.Add(orderRetryInterval)
	return o.newest
}

// pause refuses new attempts and returns to their callers the attempts that have
// not started and the idempotent batch attempts. The caller holds mu.
func (s *Server) pause() {
	if s.orders.paused {
		return
	}
	s.orders.paused = true
	s.returnAttempts()
}

// engineState returns the state of the backend server, or nil if it does not
// accept orders.
func (b *backend) engineState(ctx context.Context) (*EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.base+enginePath, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "sidecar: build engine state request")
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "sidecar: request engine state")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, nil
	}
	var state EngineState
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&state); err != nil {
		return nil, errors.Wrap(err, "sidecar: decode engine state")
	}
	if state.Model == "" && !state.Loading {
		return nil, nil
	}
	return &state, nil
}

// order sends one order. An engine that checks fencing tokens refuses an old one.
func (b *backend) order(ctx context.Context, o *peerv1.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(EngineOrder{
		Model: o.Spec.Model, Version: o.Spec.Version, Adapters: o.Spec.Adapters, Role: o.Spec.Role, Fence: o.Fence,
	})
	if err != nil {
		return errors.Wrap(err, "sidecar: encode engine order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.base+enginePath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "sidecar: build engine order request")
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "sidecar: send engine order")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return statusError(resp)
	}
	return nil
}

// fillEngineState adds the state of the backend server to a report. The caller
// holds mu.
func (s *Server) fillEngineState(out *peerv1.ReportResponse) {
	o := &s.orders
	out.Loading = o.paused
	if o.newest != nil {
		out.Fence = o.newest.Fence
	}
	if o.state != nil {
		out.Running = &peerv1.Spec{Model: o.state.Model, Version: o.state.Version, Adapters: o.state.Adapters, Role: o.state.Role}
	}
}

// serves reports whether the backend server currently accepts attempts for a
// model.
func (o *orders) serves(model string) bool {
	if o.paused {
		return false
	}
	return model == "" || o.state == nil || o.state.Model == model
}
