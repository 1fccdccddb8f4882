package peering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// TestLateTimersReduceCapacity covers a machine that gets less processor time than its settings
// state, and one that was suspended once.
func TestLateTimersReduceCapacity(t *testing.T) {
	c := &measuredCapacity{stated: StatedCapacity(0.8, 600)}
	assert.Equal(t, c.now(), 0.8)
	c.record(5 * time.Second)
	assert.Equal(t, c.now(), 0.8)
	for range 500 {
		c.record(40 * time.Millisecond)
	}
	assert.Assert(t, c.now() > 0.19 && c.now() < 0.21, "%v", c.now())
	for range 500 {
		c.record(time.Millisecond)
	}
	assert.Equal(t, c.now(), 0.8)
	assert.Equal(t, StatedCapacity(0.8, 30), 0.15)
	assert.Equal(t, StatedCapacity(0, 30), 0.0)
	assert.Equal(t, StatedCapacity(0.144, 0), 0.144)
}

// TestCapacitiesAreThoseOfPeersNearTheStore checks whose capacities count.
func TestCapacitiesAreThoseOfPeersNearTheStore(t *testing.T) {
	p := New(Options{Name: "own", Capacity: 0.5})
	raw, err := EncodePeer(Peer{Address: "10.0.0.1:1", Capacity: 0.8})
	assert.NilError(t, err)
	p.Apply([]keyedlog.Record{{Key: "listed", Value: raw}})
	now := time.Now()
	near := peer{reachable: true, lastReport: now, storeRTT: time.Millisecond, presentCapacity: 0.4}
	silent, far, cut, leaving := near, near, near, near
	silent.lastReport = now.Add(-2 * ReportTTL)
	far.storeRTT = 60 * time.Millisecond
	cut.storeAge = 2 * maxStoreAge
	leaving.leaving = true
	for name, other := range map[string]peer{"near": near, "silent": silent, "far": far, "cut": cut, "leaving": leaving} {
		p.peers[name] = &other
	}
	own, peers := p.Capacities(20 * time.Millisecond)
	assert.Equal(t, own, 0.5)
	assert.DeepEqual(t, peers, []float64{0.4})
	assert.Equal(t, p.Capacity("own"), 0.5)
	assert.Equal(t, p.Capacity("listed"), 0.8)
	assert.Equal(t, p.Capacity("stranger"), 0.0)
}
