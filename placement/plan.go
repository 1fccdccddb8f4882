package placement

import (
	"cmp"
	"slices"
	"time"
)

// Target is one spec of a service.
type Target struct {
	Spec Spec
	// Replicas is the least number of backend servers that run it.
	Replicas int
	// Demand is the recent work for the model, in any unit that all targets of
	// the service share.
	Demand float64
}

// Server is one live backend server as the planner sees it.
type Server struct {
	Instance string
	// Running is what the backend server reports, Ordered what it was told.
	Running, Ordered Spec
	// Loading says that it loads and takes no work.
	Loading bool
}

// Input is what one plan of one service depends on.
type Input struct {
	Service string
	Targets []Target
	Servers []Server
	// MaxLoads bounds the backend servers that load at once, so that they share
	// the weight store's rate and the others serve.
	MaxConcurrentLoads int
	// LoadTime is how long a load takes, Horizon how long demand is expected to
	// stay as it is: a move for the sake of demand pays for itself only if the
	// horizon is several times the load time.
	LoadTime, Horizon time.Duration
}

// payback is how many load times demand must last for a move to pay.
const payback = 4

// Plan returns the assignments to make now, few at a time and in an order that
// depends on the input alone. Steps: count what loads, fill the least replicas,
// upgrade one by one, then follow demand.
func Plan(in Input) []Assignment {
	p := newPlanner(in)
	p.fillReplicas()
	p.upgrade()
	p.followDemand()
	return p.out
}

// planner is the state of one plan.
type planner struct {
	in      Input
	servers []Server
	loads   int
	out     []Assignment
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, servers: slices.Clone(in.Servers)}
	slices.SortFunc(p.servers, func(a, b Server) int { return cmp.Compare(a.Instance, b.Instance) })
	for i := range p.servers {
		s := &p.servers[i]
		if s.Ordered.Model == "" {
			s.Ordered = s.Running // a decision that is not known any more
		}
		if s.Loading || !s.Ordered.Equal(s.Running) {
			p.loads++
		}
	}
	return p
}

// busy reports whether no further load may begin.
func (p *planner) busy() bool { return p.loads >= max(p.in.MaxConcurrentLoads, 1) }

func (p *planner) assign(s *Server, spec Spec) {
	s.Ordered = spec
	p.loads++
	p.out = append(p.out, Assignment{Service: p.in.Service, Instance: s.Instance, Spec: spec})
}

// count returns how many servers are to run each model.
func (p *planner) count() map[string]int {
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

// fillReplicas gives servers that run nothing of the service to the targets,
// those short of their least replicas first, in the order of importance.
func (p *planner) fillReplicas() {
	for _, t := range p.in.Targets {
		for p.count()[t.Spec.Model] < max(t.Replicas, 1) && !p.busy() {
			s := p.spare()
			if s == nil {
				return
			}
			p.assign(s, t.Spec)
		}
	}
	for !p.busy() {
		s := p.idle()
		if s == nil || len(p.in.Targets) == 0 {
			return
		}
		p.assign(s, p.neediest().Spec)
	}
}

// idle returns a server whose model is no target, if any.
func (p *planner) idle() *Server {
	for i := range p.servers {
		if _, ok := p.target(p.servers[i].Ordered.Model); !ok && !p.servers[i].Loading {
			return &p.servers[i]
		}
	}
	return nil
}

// spare returns an idle server or one of the target with the most above its
// least replicas.
func (p *planner) spare() *Server {
	if s := p.idle(); s != nil {
		return s
	}
	return p.surplus(func(t Target, n int) float64 { return float64(n - max(t.Replicas, 1)) })
}

// surplus returns a settled server of the target with the highest positive
// surplus.
func (p *planner) surplus(of func(Target, int) float64) *Server {
	n := p.count()
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

// upgrade moves one server at a time to a target's newer version, adapters or
// role, and never the only one that serves the model unless it is the only one
// there is.
func (p *planner) upgrade() {
	for i := range p.servers {
		s := &p.servers[i]
		t, ok := p.target(s.Ordered.Model)
		if !ok || s.Ordered.Equal(t.Spec) || s.Loading {
			continue
		}
		if p.busy() || !p.servedElsewhere(s) {
			continue
		}
		p.assign(s, t.Spec)
	}
}

// servedElsewhere reports whether another server serves what s serves, or no
// other server runs it or is to run it.
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

// followDemand moves one server from the target with the most spare share to
// the one with the least, if that is worth a whole server and pays for itself.
func (p *planner) followDemand() {
	if p.busy() || p.in.Horizon < payback*p.in.LoadTime {
		return
	}
	share := p.fairShares()
	needy := p.neediest()
	if share[needy.Spec.Model]-float64(p.count()[needy.Spec.Model]) < 1 {
		return
	}
	from := p.surplus(func(t Target, n int) float64 {
		if n <= max(t.Replicas, 1) {
			return 0
		}
		return float64(n) - share[t.Spec.Model]
	})
	if from != nil && from.Ordered.Model != needy.Spec.Model {
		p.assign(from, needy.Spec)
	}
}

// fairShares divides the servers among the targets by demand.
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

// neediest returns the target furthest below its fair share; without demand,
// the one with the fewest servers.
func (p *planner) neediest() Target {
	share, n := p.fairShares(), p.count()
	lack := func(t Target) float64 { return share[t.Spec.Model] - float64(n[t.Spec.Model]) }
	return slices.MaxFunc(p.in.Targets, func(a, b Target) int { return cmp.Compare(lack(a), lack(b)) })
}
