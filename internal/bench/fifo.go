package bench

import (
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/errkind"
)

// fifoAttempt is the state of one attempt in fifoCore.
type fifoAttempt struct {
	attempt admission.Attempt
	arrived time.Duration
	running bool
}

// fifoCore is the first admission policy of this project, kept as a baseline. It
// has two FIFO queues, starts online attempts first, fills the remaining slots
// with batch and never preempts.
type fifoCore struct {
	policy   admission.Policy
	attempts map[string]*fifoAttempt
	queues   [2][]string
	running  [2]int
	draining bool
}

const (
	fifoDefaultSlots    = 16
	fifoDefaultMaxQueue = 256
)

// newFIFOCore returns a core with the given policy.
func newFIFOCore(p admission.Policy) *fifoCore {
	c := &fifoCore{attempts: make(map[string]*fifoAttempt)}
	c.setPolicy(p)
	return c
}

// Tick applies inputs in order at time now, which never decreases, and returns
// the resulting actions. It is called when an input arrives and on a timer.
func (c *fifoCore) Tick(now time.Duration, in ...admission.Input) []admission.Action {
	var out []admission.Action
	for _, i := range in {
		out = append(out, c.apply(now, i)...)
	}
	out = append(out, c.expire(now)...)
	return append(out, c.schedule()...)
}

// Load returns the current load.
func (c *fifoCore) Load() admission.Load {
	room := c.policy.Slots - c.running[admission.Online] - c.running[admission.Batch] - len(c.queues[admission.Online]) - len(c.queues[admission.Batch])
	return admission.Load{
		RunningOnline: c.running[admission.Online],
		RunningBatch:  c.running[admission.Batch],
		QueuedOnline:  len(c.queues[admission.Online]),
		QueuedBatch:   len(c.queues[admission.Batch]),
		BatchRoom:     max(room, 0),
	}
}

func (c *fifoCore) setPolicy(p admission.Policy) {
	if p.Slots <= 0 {
		p.Slots = fifoDefaultSlots
	}
	if p.MaxQueue <= 0 {
		p.MaxQueue = fifoDefaultMaxQueue
	}
	c.policy = p
}

func (c *fifoCore) apply(now time.Duration, in admission.Input) []admission.Action {
	switch in := in.(type) {
	case admission.Arrive:
		return c.arrive(now, in.Attempt)
	case admission.Finish:
		c.remove(in.ID)
	case admission.Cancel:
		return c.cancel(in.ID)
	case admission.SetPolicy:
		c.setPolicy(in.Policy)
	case admission.Drain:
		c.draining = true
	}
	return nil
}

func (c *fifoCore) arrive(now time.Duration, a admission.Attempt) []admission.Action {
	if c.draining {
		return []admission.Action{{Kind: admission.Refuse, ID: a.ID, Err: errkind.Draining}}
	}
	if len(c.queues[a.Class]) >= c.policy.MaxQueue {
		return []admission.Action{{Kind: admission.Refuse, ID: a.ID, Err: errkind.Overloaded}}
	}
	c.attempts[a.ID] = &fifoAttempt{attempt: a, arrived: now}
	c.queues[a.Class] = append(c.queues[a.Class], a.ID)
	return nil
}

func (c *fifoCore) cancel(id string) []admission.Action {
	r, ok := c.attempts[id]
	if !ok {
		return nil
	}
	if r.running {
		return []admission.Action{{Kind: admission.Stop, ID: id}}
	}
	c.remove(id)
	return nil
}

func (c *fifoCore) expire(now time.Duration) []admission.Action {
	var out []admission.Action
	for _, q := range c.queues {
		for _, id := range append([]string(nil), q...) {
			r := c.attempts[id]
			if r.attempt.Deadline > 0 && now >= r.arrived+r.attempt.Deadline {
				c.remove(id)
				out = append(out, admission.Action{Kind: admission.Refuse, ID: id, Err: errkind.DeadlineTooShort})
			}
		}
	}
	return out
}

func (c *fifoCore) schedule() []admission.Action {
	var out []admission.Action
	for _, class := range []admission.Class{admission.Online, admission.Batch} {
		for len(c.queues[class]) > 0 && c.running[admission.Online]+c.running[admission.Batch] < c.policy.Slots {
			id := c.queues[class][0]
			c.queues[class] = c.queues[class][1:]
			c.attempts[id].running = true
			c.running[class]++
			out = append(out, admission.Action{Kind: admission.Start, ID: id})
		}
	}
	return out
}

// remove deletes an attempt, whether it is queued or running.
func (c *fifoCore) remove(id string) {
	r, ok := c.attempts[id]
	if !ok {
		return
	}
	delete(c.attempts, id)
	class := r.attempt.Class
	if r.running {
		c.running[class]--
		return
	}
	for i, q := range c.queues[class] {
		if q == id {
			c.queues[class] = append(c.queues[class][:i:i], c.queues[class][i+1:]...)
			return
		}
	}
}
