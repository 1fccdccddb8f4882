package balance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
)

// threeZones is a region of three zones with ten engines of eight slots each, which get half of the
// requests that they can serve on average and nearly all in bursts.
var threeZones = simConfig{
	numGateways: 12, numEngines: 30, zones: 3, onlineTime: 700 * time.Millisecond, firstByte: 30 * time.Millisecond,
	onlinePerSecond: 150, reportDelay: 3 * time.Millisecond, reportInterval: 7 * time.Millisecond, length: 6 * time.Second,
}

// enginesOf returns the first n engines of a zone.
func (c simConfig) enginesOf(zone, n int) (out []int) {
	for i := zone; len(out) < n; i += c.zones {
		out = append(out, i)
	}
	return out
}

// crossedShare returns the share of a zone's requests that left it.
func (s *sim) crossedShare(zone int) float64 {
	name := fmt.Sprint("z", zone)
	return float64(s.crossed[name]) / float64(s.arrived[name])
}

// asOne returns the same fleet in which zones do not count.
func (c simConfig) asOne() simConfig {
	c.paths = &balance.Paths{RegionRoundTrip: regionRoundTrip}
	return c
}

// TestRequestsLeaveTheirZoneByNeed plays the loads in which a zone's own servers are too few. Callers
// get as much as where zones do not count, and only what has to crosses.
func TestRequestsLeaveTheirZoneByNeed(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*simConfig)
		// inTime is the least fraction of requests that start in time.
		inTime float64
		// home and away bound the share of requests that leave the first zone and the others.
		homeLeast, homeMost, away float64
	}{
		{"even", func(*simConfig) {}, 0.99, 0, 0.1, 0.1},
		{"one zone at 1.6 of its load, 80 percent of its servers gone", func(c *simConfig) {
			c.weights, c.lost, c.onlinePerSecond = []float64{1.6, 1, 1}, c.enginesOf(0, 8), 110
		}, 0.99, 0.6, 1, 0.05},
		{"all zones full", func(c *simConfig) { c.onlinePerSecond = 330 }, 0, 0, 0.35, 0.35},
		{"a zone without servers", func(c *simConfig) { c.lost, c.onlinePerSecond = c.enginesOf(0, 10), 90 }, 0.99, 1, 1, 0.1},
		{"a region of one zone", func(c *simConfig) { c.zones, c.numGateways, c.numEngines = 1, 4, 10; c.onlinePerSecond = 50 }, 0.98, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cfg := threeZones
			c.change(&cfg)
			s, reference := simulate(1, cfg), simulate(1, cfg.asOne())
			t.Logf("in time %.4f, where zones do not count %.4f; crossed %.3f", s.inTime(), reference.inTime(), s.crossedShare(0))
			assert.Assert(t, s.inTime() >= c.inTime)
			assert.Assert(t, s.inTime() >= reference.inTime()-0.01)
			home := s.crossedShare(0)
			assert.Assert(t, home >= c.homeLeast && home <= c.homeMost, "%f of the first zone", home)
			for zone := 1; zone < cfg.zones; zone++ {
				assert.Assert(t, s.crossedShare(zone) <= c.away, "%f of zone %d", s.crossedShare(zone), zone)
			}
		})
	}
}

// TestNarrowLinksAreUsedLast plays a zone whose only neighbour is in a far region, and that gets more
// in bursts than it can serve. Where the bytes on the link cost more than a short wait, requests
// wait and fewer cross; those that would be refused cross still.
func TestNarrowLinksAreUsedLast(t *testing.T) {
	cfg := threeZones
	cfg.zones, cfg.far, cfg.numGateways, cfg.numEngines = 2, true, 8, 20
	cfg.weights, cfg.onlinePerSecond = []float64{1, 0.1}, 85
	wide, narrow := simulate(1, cfg), simulate(1, func() simConfig {
		c := cfg
		c.paths = &balance.Paths{RegionRoundTrip: regionRoundTrip, RegionPrice: 300 * time.Millisecond}
		return c
	}())
	t.Logf("in time %.4f and %.4f, crossed %.3f and %.3f", wide.inTime(), narrow.inTime(), wide.crossedShare(0), narrow.crossedShare(0))
	assert.Assert(t, narrow.crossedShare(0) < 0.8*wide.crossedShare(0))
	assert.Assert(t, narrow.crossedShare(1) < 0.01, "nothing swaps")
	assert.Assert(t, wide.inTime() >= 0.97)
	assert.Assert(t, narrow.inTime() >= 0.9)
	assert.Equal(t, narrow.refused, 0)
}

// TestStatedPaceHelpsCallers plays engines that are slow for seconds at a time: callers get their
// first byte earlier where the engines state it, and no fewer requests start in time.
func TestStatedPaceHelpsCallers(t *testing.T) {
	play := func(states bool) (inTime float64, mean time.Duration) {
		const seeds = 3
		n := 0
		for seed := range uint64(seeds) {
			c := threeZones
			c.zones, c.slowPace, c.slowShare, c.slowTime, c.statesPace = 1, 4, 0.15, 4*time.Second, states
			s := simulate(seed, c)
			inTime += s.inTime() / seeds
			for _, w := range s.waits {
				mean += w
			}
			n += len(s.waits)
		}
		return inTime, mean / time.Duration(n)
	}
	silentInTime, silentMean := play(false)
	statedInTime, statedMean := play(true)
	t.Logf("in time %.4f, stated %.4f; mean first byte %s, stated %s", silentInTime, statedInTime, silentMean, statedMean)
	assert.Assert(t, statedMean < silentMean)
	assert.Assert(t, statedInTime >= silentInTime-0.002)
}
