package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
)

// sim runs gateways in front of engines in virtual time. Engines admit attempts in the
// order of arrival and have a fixed number of slots. Online requests and batch items
// hold a slot for a while; batch items are stopped on request.
type sim struct {
	simConfig
	gateways []*balance.Table
	engines  []*engine
	backends []catalog.Backend
	// candidates are the backend servers as gateways know them.
	candidates []catalog.Backend
	rng        *rand.Rand
	// lastReport is when each gateway has last reported, reportDue whether a report is due.
	// lastWide is when it has last reported to other zones.
	lastReport, lastWide []time.Time
	reportDue            []bool

	now    time.Time
	events eventQueue
	seq    int
	// batchAttempts lists the batch attempts in progress of each gateway.
	batchAttempts map[int][]*attempt
	// waits holds how long each online request waited for its slot; refused counts
	// the requests that no backend server had capacity for.
	waits   []time.Duration
	refused int
	// busy is the total time that slots were in use, by both classes.
	busy time.Duration
	// crossed counts the online requests that left their zone, by the zone.
	crossed, arrived map[string]int
}

func newSim(seed uint64, c simConfig) *sim {
	s := &sim{simConfig: c, crossed: make(map[string]int), arrived: make(map[string]int), lastReport: make([]time.Time, c.numGateways), lastWide: make([]time.Time, c.numGateways), reportDue: make([]bool, c.numGateways), rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0), batchAttempts: make(map[int][]*attempt)}
	for i := range c.numGateways {
		s.gateways = append(s.gateways, balance.New(balance.Options{Zone: c.zoneOf(i), RegionOf: c.regionOf(), Paths: c.paths, PeerTTL: time.Hour, Seed: seed + uint64(i)}))
	}
	for i := range c.numEngines {
		s.engines = append(s.engines, &engine{phases: s.phases()})
		s.backends = append(s.backends, catalog.Backend{ID: fmt.Sprint("b", i), Zone: c.zoneOf(i), Slots: simSlots, State: catalog.Ready})
	}
	s.candidates = slices.Clone(s.backends)
	for _, i := range c.lost {
		s.candidates[i].State = catalog.Draining
	}
	return s
}

// phases returns the ends of the spans of an engine's paces; the first span is at the usual pace.
func (s *sim) phases() []time.Time {
	if s.slowShare == 0 {
		return nil
	}
	usualTime := float64(s.slowTime) * (1 - s.slowShare) / s.slowShare
	var ends []time.Time
	for at := s.now; at.Before(s.now.Add(2 * s.length)); {
		mean := usualTime
		if len(ends)%2 == 1 {
			mean = float64(s.slowTime)
		}
		at = at.Add(time.Duration(s.rng.ExpFloat64() * mean))
		ends = append(ends, at)
	}
	return ends
}

// report makes a gateway send a report as soon as reportInterval allows.
func (s *sim) report(gateway int) {
	if s.reportDelay < 0 || s.reportDue[gateway] {
		return
	}
	s.reportDue[gateway] = true
	s.after(max(s.reportInterval-s.now.Sub(s.lastReport[gateway]), 0), func() { s.sendReport(gateway) })
}

// sendReport sends the attempts in progress of a gateway to the other gateways.
func (s *sim) sendReport(gateway int) {
	s.reportDue[gateway] = false
	s.lastReport[gateway] = s.now
	elsewhere := s.gateways[gateway].TakeChangeElsewhere() || s.now.Sub(s.lastWide[gateway]) >= quietInterval
	if elsewhere {
		s.lastWide[gateway] = s.now
	}
	base := balance.PeerReport{Counts: s.gateways[gateway].LocalCounts(), Started: s.gateways[gateway].Started(), Paces: s.gateways[gateway].FreshPaces(s.now)}
	for i, other := range s.gateways {
		if i != gateway && (elsewhere || s.zoneOf(i) == s.zoneOf(gateway)) {
			r := base
			r.Zone = s.zoneOf(gateway)
			r.OtherRegion = s.regionOf()[s.zoneOf(i)] != s.regionOf()[r.Zone]
			r.OtherZone = !r.OtherRegion && s.zoneOf(i) != r.Zone
			s.after(s.reportDelay, func() {
				other.SetPeer(fmt.Sprint(gateway), r, s.now)
				s.stopExcess(i)
			})
		}
	}
}

// arrive sends an online request through a gateway.
func (s *sim) arrive(gateway int) {
	zone := s.zoneOf(gateway)
	s.arrived[zone]++
	c, ok := s.gateways[gateway].Pick(s.candidates, balance.Requirements{}, s.now)
	if !ok {
		s.refused++
		return
	}
	if c.Backend.Zone != zone {
		s.crossed[zone]++
	}
	s.send(gateway, c, balance.Online)
	s.stopExcess(gateway)
}

func (s *sim) send(gateway int, c balance.Choice, class balance.Class) {
	a := &attempt{gateway: gateway, choice: c, class: class, arrived: s.now}
	for i, b := range s.backends {
		if b.ID == c.Backend.ID {
			a.engine = i
		}
	}
	if class == balance.Batch {
		s.batchAttempts[gateway] = append(s.batchAttempts[gateway], a)
	}
	e := s.engines[a.engine]
	e.queue = append(e.queue, a)
	s.report(gateway)
	s.admit(e)
}

// stopExcess stops the excess batch attempts of a gateway.
func (s *sim) stopExcess(gateway int) {
	if len(s.batchAttempts[gateway]) == 0 {
		return
	}
	for i, b := range s.backends {
		for range s.gateways[gateway].ExcessBatch(fmt.Sprint(gateway), b, s.now) {
			s.stopBatchAttempt(gateway, i)
		}
	}
}

func (s *sim) stopBatchAttempt(gateway, engine int) {
	for i, a := range s.batchAttempts[gateway] {
		if a.engine == engine && !a.ended {
			s.batchAttempts[gateway] = append(s.batchAttempts[gateway][:i:i], s.batchAttempts[gateway][i+1:]...)
			s.end(a)
			return
		}
	}
}

// online generates requests at random gateways with bursts of almost twice the mean rate
// for two of every five seconds.
func (s *sim) online() {
	s.arrive(s.randomGateway())
	rate := s.onlinePerSecond * 0.5
	if s.now.Unix()%5 >= 3 {
		rate = s.onlinePerSecond * 1.75
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.online)
}

// randomGateway returns the gateway of the next online request.
func (s *sim) randomGateway() int {
	for {
		gateway := s.rng.IntN(s.numGateways)
		if len(s.weights) == 0 || s.rng.Float64() < s.weights[gateway%s.zones]/slices.Max(s.weights) {
			return gateway
		}
	}
}

// batchCycle starts an item at a gateway whenever a backend server has capacity for it.
func (s *sim) batchCycle(gateway int) {
	if c, ok := s.gateways[gateway].Pick(s.candidates, balance.Requirements{Class: balance.Batch}, s.now); ok {
		s.send(gateway, c, balance.Batch)
	}
	s.after(10*time.Millisecond+s.random(10*time.Millisecond), func() { s.batchCycle(gateway) })
}

// startObjective is the time in which a request has to get its slot so that its first
// event can arrive within an objective of 300 ms.
const startObjective = 250 * time.Millisecond

// inTime returns the fraction of all online requests that got a slot in time.
func (s *sim) inTime() float64 {
	n := 0
	for _, w := range s.waits {
		if w <= startObjective {
			n++
		}
	}
	return float64(n) / float64(len(s.waits)+s.refused)
}

func (s *sim) utilization() float64 {
	return float64(s.busy) / float64(s.length*time.Duration(s.numEngines*simSlots))
}

func simulate(seed uint64, c simConfig) *sim {
	s := newSim(seed, c)
	s.after(0, s.online)
	for gateway := range c.numGateways {
		if c.batch {
			s.after(0, func() { s.batchCycle(gateway) })
		}
	}
	s.until(c.length)
	return s
}

// TestOnlineIsNotSlowedByBatch runs bursts of online requests beside more batch work
// than fits. The fraction of online requests that start in time stays within a
// hundredth of the fraction without batch, and batch uses the capacity that they
// leave. Gateways that only count their own attempts do worse at both.
func TestOnlineIsNotSlowedByBatch(t *testing.T) {
	for seed := range uint64(3) {
		alone, silent := smallFleet, smallFleet
		alone.batch, silent.reportDelay = false, -1
		onlineOnly, withBatch, withoutReports := simulate(seed, alone), simulate(seed, smallFleet), simulate(seed, silent)
		t.Logf("seed %d: in time alone %.4f, with batch %.4f, without reports %.4f; used %.3f, %.3f, %.3f",
			seed, onlineOnly.inTime(), withBatch.inTime(), withoutReports.inTime(), onlineOnly.utilization(), withBatch.utilization(), withoutReports.utilization())
		assert.Assert(t, onlineOnly.inTime() >= 0.99)
		assert.Assert(t, withBatch.inTime() >= onlineOnly.inTime()-0.01)
		assert.Assert(t, withoutReports.inTime() < withBatch.inTime())
		assert.Assert(t, withBatch.utilization() >= 0.85)
	}
}

// TestStaleReportsDoNotOverloadBackendServers runs bursts at a region that is so large that
// a gateway knows what the others have started only some hundred milliseconds later. There
// are several free slots for each request. If all gateways chose the least loaded server
// of the last reports, they would all choose the same one.
func TestStaleReportsDoNotOverloadBackendServers(t *testing.T) {
	alone := largeRegion
	alone.batch = false
	onlineOnly, withBatch := simulate(1, alone), simulate(1, largeRegion)
	t.Logf("in time alone %.4f, with batch %.4f; used %.3f, %.3f", onlineOnly.inTime(), withBatch.inTime(), onlineOnly.utilization(), withBatch.utilization())
	assert.Assert(t, onlineOnly.inTime() >= 0.99)
	assert.Assert(t, withBatch.inTime() >= 0.99)
}
