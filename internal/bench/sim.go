package bench

import (
	"strconv"
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/routing"
)

// admitter makes the admission decisions for one backend server; admission.Core
// implements it.
type admitter interface {
	Tick(now time.Duration, in ...admission.Input) []admission.Action
	Load() admission.Load
}

// router chooses backend servers for one entry; routing.Table implements it.
type router interface {
	Upsert(b routing.Backend)
	Observe(now time.Duration, instance string, l routing.Load)
	RecordResult(now time.Duration, instance string, res routing.Result) bool
	Pick(now time.Duration, q routing.Request) (routing.Decision, bool)
	BatchRoom(now time.Duration, service string) int
}

// sim is one simulation of one policy on one deployment.
type sim struct {
	clock
	dep     Deployment
	policy  policy
	seed    uint64
	end     time.Duration
	workers []*worker
	byName  map[string]*worker
	entries []*entry
	link    link
	stats   *stats
	// tbtTarget is the gap between online tokens above which a gap counts as late.
	tbtTarget time.Duration
}

func newSim(d Deployment, p policy, seed uint64, duration time.Duration) *sim {
	s := &sim{
		dep: d, policy: p, seed: seed, end: duration,
		byName: make(map[string]*worker),
		link:   newLink(d),
		stats:  newStats(),
	}
	for i, svc := range d.Services {
		for k := range svc.Workers {
			w := newWorker(s, i, k)
			s.workers = append(s.workers, w)
			s.byName[w.name] = w
		}
	}
	for i, z := range d.Entries {
		s.entries = append(s.entries, newEntry(s, i, z))
	}
	return s
}

// run simulates the arrivals and the batch backlog until the end time.
func (s *sim) run(arrivals []*request) *stats {
	for _, r := range arrivals {
		s.after(r.arrival+s.dep.ClientDelay, func() {
			s.entries[r.entry].dispatch(&attempt{req: r, entry: s.entries[r.entry]})
		})
	}
	for _, w := range s.workers {
		w.report()
		w.timer()
	}
	if s.policy.batch {
		s.startFeeders()
	}
	s.runUntil(s.end)
	s.stats.linkBytes = s.link.bytes
	return s.stats
}

// startFeeders assigns the backlog of each region to the region's first entry.
func (s *sim) startFeeders() {
	seen := make(map[string]bool)
	for _, e := range s.entries {
		region := s.dep.Zones[e.zone].Region
		if seen[region] {
			continue
		}
		seen[region] = true
		for i, svc := range s.dep.Services {
			if svc.Batch != nil {
				newFeeder(s, e, i).feed()
			}
		}
	}
}

// send schedules the delivery of a message between two zones.
func (s *sim) send(from, to, bytes int, p purpose, deliver func()) {
	d := s.dep.ZoneDelay
	if from == to {
		d = s.dep.ZoneDelay / 2
	}
	if s.dep.Zones[from].Region != s.dep.Zones[to].Region {
		d = s.link.transfer(s.now, from, bytes, p) + s.dep.RegionDelay
	}
	s.after(d, deliver)
}

func instanceName(service string, k int) string { return service + "-" + strconv.Itoa(k) }
