package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
)

// fleet is a set of gateways that share a set of backend servers, a fifth of which
// fail part of their requests. A single gateway rarely sees a failure of one of them.
type fleet struct {
	gateways []*balance.Table
	backends []catalog.Backend
	rng      *rand.Rand
	now      time.Time
	running  []runningAttempt
	requests int
	failed   int
}

// runningAttempt is an attempt in progress.
type runningAttempt struct {
	gateway *balance.Table
	id      string
	end     time.Time
}

const (
	fleetGateways   = 35
	fleetBackends   = 50
	fleetGrey       = 10
	greyFailureRate = 0.4
	requestInterval = 5 * time.Millisecond
	responseTime    = 700 * time.Millisecond
	reportInterval  = 250 * time.Millisecond
)

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, seed)), now: now}
	for i := range fleetGateways {
		f.gateways = append(f.gateways, balance.New(balance.Options{Zone: "a", PeerTTL: time.Second, Seed: seed + uint64(i)}))
	}
	for i := range fleetBackends {
		f.backends = append(f.backends, backend(fmt.Sprint("i-", i), "a"))
	}
	return f
}

// run sends requests for a duration. If share is set, gateways exchange reports.
func (f *fleet) run(d time.Duration, share bool) {
	next := f.now
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(requestInterval) {
		if share && !f.now.Before(next) {
			f.report()
			next = f.now.Add(reportInterval)
		}
		for len(f.running) > 0 && !f.now.Before(f.running[0].end) {
			f.end(f.running[0])
			f.running = f.running[1:]
		}
		f.request(f.gateways[f.rng.IntN(fleetGateways)])
	}
}

func (f *fleet) request(gateway *balance.Table) {
	c, ok := gateway.Pick(f.backends, balance.Requirements{}, f.now)
	if !ok {
		return
	}
	f.requests++
	f.running = append(f.running, runningAttempt{gateway, c.Backend.ID, f.now.Add(responseTime)})
}

func (f *fleet) end(r runningAttempt) {
	r.gateway.Release(r.id, balance.Online)
	if f.grey(r.id) && f.rng.Float64() < greyFailureRate {
		f.failed++
		r.gateway.RecordFailure(r.id, false, f.now)
		return
	}
	r.gateway.RecordSuccess(r.id)
}

func (f *fleet) grey(id string) bool {
	for _, b := range f.backends[:fleetGrey] {
		if b.ID == id {
			return true
		}
	}
	return false
}

func (f *fleet) report() {
	for i, e := range f.gateways {
		report := balance.PeerReport{Counts: e.LocalCounts(), Failures: e.Failures(f.now)}
		for j, other := range f.gateways {
			if i != j {
				other.SetPeer(fmt.Sprint(i), report, f.now)
			}
		}
	}
}

// TestGatewaysEjectGreyBackendServersTogether compares the failures that callers see
// with and without reports between the gateways.
func TestGatewaysEjectGreyBackendServersTogether(t *testing.T) {
	for seed := range uint64(4) {
		alone, together := newFleet(seed), newFleet(seed)
		alone.run(8*time.Second, false)
		together.run(8*time.Second, true)
		assert.Assert(t, together.failed*2 < alone.failed, "%d failures of %d, %d without reports", together.failed, together.requests, alone.failed)
	}
}

// TestFailuresOfOneGatewayEjectNothing covers a gateway whose own link is broken: it
// alone fails at every backend server, and the other gateways eject none of them.
func TestFailuresOfOneGatewayEjectNothing(t *testing.T) {
	f := newFleet(1)
	for range 20 {
		for _, b := range f.backends[:fleetBackends/4] {
			f.gateways[0].RecordFailure(b.ID, true, f.now)
		}
		f.report()
		f.now = f.now.Add(reportInterval)
	}
	availability := f.gateways[1].Availability(f.backends, balance.Requirements{}, f.now)
	assert.Equal(t, availability.Ejected, 0)
}

// TestFailuresBeforeStartEjectNothing covers a new gateway that receives reports of
// failures from before its start.
func TestFailuresBeforeStartEjectNothing(t *testing.T) {
	f := newFleet(1)
	fresh := balance.New(balance.Options{Zone: "a", PeerTTL: time.Second, Seed: 99})
	for i, e := range f.gateways[:5] {
		for range 5 {
			e.RecordFailure("i-0", false, f.now)
		}
		fresh.SetPeer(fmt.Sprint(i), balance.PeerReport{Failures: e.Failures(f.now)}, f.now)
	}
	assert.Equal(t, fresh.Availability(f.backends, balance.Requirements{}, f.now).Ejected, 0)
}

// TestFailuresDuringPartitionEjectNothing covers a partition of some gateways: the
// backend servers that they failed to reach meanwhile were reachable for the others.
func TestFailuresDuringPartitionEjectNothing(t *testing.T) {
	f := newFleet(1)
	f.report()
	f.now = f.now.Add(2 * time.Second) // longer than a report is valid
	for _, e := range f.gateways[:6] {
		for _, b := range f.backends[:fleetBackends/3] {
			e.RecordFailure(b.ID, true, f.now)
		}
	}
	f.report()
	assert.Equal(t, f.gateways[20].Availability(f.backends, balance.Requirements{}, f.now).Ejected, 0)
}
