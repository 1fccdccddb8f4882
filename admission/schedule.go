package admission

import (
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
)

// expire refuses queued attempts whose deadline has passed.
func (c *Core) expire() {
	if c.now < c.nextExpiry {
		return
	}
	c.nextExpiry = distantFuture
	for class := range c.queues {
		for _, r := range c.queues[class].rows {
			if r != nil && r.state == queued && r.attempt.Deadline > 0 {
				c.expireRow(r)
			}
		}
	}
}

func (c *Core) expireRow(r *row) {
	due := r.arrived + r.attempt.Deadline
	if c.now < due {
		c.nextExpiry = min(c.nextExpiry, due)
		return
	}
	c.fire(r, end)
	delete(c.rows, r.attempt.ID)
	c.refuse(r.attempt.ID, errkind.DeadlineTooShort, c.predictedWait(r.attempt.Class))
}

// preempt preempts batch attempts in excess of the capacity that running and
// queued online attempts leave, and those whose prefill delays a queued online
// attempt.
func (c *Core) preempt() {
	limit := c.batchLimit()
	for c.running[Batch] > limit || c.batchPrefillBlocksOnline() {
		r := c.victim()
		if r == nil {
			return
		}
		c.fire(r, stop)
		c.emit(Action{Kind: Preempt, ID: r.attempt.ID})
	}
}

// batchPrefillBlocksOnline reports whether a batch attempt that is being prefilled
// is ahead of a queued online attempt in the engine, which prefills in order of
// arrival.
func (c *Core) batchPrefillBlocksOnline() bool {
	if c.queues[Online].len() == 0 || c.prefills[Batch] == 0 {
		return false
	}
	r := c.victim()
	return r != nil && r.prefilling
}

// victim returns the batch attempt whose preemption loses the least work: one
// that is being prefilled, or else the one that started last. Non-idempotent
// attempts are exempt.
func (c *Core) victim() *row {
	var last *row
	for _, r := range c.runningBatch {
		if r.attempt.NonIdempotent {
			continue
		}
		if last == nil || r.prefilling || !last.prefilling {
			last = r
		}
	}
	return last
}

// startOnline starts queued online attempts while slots are free.
func (c *Core) startOnline() {
	for c.runningTotal() < c.policy.Slots {
		r := c.queues[Online].front()
		if r == nil {
			return
		}
		c.fire(r, start)
		c.emit(Action{Kind: Start, ID: r.attempt.ID})
	}
}

// startBatch starts queued batch attempts within the batch limit.
func (c *Core) startBatch() {
	limit := c.batchLimit()
	for c.running[Batch] < limit && c.runningTotal() < c.policy.Slots {
		r := c.nextBatch()
		if r == nil || !c.mayPrefill(r) {
			return
		}
		c.fire(r, start)
		c.emit(Action{Kind: Start, ID: r.attempt.ID})
	}
}

// nextBatch returns the batch attempt to start next: the first in the queue,
// except that alongside online attempts one with a cached prompt takes precedence.
func (c *Core) nextBatch() *row {
	if c.running[Online] > 0 {
		if r := c.queues[Batch].firstCached(); r != nil {
			return r
		}
	}
	return c.queues[Batch].front()
}

// predictedWait estimates the time that an attempt arriving now would spend in
// the queue.
func (c *Core) predictedWait(class Class) time.Duration {
	ahead := c.queues[class].len()
	if class == Batch {
		ahead += c.queues[Online].len()
	}
	free := c.policy.Slots - c.running[Online]
	if class == Batch {
		free -= c.running[Batch]
	}
	if ahead < free {
		return 0
	}
	rounds := float64(ahead-free+1) / float64(c.policy.Slots)
	return time.Duration(rounds * c.serviceTime[class].value * float64(time.Second))
}
