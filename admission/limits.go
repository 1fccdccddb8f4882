package admission

import "time"

const (
	// maxShift is how much longer batch may make each step beside online
	// attempts, as a share of the online tail.
	maxShift = 0.05
	// idleStreams bounds the batch attempts on a backend server without online
	// attempts: each one more is preempted by the next online arrival, and the
	// context it leaves displaces prefixes from the engine's cache.
	idleStreams = 20
	// idlePrefills bounds the batch attempts that are prefilled at once on a
	// backend server without online attempts.
	idlePrefills = 1
	// queueAhead is the length of the batch queue that covers the lag of load
	// reports.
	queueAhead = 4
)

// onlineDemand counts online attempts that run or wait.
func (c *Core) onlineDemand() int { return c.running[Online] + c.queues[Online].len() }

// batchLimit is how many batch attempts may run beside the online demand.
func (c *Core) batchLimit() int {
	online := c.onlineDemand()
	free := max(c.policy.Slots-online, 0)
	if online == 0 {
		return min(free, idleStreams)
	}
	alone := c.steps.predict(online)
	bound := alone + time.Duration(float64(max(alone, c.harm.alone.tail))*maxShift)
	if t := c.policy.TBTTarget; t > 0 {
		bound = min(bound, t)
	}
	return min(c.steps.streams(bound)-online, free)
}

// mayPrefill says whether a batch attempt may be started now: never while an
// online attempt waits for its first token, and beside online attempts only
// while the account of late gaps is in credit or nearly all of its prompt is
// in the engine's cache.
func (c *Core) mayPrefill(r *row) bool {
	if c.queues[Online].len() > 0 || c.prefills[Online] > 0 {
		return false
	}
	if c.prefills[Batch] >= idlePrefills {
		return false
	}
	return c.running[Online] == 0 || r.cached() || c.harm.credit > 0
}

// batchShare is the weight of batch as a share of all weight.
func (c *Core) batchShare() float64 {
	sum := c.policy.OnlineWeight + c.policy.BatchWeight
	if sum <= 0 {
		return 0.5
	}
	return c.policy.BatchWeight / sum
}

// Load returns the present load.
func (c *Core) Load() Load {
	return Load{
		RunningOnline: c.running[Online],
		RunningBatch:  c.running[Batch] + len(c.paused),
		QueuedOnline:  c.queues[Online].len(),
		QueuedBatch:   c.queues[Batch].len(),
		BatchRoom:     c.batchRoom(),
		Step:          time.Duration(c.recent.value * float64(time.Second)),
	}
}

func (c *Core) batchRoom() int {
	if c.draining {
		return 0
	}
	room := c.batchLimit() - c.running[Batch]
	if c.pausing {
		room = c.pausableLimit() - c.running[Batch] - len(c.paused)
	}
	return max(min(room, queueAhead)-c.queues[Batch].len(), 0)
}
