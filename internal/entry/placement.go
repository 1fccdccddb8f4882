package entry

import (
	"context"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/event"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/placement"
	"github.com/catkinrudder/catkinrudder/settings"
)

const (
	placementInterval = time.Second
	placementTimeout  = 5 * time.Second
	// maxConcurrentLoads is how many backend servers of a service may load a model at once.
	maxConcurrentLoads = 1
	// loadTime is the assumed duration of a load.
	loadTime = time.Minute
	// demandHorizon is the period over which demand is averaged.
	demandHorizon = 10 * time.Minute
)

// placements plans the placement of models for the services that this entry owns.
type placements struct {
	entry  *Server
	table  *placement.Table
	stream *commitlog.Stream
	demand demand
}

func (e *Server) newPlacements() *placements {
	table := placement.NewTable()
	return &placements{entry: e, table: table, stream: e.stream(placement.StreamName, table), demand: demand{tokens: make(map[string]float64)}}
}

// run plans until ctx is done. It starts only after it has folded everything
// that the log held when it was called.
func (p *placements) run(ctx context.Context) {
	if !waitCaughtUp(ctx, p.stream) {
		return
	}
	t := time.NewTicker(placementInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.plan(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (p *placements) plan(ctx context.Context) {
	p.demand.decay(placementInterval)
	doc, err := p.entry.document()
	if err != nil || p.entry.draining.Load() {
		return
	}
	for i := range doc.Services {
		svc := &doc.Services[i]
		if len(svc.Deploy) > 0 && p.entry.fleet.owns(placementTask(svc.Name)) {
			p.planService(ctx, svc)
		}
	}
}

func (p *placements) planService(ctx context.Context, svc *desired.Service) {
	servers, complete := p.entry.fleet.servers(svc.Name, p.table)
	if !complete {
		return
	}
	in := placement.Input{
		Service:            svc.Name,
		Servers:            servers,
		MaxConcurrentLoads: maxConcurrentLoads,
		LoadTime:           loadTime,
		Horizon:            demandHorizon,
	}
	for _, d := range svc.Deploy {
		in.Targets = append(in.Targets, placement.Target{
			Spec:     placement.Spec{Model: d.Model, Version: d.Version, Adapters: d.Adapters, Role: d.Role},
			Replicas: d.Replicas,
			Demand:   p.demand.of(d.Model),
		})
	}
	for _, a := range placement.Plan(in) {
		p.assign(ctx, a)
	}
}

func (p *placements) assign(ctx context.Context, a placement.Assignment) {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	entry, err := commitlog.NewEntry(placement.KindAssignment, a)
	if err == nil {
		_, err = p.stream.Commit(ctx, entry)
	}
	event.Log(p.entry.logger, event.ModelAssigned, "backend", a.Instance, "service", a.Service, "model", a.Spec.Model, "version", a.Spec.Version, "err", err)
}

// servers returns the live backend servers of a service that accept orders.
// complete is false while a listed one has neither reported nor missed enough
// reports to count as unavailable, because it may be running replicas.
func (f *fleet) servers(service string, table *placement.Table) (out []placement.Server, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, m := range f.members {
		if m.instance.Role != string(settings.RoleSidecar) || m.instance.Service != service || m.leaving {
			continue
		}
		if m.incarnation == "" && m.missed < maxMissedReports {
			return nil, false
		}
		if m.incarnation == "" || m.running == nil {
			continue
		}
		order, _ := table.Order(name)
		out = append(out, placement.Server{Instance: name, Running: toSpec(m.running), Ordered: order.Spec, Loading: m.loading})
	}
	return out, true
}

// orderFor returns the order for a sidecar that has only received older ones.
func (f *fleet) orderFor(m member) *peerv1.Order {
	o, ok := f.orders.Order(m.instance.Name)
	if !ok || o.Fence <= m.fence {
		return nil
	}
	return &peerv1.Order{Fence: o.Fence, Spec: &peerv1.Spec{
		Model: o.Spec.Model, Version: o.Spec.Version, Adapters: o.Spec.Adapters, Role: o.Spec.Role,
	}}
}

func toSpec(s *peerv1.Spec) placement.Spec {
	return placement.Spec{Model: s.Model, Version: s.Version, Adapters: s.Adapters, Role: s.Role}
}

// modelsOf returns the models that a sidecar's backend server serves; an empty
// result means all models of its service.
func modelsOf(r *peerv1.ReportResponse) []string {
	if r.Running == nil {
		return nil
	}
	return []string{r.Running.Model}
}

// demand is the recent number of tokens of each model in requests through this
// entry.
type demand struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func (d *demand) add(model string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tokens[model] += float64(tokens)
}

func (d *demand) of(model string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tokens[model]
}

// decay reduces the token counts, so that they are exponentially decaying averages
// over the horizon.
func (d *demand) decay(elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for m := range d.tokens {
		d.tokens[m] *= 1 - elapsed.Seconds()/demandHorizon.Seconds()
	}
}
