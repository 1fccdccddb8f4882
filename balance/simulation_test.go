package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
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
	gateways []*balance.Table
	engines  []*engine
	backends []catalog.Backend
	// delay is the latency of a report between gateways; a negative value disables
	// reports.
	delay time.Duration
	rng   *rand.Rand

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
}

type engine struct {
	running int
	queue   []*attempt
}

type attempt struct {
	gateway, engine int
	class           balance.Class
	arrived         time.Time
	started         time.Time // zero until it has a slot
	ended           bool
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	simGateways = 8
	simEngines  = 9
	simSlots    = 8
	onlineTime  = 750 * time.Millisecond
	batchTime   = 5 * time.Second
)

func newSim(seed uint64, delay time.Duration) *sim {
	s := &sim{delay: delay, rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0), batchAttempts: make(map[int][]*attempt)}
	for i := range simGateways {
		s.gateways = append(s.gateways, balance.New(balance.Options{Zone: "z", PeerTTL: time.Hour, Seed: seed + uint64(i)}))
	}
	for i := range simEngines {
		s.engines = append(s.engines, &engine{})
		s.backends = append(s.backends, catalog.Backend{ID: fmt.Sprint("b", i), Zone: "z", Slots: simSlots, State: catalog.Ready})
	}
	return s
}

// random returns a random duration below d.
func (s *sim) random(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

func (s *sim) until(end time.Duration) {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.After(time.Unix(0, 0).Add(end)) {
			return
		}
		s.now = e.at
		e.run()
	}
}

// report sends the attempts in progress of a gateway to the other gateways.
func (s *sim) report(gateway int) {
	if s.delay < 0 {
		return
	}
	counts := s.gateways[gateway].LocalCounts()
	for i, other := range s.gateways {
		if i != gateway {
			s.after(s.delay, func() {
				other.SetPeer(fmt.Sprint(gateway), balance.PeerReport{Counts: counts}, s.now)
				s.stopExcess(i)
			})
		}
	}
}

// arrive sends an online request through a gateway.
func (s *sim) arrive(gateway int) {
	c, ok := s.gateways[gateway].Pick(s.backends, balance.Requirements{}, s.now)
	if !ok {
		s.refused++
		return
	}
	s.send(gateway, c, balance.Online)
	s.stopExcess(gateway)
}

func (s *sim) send(gateway int, c balance.Choice, class balance.Class) {
	a := &attempt{gateway: gateway, class: class, arrived: s.now}
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

func (s *sim) admit(e *engine) {
	for e.running < simSlots && len(e.queue) > 0 {
		a := e.queue[0]
		e.queue = e.queue[1:]
		if a.ended {
			continue
		}
		a.started = s.now
		e.running++
		duration := batchTime
		if a.class == balance.Online {
			s.waits = append(s.waits, s.now.Sub(a.arrived))
			duration = onlineTime/2 + s.random(onlineTime)
		}
		s.after(duration, func() { s.end(a) })
	}
}

func (s *sim) end(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	if !a.started.IsZero() {
		s.engines[a.engine].running--
		s.busy += s.now.Sub(a.started)
	}
	s.gateways[a.gateway].Release(s.backends[a.engine].ID, a.class)
	s.report(a.gateway)
	s.admit(s.engines[a.engine])
}

// stopExcess stops the excess batch attempts of a gateway.
func (s *sim) stopExcess(gateway int) {
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

// online generates requests at random gateways, perSecond on average, with bursts of
// almost twice as many for two of every five seconds.
func (s *sim) online(perSecond float64) {
	gateway := s.rng.IntN(simGateways)
	s.arrive(gateway)
	rate := perSecond * 0.5
	if s.now.Unix()%5 >= 3 {
		rate = perSecond * 1.75
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.online(perSecond) })
}

// batch starts an item at a gateway whenever a backend server has capacity for it.
func (s *sim) batch(gateway int) {
	if c, ok := s.gateways[gateway].Pick(s.backends, balance.Requirements{Class: balance.Batch}, s.now); ok {
		s.send(gateway, c, balance.Batch)
	}
	s.after(10*time.Millisecond+s.random(10*time.Millisecond), func() { s.batch(gateway) })
}

const (
	simTime = 60 * time.Second
	// reportDelay is the latency of a report within a region.
	reportDelay = 4 * time.Millisecond
	// startObjective is the time in which a request has to get its slot so that its
	// first event can arrive within an objective of 300 ms.
	startObjective = 250 * time.Millisecond
	// onlineRate is the online load in requests per second: 0.45 of the capacity on
	// average and 0.8 in bursts.
	onlineRate = 45
)

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
	return float64(s.busy) / float64(simTime*simEngines*simSlots)
}

func simulate(seed uint64, delay time.Duration, batch bool) *sim {
	s := newSim(seed, delay)
	s.after(0, func() { s.online(onlineRate) })
	for gateway := range simGateways {
		if batch {
			s.after(0, func() { s.batch(gateway) })
		}
	}
	s.until(simTime)
	return s
}

// TestOnlineIsNotSlowedByBatch runs bursts of online requests beside more batch work
// than fits. The fraction of online requests that start in time stays within a
// hundredth of the fraction without batch, and batch uses the capacity that they
// leave. Gateways that only count their own attempts do worse at both.
func TestOnlineIsNotSlowedByBatch(t *testing.T) {
	for seed := range uint64(3) {
		onlineOnly := simulate(seed, reportDelay, false)
		withBatch := simulate(seed, reportDelay, true)
		withoutReports := simulate(seed, -1, true)
		t.Logf("seed %d: in time alone %.4f, with batch %.4f, without reports %.4f; used %.3f, %.3f, %.3f",
			seed, onlineOnly.inTime(), withBatch.inTime(), withoutReports.inTime(), onlineOnly.utilization(), withBatch.utilization(), withoutReports.utilization())
		assert.Assert(t, onlineOnly.inTime() >= 0.99)
		assert.Assert(t, withBatch.inTime() >= onlineOnly.inTime()-0.01)
		assert.Assert(t, withoutReports.inTime() < withBatch.inTime())
		assert.Assert(t, withBatch.utilization() >= 0.85)
	}
}
