package admission

import "time"

const (
	// maxSlowdown is how much longer batch may make a decoding step beside
	// online attempts, as a share of the step without batch.
	maxSlowdown = 0.05
	// prefillShare is the share of steps beside online attempts in which a
	// batch attempt may be prefilled, when batch weighs all.
	prefillShare = 0.02
	// idlePrefills bounds the batch attempts that are prefilled at once on a
	// backend server without online attempts.
	idlePrefills = 1
	// queueAhead is the length of the batch queue that covers the lag of load
	// reports.
	queueAhead = 4
)

// pace remembers when batch was last started.
type pace struct{ last time.Duration }

func (p *pace) started(now time.Duration) { p.last = now }

// onlineDemand counts online attempts that run or wait.
func (c *Core) onlineDemand() int { return c.running[Online] + c.queues[Online].len() }

// batchLimit is how many batch attempts may run beside the online demand.
func (c *Core) batchLimit() int {
	online := c.onlineDemand()
	free := max(c.policy.Slots-online, 0)
	if online == 0 {
		return free
	}
	alone := c.steps.predict(online)
	bound := alone + time.Duration(float64(alone)*maxSlowdown)
	if t := c.policy.TBTTarget; t > 0 {
		bound = min(bound, t)
	}
	return min(c.steps.streams(bound)-online, free)
}

// mayPrefill says whether a batch attempt may be started now: never while an
// online attempt waits for its first token, and beside online attempts only
// in a small share of the steps.
func (c *Core) mayPrefill() bool {
	if c.queues[Online].len() > 0 || c.prefills[Online] > 0 {
		return false
	}
	if c.running[Online] == 0 {
		return c.prefills[Batch] < idlePrefills
	}
	if c.prefills[Batch] > 0 {
		return false
	}
	gap := float64(c.steps.predict(c.runningTotal())) / (prefillShare * c.batchShare())
	return c.now-c.pace.last >= time.Duration(gap)
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
		RunningBatch:  c.running[Batch],
		QueuedOnline:  c.queues[Online].len(),
		QueuedBatch:   c.queues[Batch].len(),
		BatchRoom:     c.batchRoom(),
		Step:          c.steps.recent(),
	}
}

func (c *Core) batchRoom() int {
	if c.draining {
		return 0
	}
	room := c.batchLimit() - c.running[Batch]
	return max(min(room, queueAhead)-c.queues[Batch].len(), 0)
}
