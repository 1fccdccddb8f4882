package placement

import (
	"cmp"
	"slices"
	"time"
)

// Target is a spec that a service is to run.
type Target struct {
	Spec Spec
	// Replicas is the minimum number of backend servers that run it.
	Replicas int
	// Demand is the recent work for the model, in a unit that is the same for
	// all targets of the service.
	Demand float64
}

// Server is the state of one live backend server.
type Server struct {
	Instance string
	// Running is the spec that the backend server reports, Ordered the one that
	// it was last assigned.
	Running, Ordered Spec
	// Loading reports whether it is loading a model and accepts no work.
	Loading bool
}

// Input is the input of one plan for one service.
type Input struct {
	Service string
	Targets []Target
	Servers []Server
	// MaxConcurrentLoads bounds the number of backend servers that load at the
	// same time, because they share the bandwidth of the weight store and the
	// others must serve the traffic meanwhile.
	MaxConcurrentLoads int
	// LoadTime is the duration of a load, and Horizon the time for which demand
	// is expected to remain unchanged. A move that follows demand is worthwhile
	// only if the horizon is several times the load time.
	LoadTime, Horizon time.Duration
}

// paybackLoadTimes is the minimum ratio of Horizon to LoadTime at which a move
// is worthwhile.
const paybackLoadTimes = 4

// Plan returns the assignments to make now. It returns a few at a time, in an
// order that depends only on the input, and none without a target. It counts the loads in progress, fills
// the minimum replicas, upgrades servers one by one and then follows demand.
func Plan(in Input) []Assignment {
	p := newPlanner(in)
	if len(in.Targets) == 0 {
		return nil
	}
	p.fillReplicas()
	p.upgrade()
	p.followDemand()
	return p.assignments
}

// planner holds the state of one call of Plan.
type planner struct {
	in          Input
	servers     []Server
	loads       int // servers that load or have been assigned another spec
	assignments []Assignment
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, servers: slices.Clone(in.Servers)}
	slices.SortFunc(p.servers, func(a, b Server) int { return cmp.Compare(a.Instance, b.Instance) })
	for i := range p.servers {
		s := &p.servers[i]
		if s.Ordered.Model == "" {
			s.Ordered = s.Running // the assignment has expired from the log
		}
		if s.Loading || !s.Ordered.Equal(s.Running) {
			p.loads++
		}
	}
	return p
}

// atLoadLimit reports whether no further load may begin.
func (p *planner) atLoadLimit() bool { return p.loads >= max(p.in.MaxConcurrentLoads, 1) }

func (p *planner) assign(s *Server, spec Spec) {
	s.Ordered = spec
	p.loads++
	p.assignments = append(p.assignments, Assignment{Service: p.in.Service, Instance: s.Instance, Spec: spec})
}

// countByModel returns the number of servers assigned to each model.
func (p *planner) countByModel() map[string]int {
	n := make(map[string]int)
	for _, s := range p.servers {
		n[s.Ordered.Model]++
	}
	return n
}

func (p *planner) target(model string) (Target, bool) {
	for _, t := range p.in.Targets {
		if t.Spec.Model == model {
			return t, true
		}
	}
	return Target{}, false
}

// fillReplicas assigns servers to the targets below their minimum replicas, in
// order of importance: first unassigned servers, then those of targets that
// exceed their minimum. It assigns the remaining unassigned servers to the target
// furthest below its fair share.
func (p *planner) fillReplicas() {
	for _, t := range p.in.Targets {
		for p.countByModel()[t.Spec.Model] < max(t.Replicas, 1) && !p.atLoadLimit() {
			s := p.donor()
			if s == nil {
				return
			}
			p.assign(s, t.Spec)
		}
	}
	for !p.atLoadLimit() {
		s := p.unassigned()
		if s == nil {
			return
		}
		p.assign(s, p.mostUnderserved().Spec)
	}
}

// unassigned returns a server whose model is not a target, or nil.
func (p *planner) unassigned() *Server {
	for i := range p.servers {
		if _, ok := p.target(p.servers[i].Ordered.Model); !ok && !p.servers[i].Loading {
			return &p.servers[i]
		}
	}
	return nil
}

// donor returns an unassigned server, or else a server of the target that exceeds
// its minimum replicas by most.
func (p *planner) donor() *Server {
	if s := p.unassigned(); s != nil {
		return s
	}
	return p.surplus(func(t Target, n int) float64 { return float64(n - max(t.Replicas, 1)) })
}

// surplus returns a server of the target with the highest positive surplus, or
// nil. of returns the surplus of a target from the number of its servers. Only
// servers that run what they were assigned and whose model stays served without
// them are considered.
func (p *planner) surplus(of func(Target, int) float64) *Server {
	n := p.countByModel()
	var best *Server
	var most float64
	for i := range p.servers {
		s := &p.servers[i]
		t, ok := p.target(s.Ordered.Model)
		if !ok || s.Loading || !s.Ordered.Equal(s.Running) || !p.servedElsewhere(s) {
			continue
		}
		if d := of(t, n[t.Spec.Model]); d > most {
			best, most = s, d
		}
	}
	return best
}

// upgrade moves servers to the newer version, adapters or role of their target,
// up to the load limit. It moves the only server that serves a model only if no
// other server runs or is assigned the model.
func (p *planner) upgrade() {
	for i := range p.servers {
		s := &p.servers[i]
		t, ok := p.target(s.Ordered.Model)
		if !ok || s.Ordered.Equal(t.Spec) || s.Loading {
			continue
		}
		if p.atLoadLimit() || !p.servedElsewhere(s) {
			continue
		}
		p.assign(s, t.Spec)
	}
}

// servedElsewhere reports whether another server serves the model of s, or no
// other server runs the model or is assigned to it.
func (p *planner) servedElsewhere(s *Server) bool {
	others := 0
	for _, o := range p.servers {
		if o.Instance == s.Instance {
			continue
		}
		runs := !o.Loading && o.Running.Model == s.Running.Model
		if runs && o.Ordered.Equal(o.Running) {
			return true
		}
		if runs || o.Ordered.Model == s.Running.Model {
			others++
		}
	}
	return others == 0
}

// followDemand moves one server from the target that exceeds its fair share by
// most to the one furthest below its own, if the deficit is at least one server
// and the horizon justifies the load.
func (p *planner) followDemand() {
	if p.atLoadLimit() || p.in.Horizon < paybackLoadTimes*p.in.LoadTime {
		return
	}
	share := p.fairShares()
	recipient := p.mostUnderserved()
	if share[recipient.Spec.Model]-float64(p.countByModel()[recipient.Spec.Model]) < 1 {
		return
	}
	from := p.surplus(func(t Target, n int) float64 {
		if n <= max(t.Replicas, 1) {
			return 0
		}
		return float64(n) - share[t.Spec.Model]
	})
	if from != nil && from.Ordered.Model != recipient.Spec.Model {
		p.assign(from, recipient.Spec)
	}
}

// fairShares divides the servers among the targets in proportion to demand.
func (p *planner) fairShares() map[string]float64 {
	total := 0.0
	for _, t := range p.in.Targets {
		total += t.Demand
	}
	out := make(map[string]float64)
	for _, t := range p.in.Targets {
		if total > 0 {
			out[t.Spec.Model] = t.Demand / total * float64(len(p.servers))
		}
	}
	return out
}

// mostUnderserved returns the target furthest below its fair share, which without
// demand is the one with the fewest servers.
func (p *planner) mostUnderserved() Target {
	share, n := p.fairShares(), p.countByModel()
	deficit := func(t Target) float64 { return share[t.Spec.Model] - float64(n[t.Spec.Model]) }
	return slices.MaxFunc(p.in.Targets, func(a, b Target) int { return cmp.Compare(deficit(a), deficit(b)) })
}
