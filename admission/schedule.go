package admission

import (
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
)

// expire refuses queued attempts whose deadline has passed.
func (c *Core) expire() {
	if c.now < c.expiry {
		return
	}
	c.expiry = never
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
		c.expiry = min(c.expiry, due)
		return
	}
	c.fire(r, end)
	delete(c.rows, r.attempt.ID)
	c.refuse(r.attempt.ID, errkind.DeadlineTooShort, c.predictedWait(r.attempt.Class))
}

// preempt stops batch attempts beyond what the online attempts, running and
// queued, leave to them.
func (c *Core) preempt() {
	limit := c.batchLimit()
	for c.running[Batch] > limit || c.prefillInTheWay() {
		r := c.victim()
		if r == nil {
			return
		}
		c.fire(r, stop)
		c.act(Action{Kind: Preempt, ID: r.attempt.ID})
	}
}

// prefillInTheWay says that a batch attempt without a token stands before a
// queued online attempt in the engine, which prefills in order of arrival.
func (c *Core) prefillInTheWay() bool {
	if c.queues[Online].len() == 0 || c.prefills[Batch] == 0 {
		return false
	}
	r := c.victim()
	return r != nil && r.prefilling
}

// victim returns the batch attempt that loses least: one that has no token
// yet, else the one started last. Non-idempotent attempts are exempt.
func (c *Core) victim() *row {
	var last *row
	for _, r := range c.batch {
		if r.attempt.NonIdempotent {
			continue
		}
		if last == nil || r.prefilling || !last.prefilling {
			last = r
		}
	}
	return last
}

// startOnline starts online attempts while there are slots.
func (c *Core) startOnline() {
	for c.runningTotal() < c.policy.Slots {
		r := c.queues[Online].front()
		if r == nil {
			return
		}
		c.fire(r, start)
		c.act(Action{Kind: Start, ID: r.attempt.ID})
	}
}

// startBatch starts batch attempts in the slack that is left.
func (c *Core) startBatch() {
	limit := c.batchLimit()
	for c.running[Batch] < limit && c.runningTotal() < c.policy.Slots {
		r := c.nextBatch()
		if r == nil || !c.mayPrefill(r) {
			return
		}
		c.fire(r, start)
		c.act(Action{Kind: Start, ID: r.attempt.ID})
	}
}

// nextBatch returns the batch attempt to start next: the first in the queue,
// but beside online attempts a cached one goes first.
func (c *Core) nextBatch() *row {
	if c.running[Online] > 0 {
		if r := c.queues[Batch].cached(); r != nil {
			return r
		}
	}
	return c.queues[Batch].front()
}

// predictedWait estimates how long an attempt that arrives now would queue.
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
	turns := float64(ahead-free+1) / float64(c.policy.Slots)
	return time.Duration(turns * c.service[class].value * float64(time.Second))
}
