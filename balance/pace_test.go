package balance

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
)

func paceServer(id string) catalog.Backend {
	return catalog.Backend{ID: id, Service: "s", Zone: "z", Slots: 8, State: catalog.Ready}
}

// TestPaceIsForgotten plays a server that states a slow pace once: it is believed at first and less
// with its age.
func TestPaceIsForgotten(t *testing.T) {
	start := time.Unix(0, 0)
	p := newPaceTable()
	p.observe(1, paceRecord{factor: 2.5, at: start, own: true})
	assert.Equal(t, p.believed(1, start), 2.5)
	assert.Assert(t, p.believed(1, start.Add(initialPaceLifetime)) < 1.6)
	assert.Assert(t, p.believed(1, start.Add(5*initialPaceLifetime)) < 1.02)
	assert.Equal(t, p.believed(2, start), usualPace)
	assert.Equal(t, len(p.fresh(start)), 1)
	assert.Equal(t, len(p.fresh(start.Add(5*initialPaceLifetime))), 0)
	assert.Equal(t, len(p.servers), 0, "old paces are dropped")
}

// TestPaceLifetimeIsLearned plays servers whose slow spans last for 100 ms, or for minutes, each
// observed every 40 ms.
func TestPaceLifetimeIsLearned(t *testing.T) {
	learned := func(span time.Duration) time.Duration {
		const every = 40 * time.Millisecond
		p := newPaceTable()
		for i := range 2000 {
			at := time.Unix(0, 0).Add(time.Duration(i) * every)
			factor := usualPace
			if at.Sub(time.Unix(0, 0))%(2*span) < span {
				factor = 2.5
			}
			p.observe(1, paceRecord{factor: factor, at: at, own: true})
		}
		return p.lifetime.mean()
	}
	short, long := learned(100*time.Millisecond), learned(2*time.Minute)
	assert.Assert(t, short > 60*time.Millisecond && short < 160*time.Millisecond, "%s", short)
	assert.Assert(t, long > 3*time.Second, "%s", long)
}

// TestOnlyNewsOfPacesAreReported checks that a usual pace is reported only where another one has
// ended, and that what other gateways have reported is not passed on.
func TestOnlyNewsOfPacesAreReported(t *testing.T) {
	now := time.Unix(10, 0)
	table := New(Options{Zone: "z", PeerTTL: time.Second})
	table.ObservePace("usual", 1, now)
	assert.Equal(t, len(table.FreshPaces(now)), 0)
	table.ObservePace("slow", 2.5, now)
	<-table.LocalCountsChanged()
	later := now.Add(100 * time.Millisecond)
	assert.DeepEqual(t, table.FreshPaces(later), map[uint32]Pace{Key("slow"): {Factor: 2.5, Age: 100 * time.Millisecond}})
	table.ObservePace("slow", 1, later)
	assert.DeepEqual(t, table.FreshPaces(later), map[uint32]Pace{Key("slow"): {Factor: 1}})
	table.SetPeer("peer", PeerReport{Paces: map[uint32]Pace{Key("slow"): {Factor: 2.5}}}, later.Add(50*time.Millisecond))
	assert.Equal(t, len(table.FreshPaces(later.Add(60*time.Millisecond))), 0)
	table.SetPeer("old", PeerReport{Paces: map[uint32]Pace{Key("slow"): {Factor: 9, Age: time.Second}}}, later.Add(60*time.Millisecond))
	assert.Assert(t, table.paces.believed(Key("slow"), later.Add(60*time.Millisecond)) < 2.5, "an older pace replaces a newer one")
	for i := range 3 * maxSharedPaces {
		table.ObservePace(string(rune('a'+i)), 3, later)
	}
	assert.Equal(t, len(table.FreshPaces(later)), maxSharedPaces)
}

// TestSlowServersGetFewerRequests plays two servers of equal load, one of which is slow according to
// a peer. The service's first byte usually takes 40 ms.
func TestSlowServersGetFewerRequests(t *testing.T) {
	now := time.Unix(10, 0)
	a, b := paceServer("a"), paceServer("b")
	table := New(Options{Zone: "z", PeerTTL: time.Second, Seed: 1})
	for range 5 {
		table.ObserveFirstByte(Choice{Backend: a, Reason: FreeSlot}, 40*time.Millisecond, now)
		table.ObserveFirstByte(Choice{Backend: b, Reason: FreeSlot}, 40*time.Millisecond, now)
	}
	table.SetPeer("peer", PeerReport{Paces: map[uint32]Pace{Key("b"): {Factor: 2.5}}}, now)
	counts := make(map[string]int)
	for range 8 {
		c, ok := table.Pick([]catalog.Backend{a, b}, Requirements{}, now)
		assert.Assert(t, ok)
		counts[c.Backend.ID]++
	}
	assert.Assert(t, counts["a"] >= 6, "%v", counts)
	later := now.Add(10 * initialPaceLifetime)
	c, ok := table.Pick([]catalog.Backend{a, b}, Requirements{}, later)
	assert.Assert(t, ok)
	assert.Equal(t, c.Backend.ID, "b", "the pace is forgotten")
}

// TestOwnSpeedIsLearned plays servers one of which always takes 1.3 times as long, beside requests
// whose times differ by a factor of two.
func TestOwnSpeedIsLearned(t *testing.T) {
	timings := newTimings()
	for i := range 600 {
		took := 30 * time.Millisecond
		if i%2 == 0 {
			took *= 2
		}
		for _, id := range []string{"a", "b", "c"} {
			d := took
			if id == "c" {
				d = time.Duration(1.3 * float64(took))
			}
			timings.observe(paceServer(id), d, usualPace)
		}
	}
	// The mean of the service lies between: 1.09 times the time of the two.
	slow := timings.speed("c")
	assert.Assert(t, math.Abs(slow-1.3/1.09) < 0.05, "%f", slow)
	assert.Assert(t, timings.speed("a") <= usualPace)
	assert.Equal(t, timings.speed("unknown"), usualPace)
	few := newTimings()
	for range minSpeedTimes - 1 {
		few.observe(paceServer("a"), 30*time.Millisecond, usualPace)
		few.observe(paceServer("c"), 90*time.Millisecond, usualPace)
	}
	assert.Equal(t, few.speed("c"), usualPace)
}
