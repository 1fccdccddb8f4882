package admission

import (
	"time"

	"github.com/qmuntal/stateless"

	"github.com/catkinrudder/catkinrudder/errkind"
)

// Core holds the table of attempts. It is not safe for concurrent use.
type Core struct {
	policy    Policy
	now       time.Duration
	rows      map[string]*row
	queues    [2]queue
	running   [2]int
	prefills  [2]int // running attempts whose prompt is being prefilled
	batch     []*row // running batch attempts in order of start
	draining  bool
	memory    int // tokens of context that the engine holds, zero if unknown
	context   [2]contextCount
	pausing   bool   // the shell can pause
	paused    []*row // in order of resumption
	pending   int    // prompt tokens of batch attempts without a token
	done      int    // prompt tokens of batch attempts whose prefill has ended
	prefill   prefillModel
	expiry    time.Duration // earliest deadline of a queued attempt
	steps     stepModel
	harm      harm
	recent    mean             // time between tokens, in seconds
	startedAt [2]time.Duration // latest start of each class
	stoppedAt time.Duration    // latest stop
	service   [2]mean          // time from start to end, in seconds
	machine   *stateless.StateMachine
	current   *row // the row that machine works on
	out       []Action
}

const (
	defaultSlots    = 16
	defaultMaxQueue = 256
)

// New returns a core with a policy in force.
func New(p Policy, opts ...Option) *Core {
	c := &Core{rows: make(map[string]*row), expiry: never, startedAt: [2]time.Duration{before, before}, stoppedAt: before}
	c.machine = newMachine(c)
	c.setPolicy(p)
	for _, o := range opts {
		o(c)
	}
	return c
}

// Tick applies inputs in order at time now, which never goes back, and returns
// what to do. It runs when an input arrives and on a timer.
func (c *Core) Tick(now time.Duration, in ...Input) []Action {
	c.now, c.out = now, nil
	for _, i := range in {
		c.apply(i)
	}
	c.expire()
	if c.pausing {
		c.tickPausing()
		return c.out
	}
	c.preempt()
	c.startOnline()
	c.startBatch()
	return c.out
}

func (c *Core) tickPausing() {
	c.pauseBatch()
	c.expirePaused()
	c.startOnline()
	c.resumeBatch()
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

func (c *Core) apply(in Input) {
	switch in := in.(type) {
	case Token:
		c.token(in.ID)
	case Arrive:
		c.arrive(in.Attempt)
	case Finish:
		c.finish(in.ID)
	case Cancel:
		c.cancel(in.ID)
	case SlicePrefilled:
		c.sliced(in.ID)
	case SetPolicy:
		c.setPolicy(in.Policy)
	case Drain:
		c.draining = true
	}
}

// arrive queues an attempt or refuses it at once.
func (c *Core) arrive(a Attempt) {
	if _, ok := c.rows[a.ID]; ok {
		return
	}
	wait := c.predictedWait(a.Class)
	switch {
	case c.draining:
		c.refuse(a.ID, errkind.Draining, 0)
	case c.queues[a.Class].len() >= c.policy.MaxQueue:
		c.refuse(a.ID, errkind.Overloaded, wait)
	case a.Deadline > 0 && wait > a.Deadline:
		c.refuse(a.ID, errkind.DeadlineTooShort, wait)
	default:
		c.enqueue(a)
	}
}

func (c *Core) enqueue(a Attempt) {
	r := &row{attempt: a, arrived: c.now, state: queued}
	c.rows[a.ID] = r
	c.queues[a.Class].push(r)
	if a.Deadline > 0 {
		c.expiry = min(c.expiry, c.now+a.Deadline)
	}
}

// token notes the progress of a running attempt.
func (c *Core) token(id string) {
	r, ok := c.rows[id]
	if !ok || r.state != running {
		return
	}
	r.produced++
	c.hold(r, 1)
	if r.decoding {
		c.observe(r, c.now-r.tokenAt)
	} else {
		r.decoding = true
		c.endPrefill(r)
	}
	r.tokenAt, r.streams, r.beside = c.now, c.runningTotal(), c.prefills
	r.batchAt, r.doneAt = c.running[Batch], c.done
}

// observe learns from the time between two tokens of a row.
func (c *Core) observe(r *row, gap time.Duration) {
	if c.undisturbed(r) {
		c.steps.observe(float64(r.streams+c.runningTotal())/2, gap)
	}
	if c.stoppedAt < r.tokenAt && !c.prefilledSince(r, Online) {
		c.prefill.observe(c.done-r.doneAt, gap-c.steps.predict(c.runningTotal()))
	}
	c.recent.add(gap.Seconds())
	if r.attempt.Class == Online {
		c.observeGap(r, gap)
	}
}

// undisturbed says that no attempt was prefilled or stopped since the row's
// previous token.
func (c *Core) undisturbed(r *row) bool {
	return !c.prefilledSince(r, Online) && !c.prefilledSince(r, Batch) && c.stoppedAt < r.tokenAt
}

// prefilledSince says whether an attempt of a class was prefilled since the
// row's previous token.
func (c *Core) prefilledSince(r *row, class Class) bool {
	return r.beside[class] > 0 || c.startedAt[class] >= r.tokenAt
}

func (c *Core) finish(id string) {
	r, ok := c.rows[id]
	if !ok {
		return
	}
	if r.state == running {
		c.service[r.attempt.Class].add((c.now - r.started).Seconds())
	}
	c.hold(r, -r.held)
	c.fire(r, end)
	delete(c.rows, id)
}

func (c *Core) cancel(id string) {
	r, ok := c.rows[id]
	if !ok {
		return
	}
	switch r.state {
	case queued:
		c.fire(r, end)
		delete(c.rows, id)
	case running, paused:
		c.fire(r, stop)
		c.act(Action{Kind: Stop, ID: id})
	}
}

func (c *Core) refuse(id string, k errkind.Kind, retryAfter time.Duration) {
	c.act(Action{Kind: Refuse, ID: id, Err: k, RetryAfter: retryAfter})
}

func (c *Core) act(a Action) { c.out = append(c.out, a) }

func (c *Core) runningTotal() int { return c.running[Online] + c.running[Batch] }

// Slots returns how many attempts the backend server takes at once.
func (c *Core) Slots() int { return c.policy.Slots }
