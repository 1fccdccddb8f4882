package admission

import "time"

const (
	// maxStepIncrease bounds the increase of each step that batch may cause
	// alongside online attempts, as a share of the online tail latency.
	maxStepIncrease = 0.05
	// maxIdleBatch bounds the number of batch attempts on a backend server
	// without online attempts. Every further one is preempted by the next online
	// arrival, and its remaining context displaces prefixes from the engine's
	// cache.
	maxIdleBatch = 20
	// maxBatchPrefills bounds the number of batch attempts that are prefilled
	// concurrently on a backend server without online attempts.
	maxBatchPrefills = 1
	// batchQueueTarget is the length of the batch queue that covers the delay of
	// load reports.
	batchQueueTarget = 4
)

// onlineDemand returns the number of running and queued online attempts.
func (c *Core) onlineDemand() int { return c.running[Online] + c.queues[Online].len() }

// batchLimit returns the number of batch attempts that may run alongside the
// online demand.
func (c *Core) batchLimit() int {
	online := c.onlineDemand()
	free := max(c.policy.Slots-online, 0)
	if online == 0 {
		return min(free, maxIdleBatch)
	}
	baseline := c.steps.predict(online)
	bound := baseline + time.Duration(float64(max(baseline, c.lateGaps.baseline.tail))*maxStepIncrease)
	if t := c.policy.TBTTarget; t > 0 {
		bound = min(bound, t)
	}
	return min(c.steps.streamsWithin(bound)-online, free)
}

// mayPrefill reports whether a batch attempt may be started now. It may not while
// an online attempt waits for its first token. Beside online attempts it may
// only while the late-gap credit is positive or nearly all of its prompt is in
// the engine's cache.
func (c *Core) mayPrefill(r *row) bool {
	if c.queues[Online].len() > 0 || c.prefills[Online] > 0 {
		return false
	}
	if c.prefills[Batch] >= maxBatchPrefills {
		return false
	}
	return c.running[Online] == 0 || r.promptCached() || c.lateGaps.credit > 0
}

// batchShare returns the weight of batch as a share of the total weight.
func (c *Core) batchShare() float64 {
	sum := c.policy.OnlineWeight + c.policy.BatchWeight
	if sum <= 0 {
		return 0.5
	}
	return c.policy.BatchWeight / sum
}

// Load returns the current load.
func (c *Core) Load() Load {
	return Load{
		RunningOnline: c.running[Online],
		RunningBatch:  c.running[Batch] + len(c.paused),
		QueuedOnline:  c.queues[Online].len(),
		QueuedBatch:   c.queues[Batch].len(),
		BatchRoom:     c.batchRoom(),
		Step:          time.Duration(c.tokenInterval.value * float64(time.Second)),
	}
}

func (c *Core) batchRoom() int {
	if c.draining {
		return 0
	}
	room := c.batchLimit() - c.running[Batch]
	if c.pausing {
		room = c.pausingBatchLimit() - c.running[Batch] - len(c.paused)
	}
	return max(min(room, batchQueueTarget)-c.queues[Batch].len(), 0)
}
