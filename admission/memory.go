package admission

import (
	"math"
	"time"
)

const (
	// batchKVShare is the share of the engine's KV cache that the contexts of
	// running batch and online attempts may fill together; the rest is left to
	// cached prefixes.
	batchKVShare = 0.5
	// peakHalfLife is the half-life with which the recorded peak of online
	// contexts decays.
	peakHalfLife = 20 * time.Second
)

// contextLimit returns the number of batch attempts whose contexts fit in the
// engine's KV cache without displacing those of online attempts. It assumes the
// average context of the current batch attempts. If there are none, or the
// capacity of the cache is unknown, it returns the number of slots.
func (c *Core) contextLimit() int {
	held := len(c.runningBatch) + len(c.paused)
	if c.kvCapacity == 0 || held == 0 {
		return c.policy.Slots
	}
	c.contexts[Online].decay(c.now)
	free := float64(c.kvCapacity)*batchKVShare - c.contexts[Online].peak
	return max(int(free*float64(held)/max(c.contexts[Batch].current, 1)), 1)
}

// contextUsage tracks the number of context tokens that attempts hold and its
// recent peak.
type contextUsage struct {
	current, peak float64
	decayedAt     time.Duration
}

func (x *contextUsage) add(n int) {
	x.current += float64(n)
	x.peak = max(x.peak, x.current)
}

func (x *contextUsage) decay(now time.Duration) {
	age := float64(now-x.decayedAt) / float64(peakHalfLife)
	x.peak, x.decayedAt = max(x.peak*math.Exp2(-age), x.current), now
}
