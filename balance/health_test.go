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

func TestFailingBackendServerIsEjected(t *testing.T) {
	table := newTable()
	a, b, c := backend("a", "a"), backend("b", "a"), backend("c", "a")
	assert.Assert(t, table.RecordFailure("a", true, now) > 0)
	for range 8 {
		assert.Assert(t, pick(t, table, balance.Requirements{}, a, b, c).Backend.ID != "a")
	}
	assert.Equal(t, pick(t, table, balance.Requirements{Exclude: map[string]bool{"b": true, "c": true}}, a, b, c).Backend.ID, "a", "an ejected server is better than none")
	only := balance.Requirements{Class: balance.Batch, Exclude: map[string]bool{"b": true, "c": true}}
	_, ok := table.Pick([]catalog.Backend{a, b, c}, only, now)
	assert.Assert(t, !ok, "batch does not use an ejected server")
	choice, ok := table.Pick([]catalog.Backend{a, b, c}, only, now.Add(time.Minute))
	assert.Assert(t, ok)
	assert.Equal(t, choice.Backend.ID, "a")
}

func TestSingleFailureDoesNotEject(t *testing.T) {
	table := newTable()
	assert.Equal(t, table.RecordFailure("a", false, now), time.Duration(0))
	for range 3 {
		table.RecordSuccess("a")
	}
	assert.Equal(t, table.RecordFailure("a", false, now), time.Duration(0))
	table.RecordSuccess("a")
	assert.Assert(t, table.RecordFailure("a", false, now) > 0, "two failures in a short time eject the server")
}

// TestGreyBackendServerIsEjected runs one backend server of nine that fails two
// fifths of its requests and checks that it receives less than half of its share.
func TestGreyBackendServerIsEjected(t *testing.T) {
	table := newTable()
	rng := rand.New(rand.NewPCG(1, 2))
	var all []catalog.Backend
	for i := range 9 {
		all = append(all, backend(fmt.Sprint(i), "a"))
	}
	counts := make(map[string]int)
	at := now
	const requests = 900
	for range requests {
		at = at.Add(50 * time.Millisecond)
		c, ok := table.Pick(all, balance.Requirements{}, at)
		assert.Assert(t, ok)
		id := c.Backend.ID
		counts[id]++
		table.Release(id, balance.Online)
		if id == "0" && rng.Float64() < 0.4 {
			table.RecordFailure(id, false, at)
			continue
		}
		table.RecordSuccess(id)
	}
	assert.Assert(t, counts["0"]*2 < requests/9, "the failing server received %d of %d requests", counts["0"], requests)
}

// TestRequestsThatRunOnceAvoidDoubtfulBackendServers plays five seconds in which two of six
// backend servers lose one answer in forty: each loss of a request that may run only once
// is a failed request. Repeatable requests continue to use these servers.
func TestRequestsThatRunOnceAvoidDoubtfulBackendServers(t *testing.T) {
	const perSecond, lossRate = 200, 0.025
	const inFlight = 16 // of 24 slots
	lost, repeatable := 0, 0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := balance.New(balance.Options{Zone: "a", PeerTTL: time.Second, Seed: seed})
		servers := make([]catalog.Backend, 6)
		for i := range servers {
			servers[i] = backend(fmt.Sprint("s", i), "a")
		}
		var running []string
		at := now
		for i := range 5 * perSecond {
			at = at.Add(time.Second / perSecond)
			once := i%2 == 0
			c, ok := table.Pick(servers, balance.Requirements{RunsOnce: once}, at)
			assert.Assert(t, ok)
			if running = append(running, c.Backend.ID); len(running) > inFlight {
				table.Release(running[0], balance.Online)
				running = running[1:]
			}
			faulty := c.Backend.ID == "s0" || c.Backend.ID == "s1"
			if faulty && !once {
				repeatable++
			}
			if !faulty || rng.Float64() >= lossRate {
				table.RecordSuccess(c.Backend.ID)
				continue
			}
			table.RecordFailure(c.Backend.ID, false, at)
			if once {
				lost++
			}
		}
	}
	t.Logf("lost %d, repeatable at the faulty servers %d", lost, repeatable)
	// Without a distinction a third of 10,000 requests meet a loss rate of 0.025: 83.
	assert.Assert(t, lost < 83/2, "%d requests that may run once were lost", lost)
	assert.Assert(t, repeatable > 500, "%d repeatable requests at the faulty servers", repeatable)
}

func TestEjectionOfMostCandidatesIsIgnored(t *testing.T) {
	table := newTable()
	a, b, c := backend("a", "a"), backend("b", "a"), backend("c", "a")
	table.RecordFailure("a", true, now)
	table.RecordFailure("b", true, now)
	counts := make(map[string]int)
	for range 9 {
		counts[pick(t, table, balance.Requirements{}, a, b, c).Backend.ID]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 3, "b": 3, "c": 3})
}
