package admission

import (
	"math"
	"time"
)

const (
	// batchMemoryShare is the share of the engine's memory that batch and
	// online contexts may fill together; prefixes have the rest.
	batchMemoryShare = 0.5
	// peakHalfLife is how fast the peak of online contexts is forgotten.
	peakHalfLife = 20 * time.Second
)

// memoryLimit is how many batch attempts may hold contexts in the engine's
// memory without displacing those of online attempts.
func (c *Core) memoryLimit() int {
	held := len(c.batch) + len(c.paused)
	if c.memory == 0 || held == 0 {
		return c.policy.Slots
	}
	c.context[Online].decay(c.now)
	free := float64(c.memory)*batchMemoryShare - c.context[Online].peak
	return max(int(free*float64(held)/max(c.context[Batch].now, 1)), 1)
}

// contextCount counts the tokens that attempts hold, and their recent peak.
type contextCount struct {
	now, peak float64
	at        time.Duration
}

func (x *contextCount) add(n int) {
	x.now += float64(n)
	x.peak = max(x.peak, x.now)
}

func (x *contextCount) decay(now time.Duration) {
	age := float64(now-x.at) / float64(peakHalfLife)
	x.peak, x.at = max(x.peak*math.Exp2(-age), x.now), now
}
