package sidecar

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pelletier/go-toml/v2"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

// policy is the policy that this sidecar currently applies.
type policy struct {
	version uint64
	service desired.Service
}

// Veto implements peerv1connect.SidecarHandler.
func (s *Server) Veto(_ context.Context, req *connect.Request[peerv1.VetoRequest]) (*connect.Response[peerv1.VetoResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.veto(req.Msg)
	event.Log(s.logger, event.AttemptVetoed, "attempt", req.Msg.AttemptId, "verdict", verdict)
	return connect.NewResponse(&peerv1.VetoResponse{Verdict: verdict}), nil
}

// veto decides one veto request. The caller holds mu.
func (s *Server) veto(req *peerv1.VetoRequest) peerv1.VetoResponse_Verdict {
	id := req.AttemptId
	if req.Incarnation != s.incarnation {
		return peerv1.VetoResponse_VERDICT_OTHER_INCARNATION
	}
	if s.ledger.started(id) {
		return peerv1.VetoResponse_VERDICT_STARTED
	}
	if !s.ledger.covers(req.ClaimOffset) {
		return peerv1.VetoResponse_VERDICT_FORGOTTEN
	}
	if a, ok := s.attempts[id]; ok {
		if a.started {
			return peerv1.VetoResponse_VERDICT_STARTED
		}
		s.tick(admission.Cancel{ID: id})
		a.refuse(errkind.Cancelled, 0)
	}
	s.ledger.recordVeto(id, req.ClaimOffset)
	return peerv1.VetoResponse_VERDICT_NEVER_STARTED
}

// Stop implements peerv1connect.SidecarHandler.
func (s *Server) Stop(_ context.Context, req *connect.Request[peerv1.StopRequest]) (*connect.Response[peerv1.StopResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stopped uint32
	for id, a := range s.attempts {
		if id != req.Msg.AttemptId && (req.Msg.Job == "" || a.req.Job != req.Msg.Job) {
			continue
		}
		stopped++
		s.tick(admission.Cancel{ID: id})
		if !a.started {
			a.refuse(errkind.Cancelled, 0)
		}
	}
	return connect.NewResponse(&peerv1.StopResponse{Stopped: stopped}), nil
}

// Report implements peerv1connect.SidecarHandler.
func (s *Server) Report(_ context.Context, req *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	if p := req.Msg.Policy; p != nil {
		s.applyPolicy(p)
	}
	out := &peerv1.ReportResponse{
		Incarnation: s.incarnation,
		Service:     s.settings.Backend.Service,
		Load:        s.load(),
		Instance:    s.settings.Instance,
		Zone:        s.settings.Zone,
		Region:      s.settings.Region,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders.update(req.Msg.Order)
	s.fillEngineState(out)
	for id, a := range s.attempts {
		if a.req.Job != "" {
			out.Held = append(out.Held, &peerv1.Held{AttemptId: id, Job: a.req.Job})
		}
	}
	return connect.NewResponse(out), nil
}

// Drain implements peerv1connect.SidecarHandler.
func (s *Server) Drain(context.Context, *connect.Request[peerv1.DrainRequest]) (*connect.Response[peerv1.DrainResponse], error) {
	s.drain()
	return connect.NewResponse(&peerv1.DrainResponse{InProgress: uint32(s.inProgress())}), nil
}

// applyPolicy applies a newer policy; an older one has no effect.
func (s *Server) applyPolicy(p *peerv1.Policy) {
	var svc desired.Service
	if err := toml.Unmarshal(p.Service, &svc); err != nil {
		event.Log(s.logger, event.ConfigRefused, "version", p.Version, "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Version <= s.policy.version {
		return
	}
	s.policy = policy{version: p.Version, service: svc}
	s.tick(admission.SetPolicy{Policy: admission.Policy{
		Slots:        svc.Slots,
		OnlineWeight: svc.OnlineWeight,
		BatchWeight:  svc.BatchWeight,
		TTFTTarget:   svc.TTFTTarget.Std(),
		TBTTarget:    svc.TBTTarget.Std(),
	}})
	event.Log(s.logger, event.ConfigInForce, "version", p.Version)
}

// load returns the load that is attached to events and reports.
func (s *Server) load() *peerv1.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.core.Load()
	return &peerv1.Load{
		RunningOnline: uint32(l.RunningOnline),
		RunningBatch:  uint32(l.RunningBatch),
		QueuedOnline:  uint32(l.QueuedOnline),
		QueuedBatch:   uint32(l.QueuedBatch),
		Slots:         uint32(s.core.Slots()),
		BatchRoom:     uint32(l.BatchRoom),
		StepUs:        uint32(l.Step.Microseconds()),
		Leaving:       s.draining,
		ConfigVersion: s.policy.version,
	}
}
