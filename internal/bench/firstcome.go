package bench

import (
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/errkind"
)

// firstComeRow is one attempt of firstComeCore.
type firstComeRow struct {
	attempt admission.Attempt
	arrived time.Duration
	running bool
}

// firstComeCore is the project's first admission policy, kept as a baseline:
// two queues, online first, slots filled with batch, nothing preempted.
type firstComeCore struct {
	policy   admission.Policy
	rows     map[string]*firstComeRow
	queues   [2][]string
	running  [2]int
	draining bool
}

const (
	firstComeSlots    = 16
	firstComeMaxQueue = 256
)

// newFirstComeCore returns a core with a policy in force.
func newFirstComeCore(p admission.Policy) *firstComeCore {
	c := &firstComeCore{rows: make(map[string]*firstComeRow)}
	c.setPolicy(p)
	return c
}

// Tick applies inputs in order at time now, which never goes back, and returns
// what to do. It runs when an input arrives and on a timer.
func (c *firstComeCore) Tick(now time.Duration, in ...admission.Input) []admission.Action {
	var out []admission.Action
	for _, i := range in {
		out = append(out, c.apply(now, i)...)
	}
	out = append(out, c.expire(now)...)
	return append(out, c.schedule()...)
}

// Load returns the present load.
func (c *firstComeCore) Load() admission.Load {
	room := c.policy.Slots - c.running[admission.Online] - c.running[admission.Batch] - len(c.queues[admission.Online]) - len(c.queues[admission.Batch])
	return admission.Load{
		RunningOnline: c.running[admission.Online],
		RunningBatch:  c.running[admission.Batch],
		QueuedOnline:  len(c.queues[admission.Online]),
		QueuedBatch:   len(c.queues[admission.Batch]),
		BatchRoom:     max(room, 0),
	}
}

func (c *firstComeCore) setPolicy(p admission.Policy) {
	if p.Slots <= 0 {
		p.Slots = firstComeSlots
	}
	if p.MaxQueue <= 0 {
		p.MaxQueue = firstComeMaxQueue
	}
	c.policy = p
}

func (c *firstComeCore) apply(now time.Duration, in admission.Input) []admission.Action {
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

func (c *firstComeCore) arrive(now time.Duration, a admission.Attempt) []admission.Action {
	if c.draining {
		return []admission.Action{{Kind: admission.Refuse, ID: a.ID, Err: errkind.Draining}}
	}
	if len(c.queues[a.Class]) >= c.policy.MaxQueue {
		return []admission.Action{{Kind: admission.Refuse, ID: a.ID, Err: errkind.Overloaded}}
	}
	c.rows[a.ID] = &firstComeRow{attempt: a, arrived: now}
	c.queues[a.Class] = append(c.queues[a.Class], a.ID)
	return nil
}

func (c *firstComeCore) cancel(id string) []admission.Action {
	r, ok := c.rows[id]
	if !ok {
		return nil
	}
	if r.running {
		return []admission.Action{{Kind: admission.Stop, ID: id}}
	}
	c.remove(id)
	return nil
}

func (c *firstComeCore) expire(now time.Duration) []admission.Action {
	var out []admission.Action
	for _, q := range c.queues {
		for _, id := range append([]string(nil), q...) {
			r := c.rows[id]
			if r.attempt.Deadline > 0 && now >= r.arrived+r.attempt.Deadline {
				c.remove(id)
				out = append(out, admission.Action{Kind: admission.Refuse, ID: id, Err: errkind.DeadlineTooShort})
			}
		}
	}
	return out
}

func (c *firstComeCore) schedule() []admission.Action {
	var out []admission.Action
	for _, class := range []admission.Class{admission.Online, admission.Batch} {
		for len(c.queues[class]) > 0 && c.running[admission.Online]+c.running[admission.Batch] < c.policy.Slots {
			id := c.queues[class][0]
			c.queues[class] = c.queues[class][1:]
			c.rows[id].running = true
			c.running[class]++
			out = append(out, admission.Action{Kind: admission.Start, ID: id})
		}
	}
	return out
}

// remove forgets an attempt wherever it stands.
func (c *firstComeCore) remove(id string) {
	r, ok := c.rows[id]
	if !ok {
		return
	}
	delete(c.rows, id)
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
