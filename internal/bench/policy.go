package bench

import (
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/routing"
)

// policy is a combination of admission and routing that runs a deployment.
type policy struct {
	name     string
	batch    bool
	admitter func(Service) admitter
	// routers returns the routers for online requests and batch items.
	routers func(z Zone, seed uint64) (online, batch router)
	// reserved reports whether a worker is reserved for batch.
	reserved func(*worker) bool
	// groupItems is the size of the groups in which batch items are sent
	// at once. If it is zero, items are sent as the router's batch room allows.
	groupItems int
}

// The names of the policies, in the order of the report.
const (
	noBatch      = "no-batch"     // the catkinrudder policy with online requests only
	catkinrudder = "catkinrudder" // this project's policy
	noPause      = "no-pause"     // the same without pauses, prefill slices and KV capacity
	previous     = "previous"     // the first policy of this project
	static       = "static"       // workers reserved for batch
	naive        = "naive"        // mixing with the maximum number of batch items
	naiveCapped  = "naive-capped" // mixing with just enough items for the same throughput
	naiveGroups  = "naive-groups" // mixing with batch items that arrive in groups
)

// catkinrudderPolicy is this project's policy with a sidecar that can pause batch
// attempts and prefill prompts in slices.
func catkinrudderPolicy(name string, batch bool) policy {
	p := noPausePolicy()
	p.name, p.batch = name, batch
	p.admitter = func(s Service) admitter {
		return admission.New(s.Policy, admission.WithPause(), admission.WithKVCapacity(s.Model.MemoryTokens))
	}
	return p
}

// noPausePolicy is this project's policy with a sidecar that can only preempt and
// has no figure for the engine's KV capacity.
func noPausePolicy() policy {
	return policy{
		name: noPause, batch: true,
		admitter: func(s Service) admitter { return admission.New(s.Policy) },
		routers: func(z Zone, seed uint64) (router, router) {
			t := routing.New(z.Region, z.Name, seed)
			return t, t
		},
	}
}

// previousPolicy is the first policy of this project, kept as a baseline.
func previousPolicy() policy {
	return policy{
		name: previous, batch: true,
		admitter: func(s Service) admitter { return newFIFOCore(s.Policy) },
		routers: func(Zone, uint64) (router, router) {
			t := newLeastWorkTable()
			return t, t
		},
	}
}

// staticPolicy reserves a third of the workers for batch.
func staticPolicy() policy {
	p := previousPolicy()
	p.name = static
	p.routers = func(Zone, uint64) (router, router) { return newLeastWorkTable(), newLeastWorkTable() }
	p.reserved = func(w *worker) bool {
		svc := w.sim.dep.Services[w.service]
		return svc.Batch != nil && w.index >= svc.Workers*2/3
	}
	return p
}

// naivePolicy mixes online and batch without priorities, in round-robin order,
// and keeps a fixed number of batch items at each worker.
func naivePolicy(name string, items int) policy {
	return policy{
		name: name, batch: true,
		admitter: func(Service) admitter { return &passThrough{slots: items} },
		routers: func(_ Zone, seed uint64) (router, router) {
			t := &roundRobin{services: make(map[string]*backendRing), start: int(seed)}
			return t, t
		},
	}
}

// unbounded is a limit that no run reaches.
const unbounded = 1 << 20

// naiveGroupsPolicy mixes online and batch without priorities, in round-robin
// order, and sends each group of batch items to the engines when it arrives.
func naiveGroupsPolicy(items int) policy {
	p := naivePolicy(naiveGroups, unbounded)
	p.groupItems = items
	return p
}

// passThrough starts every attempt on arrival.
type passThrough struct {
	slots   int // limits only the batch room that Load reports
	class   map[string]admission.Class
	running [2]int
}

// Tick implements admitter.
func (p *passThrough) Tick(_ time.Duration, in ...admission.Input) []admission.Action {
	if p.class == nil {
		p.class = make(map[string]admission.Class)
	}
	var out []admission.Action
	for _, i := range in {
		switch i := i.(type) {
		case admission.Arrive:
			p.class[i.Attempt.ID] = i.Attempt.Class
			p.running[i.Attempt.Class]++
			out = append(out, admission.Action{Kind: admission.Start, ID: i.Attempt.ID})
		case admission.Finish:
			if c, ok := p.class[i.ID]; ok {
				p.running[c]--
				delete(p.class, i.ID)
			}
		}
	}
	return out
}

// Load implements admitter.
func (p *passThrough) Load() admission.Load {
	return admission.Load{
		RunningOnline: p.running[admission.Online], RunningBatch: p.running[admission.Batch],
		BatchRoom: max(p.slots-p.running[admission.Batch], 0),
	}
}
