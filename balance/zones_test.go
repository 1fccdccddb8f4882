package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// zoneOf returns the load of a zone of servers with eight slots.
func zoneOf(servers, demand float64) zoneLoad {
	return zoneLoad{demand: demand, slots: 8 * servers, servers: servers}
}

const testHold, testCrossing = 700 * time.Millisecond, 20.0

// share returns the share of requests that leave home for a number of other zones.
func share(home, other zoneLoad, others int) float64 {
	return zoneQuestion{home: home, other: other, others: others, hold: testHold, crossing: testCrossing}.leavingShare()
}

// TestShareFollowsHowMuchFullerTheZoneIs asks for the share of requests that leave a zone in the
// loads that zones meet.
func TestShareFollowsHowMuchFullerTheZoneIs(t *testing.T) {
	for _, c := range []struct {
		name        string
		home, other zoneLoad
		others      int
		least, most float64
	}{
		{"equal zones", zoneOf(8, 32), zoneOf(8, 32), 2, 0, 0},
		{"a little fuller, with room", zoneOf(8, 36), zoneOf(8, 32), 2, 0, 0},
		{"less full", zoneOf(8, 20), zoneOf(8, 50), 2, 0, 0},
		{"nearly full beside half full", zoneOf(8, 61), zoneOf(8, 32), 2, 0.03, 0.2},
		{"1.6 of its load, and 80 percent of its servers gone", zoneOf(2, 50), zoneOf(10, 35), 2, 0.65, 0.85},
		{"all full", zoneOf(8, 80), zoneOf(8, 80), 2, 0, 0},
		{"all full, home fuller", zoneOf(8, 100), zoneOf(8, 80), 2, 0.1, 0.2},
		{"no server at home", zoneOf(0, 30), zoneOf(8, 30), 2, 1, 1},
		{"a region of one zone", zoneOf(8, 200), zoneLoad{}, 0, 0, 0},
		{"nobody to ask, no server", zoneLoad{}, zoneLoad{}, 1, 0, 0},
	} {
		got := share(c.home, c.other, c.others)
		assert.Assert(t, got >= c.least && got <= c.most, "%s: %f", c.name, got)
	}
}

// TestFewSlotsEvenOutLess compares zones of the same fraction of used slots.
func TestFewSlotsEvenOutLess(t *testing.T) {
	small, large := zoneOf(1, 6.8), zoneOf(10, 68)
	hold := 700 * time.Millisecond
	assert.Assert(t, small.expectedTime(6.8, hold) > 5*large.expectedTime(68, hold))
}

// TestZonesDoNotSwapRequests goes through the loads of two zones: never do both send requests to the
// other one, and none sends a request that would wait longer there.
func TestZonesDoNotSwapRequests(t *testing.T) {
	for servers := range 12 {
		for a := 0.0; a < 150; a += 7 {
			for b := 0.0; b < 150; b += 7 {
				here, there := zoneOf(float64(servers), a), zoneOf(8, b)
				out, back := share(here, there, 1), share(there, here, 1)
				assert.Assert(t, out == 0 || back == 0, "%d servers, loads %f and %f", servers, a, b)
				if out > 0 {
					moved := out * a
					stay, leave := here.expectedTime(a-moved, testHold), there.expectedTime(b+moved, testHold)+testCrossing
					assert.Assert(t, stay >= leave, "%d servers, loads %f and %f", servers, a, b)
				}
			}
		}
	}
}

// TestShareHasHysteresis plays a share that the loads call for now and then.
func TestShareHasHysteresis(t *testing.T) {
	var l leaving
	now := time.Unix(0, 0)
	play := func(target float64, d time.Duration) float64 {
		for range int(d / planInterval) {
			now = now.Add(planInterval)
			l.update(target, now)
		}
		return l.current()
	}
	play(0, time.Second)
	assert.Equal(t, play(0.04, 2*time.Second), 0.0, "too little to begin")
	assert.Assert(t, play(0.3, 500*time.Millisecond) > 0.25)
	assert.Assert(t, play(0.03, 3*time.Second) > 0.02, "enough to go on")
	assert.Equal(t, play(0, 3*time.Second), 0.0, "it returns by itself")
}

const zoneSilence = time.Second

// twoZones returns the table of a gateway in zone "a" with eight servers in each of two zones.
func twoZones() (*Table, []catalog.Backend) {
	table := New(Options{Zone: "a", RegionOf: map[string]string{"a": "r", "b": "r"}, PeerTTL: zoneSilence, Seed: 1})
	var all []catalog.Backend
	for _, zone := range []string{"a", "b"} {
		for i := range 8 {
			all = append(all, catalog.Backend{ID: zone + string(rune('0'+i)), Service: "s", Zone: zone, Slots: 8, State: catalog.Ready})
		}
	}
	return table, all
}

// homeLoad is a report of a peer in the own zone that has n attempts at each of its servers.
func homeLoad(n int) PeerReport {
	r := PeerReport{Counts: make(map[uint32]Counts)}
	for i := range 8 {
		r.Counts[Key("a"+string(rune('0'+i)))] = Counts{Online: n}
	}
	return r
}

// TestSilentZonesGetNoShare plays a full zone beside one that is cut off, that is just back, and that
// has been back for a while.
func TestSilentZonesGetNoShare(t *testing.T) {
	table, all := twoZones()
	now := time.Unix(100, 0)
	play := func(reports bool, d time.Duration) float64 {
		for end := now.Add(d); now.Before(end); now = now.Add(planInterval) {
			table.SetPeer("home", homeLoad(8), now)
			if reports {
				table.SetPeer("away", PeerReport{OtherZone: true, Zone: "b"}, now)
			}
			table.peers.expire(now)
			table.zonePlan(all, now)
		}
		return table.plans["s"].leaving.current()
	}
	assert.Equal(t, play(false, 2*time.Second), 0.0, "cut off")
	assert.Equal(t, play(true, zoneSilence/2), 0.0, "just back")
	assert.Assert(t, play(true, 2*time.Second) > 0.2, "back")
	assert.Equal(t, play(false, zoneSilence+3*time.Second), 0.0, "cut off again")
}

// TestChoiceStatesWhyItCrosses checks the reason of choices in a zone that is empty, nearly full and
// without servers.
func TestChoiceStatesWhyItCrosses(t *testing.T) {
	table, all := twoZones()
	now := time.Unix(100, 0)
	choose := func(candidates []catalog.Backend) Crossing {
		c, ok := table.Pick(candidates, Requirements{}, now)
		assert.Assert(t, ok)
		table.Release(c.Backend.ID, Online)
		return c.Crossing
	}
	assert.Equal(t, choose(all), Home)
	table.SetPeer("home", homeLoad(8), now)
	assert.Equal(t, choose(all), NoRoomHome)
	assert.Equal(t, choose(all[8:]), NoServerHome)
	now = now.Add(planInterval)
	assert.Equal(t, choose(append(all[:1:1], all[8:]...)), LeastLoaded, "a zone of few slots")
	for range 100 {
		now = now.Add(planInterval)
		table.SetPeer("home", homeLoad(8), now)
		table.SetPeer("home2", homeLoad(1), now)
		table.SetPeer("away", PeerReport{OtherZone: true, Zone: "b"}, now)
		table.zonePlan(all, now)
	}
	reasons := make(map[Crossing]int)
	for range 100 {
		reasons[choose(all)]++
	}
	assert.Assert(t, reasons[ZoneFuller] > 20, "%v", reasons)
}

// TestOtherZonesLearnOfWhatConcernsThem checks which attempts are reported to other zones at once.
func TestOtherZonesLearnOfWhatConcernsThem(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name  string
		req   Requirements
		batch int
		zone  string
		want  bool
	}{
		{"a free slot of the own zone", Requirements{}, 0, "a", false},
		{"a server of another zone", Requirements{}, 0, "b", true},
		{"an item", Requirements{Class: Batch}, 0, "a", true},
		{"in place of an item", Requirements{}, 8, "a", true},
	} {
		table, _ := twoZones()
		server := catalog.Backend{ID: "x", Service: "s", Zone: c.zone, Slots: 8, State: catalog.Ready}
		table.SetPeer("peer", PeerReport{Counts: map[uint32]Counts{Key("x"): {Batch: c.batch}}}, now)
		_, ok := table.Pick([]catalog.Backend{server}, c.req, now)
		assert.Assert(t, ok, c.name)
		assert.Equal(t, table.TakeChangeElsewhere(), c.want, c.name)
		assert.Assert(t, !table.TakeChangeElsewhere(), c.name)
		table.Release("x", c.req.Class)
		assert.Equal(t, table.TakeChangeElsewhere(), c.zone != "a", c.name)
	}
}
