// Package admission decides, beside one backend server, which attempts start,
// wait, are preempted or are refused. The core is pure: no clock, goroutine or
// I/O; Tick maps inputs to actions over a table of attempts.
package admission

import (
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
)

// Class is the priority class of an attempt.
type Class uint8

// The classes. Online never waits behind batch.
const (
	Online Class = iota
	Batch
)

// Policy is what the desired state says about one service.
type Policy struct {
	// Slots is how many attempts the backend server takes at once.
	Slots int
	// OnlineWeight and BatchWeight trade the online tail against batch
	// throughput; only their ratio matters.
	OnlineWeight, BatchWeight float64
	// TTFTTarget and TBTTarget are the online targets.
	TTFTTarget, TBTTarget time.Duration
	// MaxQueue bounds each class's queue.
	MaxQueue int
}

// Attempt is one attempt as it arrives.
type Attempt struct {
	ID       string
	Class    Class
	Deadline time.Duration // from arrival
	// PromptTokens and MaxTokens estimate the work.
	PromptTokens, MaxTokens int
	// NonIdempotent attempts are never preempted once started.
	NonIdempotent bool
}

// Input is one thing that happened.
type Input interface{ isInput() }

// Arrive is the arrival of an attempt.
type Arrive struct{ Attempt Attempt }

// Token says that a running attempt produced n tokens.
type Token struct {
	ID string
	N  int
}

// Finish says that a running attempt has ended, for whatever reason.
type Finish struct{ ID string }

// Cancel says that an attempt's caller no longer wants it.
type Cancel struct{ ID string }

// SetPolicy puts a policy in force.
type SetPolicy struct{ Policy Policy }

// Drain refuses new work from now on.
type Drain struct{}

func (Arrive) isInput()    {}
func (Token) isInput()     {}
func (Finish) isInput()    {}
func (Cancel) isInput()    {}
func (SetPolicy) isInput() {}
func (Drain) isInput()     {}

// ActionKind is what the shell is to do.
type ActionKind uint8

// The actions.
const (
	// Start sends the attempt to the backend server.
	Start ActionKind = iota
	// Refuse answers an attempt that never started.
	Refuse
	// Preempt cancels a running batch attempt, keeping its tokens; the shell
	// answers it as preempted and reports Finish.
	Preempt
	// Stop cancels a running attempt at the backend server.
	Stop
)

// Action is one decision.
type Action struct {
	Kind ActionKind
	ID   string
	// Err and RetryAfter say why an attempt is refused and when to come back.
	Err        errkind.Kind
	RetryAfter time.Duration
}

// Load is the core's view of the backend server.
type Load struct {
	RunningOnline, RunningBatch int
	QueuedOnline, QueuedBatch   int
	// BatchRoom is how many more batch attempts would start at once.
	BatchRoom int
	// Step is the recent time between online tokens.
	Step time.Duration
}

type row struct {
	attempt Attempt
	arrived time.Duration
	running bool
}

// Core holds the table of attempts. It is not safe for concurrent use.
type Core struct {
	policy   Policy
	rows     map[string]*row
	queues   [2][]string
	running  [2]int
	draining bool
}

const (
	defaultSlots    = 16
	defaultMaxQueue = 256
)

// New returns a core with a policy in force.
func New(p Policy) *Core {
	c := &Core{rows: make(map[string]*row)}
	c.setPolicy(p)
	return c
}

// Tick applies inputs in order at time now, which never goes back, and returns
// what to do. It runs when an input arrives and on a timer.
func (c *Core) Tick(now time.Duration, in ...Input) []Action {
	var out []Action
	for _, i := range in {
		out = append(out, c.apply(now, i)...)
	}
	out = append(out, c.expire(now)...)
	return append(out, c.schedule()...)
}

// Load returns the present load.
func (c *Core) Load() Load {
	room := c.policy.Slots - c.running[Online] - c.running[Batch] - len(c.queues[Online]) - len(c.queues[Batch])
	return Load{
		RunningOnline: c.running[Online],
		RunningBatch:  c.running[Batch],
		QueuedOnline:  len(c.queues[Online]),
		QueuedBatch:   len(c.queues[Batch]),
		BatchRoom:     max(room, 0),
	}
}

func (c *Core) setPolicy(p Policy) {
	if p.Slots <= 0 {
		p.Slots = defaultSlots
	}
	if p.MaxQueue <= 0 {
		p.MaxQueue = defaultMaxQueue
	}
	c.policy = p
}

func (c *Core) apply(now time.Duration, in Input) []Action {
	switch in := in.(type) {
	case Arrive:
		return c.arrive(now, in.Attempt)
	case Finish:
		c.remove(in.ID)
	case Cancel:
		return c.cancel(in.ID)
	case SetPolicy:
		c.setPolicy(in.Policy)
	case Drain:
		c.draining = true
	}
	return nil
}

func (c *Core) arrive(now time.Duration, a Attempt) []Action {
	if c.draining {
		return []Action{{Kind: Refuse, ID: a.ID, Err: errkind.Draining}}
	}
	if len(c.queues[a.Class]) >= c.policy.MaxQueue {
		return []Action{{Kind: Refuse, ID: a.ID, Err: errkind.Overloaded}}
	}
	c.rows[a.ID] = &row{attempt: a, arrived: now}
	c.queues[a.Class] = append(c.queues[a.Class], a.ID)
	return nil
}

func (c *Core) cancel(id string) []Action {
	r, ok := c.rows[id]
	if !ok {
		return nil
	}
	if r.running {
		return []Action{{Kind: Stop, ID: id}}
	}
	c.remove(id)
	return nil
}

func (c *Core) expire(now time.Duration) []Action {
	var out []Action
	for _, q := range c.queues {
		for _, id := range append([]string(nil), q...) {
			r := c.rows[id]
			if r.attempt.Deadline > 0 && now >= r.arrived+r.attempt.Deadline {
				c.remove(id)
				out = append(out, Action{Kind: Refuse, ID: id, Err: errkind.DeadlineTooShort})
			}
		}
	}
	return out
}

func (c *Core) schedule() []Action {
	var out []Action
	for _, class := range []Class{Online, Batch} {
		for len(c.queues[class]) > 0 && c.running[Online]+c.running[Batch] < c.policy.Slots {
			id := c.queues[class][0]
			c.queues[class] = c.queues[class][1:]
			c.rows[id].running = true
			c.running[class]++
			out = append(out, Action{Kind: Start, ID: id})
		}
	}
	return out
}

// remove forgets an attempt wherever it stands.
func (c *Core) remove(id string) {
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

// Slots returns how many attempts the backend server takes at once.
func (c *Core) Slots() int { return c.policy.Slots }
