package admission

import (
	"time"

	"github.com/qmuntal/stateless"

	"github.com/catkinrudder/catkinrudder/errkind"
)

// Core holds the table of attempts of one backend server. It is not safe for
// concurrent use.
type Core struct {
	policy           Policy
	now              time.Duration
	rows             map[string]*row // by attempt ID
	queues           [2]queue        // by class, as in all arrays of two
	running          [2]int
	prefills         [2]int // running attempts whose prompt is being prefilled
	runningBatch     []*row // running batch attempts in order of start
	draining         bool
	kvCapacity       int             // tokens that the KV cache holds, zero if unknown
	contexts         [2]contextUsage // context tokens of attempts
	pausing          bool            // the caller supports Pause
	paused           []*row          // in order of resumption
	pendingPrefill   int             // prompt tokens of batch attempts that have produced no token
	completedPrefill int             // prompt tokens of batch attempts whose prefill has ended
	prefillTime      prefillModel
	nextExpiry       time.Duration // earliest deadline of a queued attempt
	steps            stepModel
	lateGaps         lateGapBudget
	tokenInterval    ewma             // time between tokens, in seconds
	startedAt        [2]time.Duration // latest start of each class
	stoppedAt        time.Duration    // latest stop
	serviceTime      [2]ewma          // time from start to end, in seconds
	machine          *stateless.StateMachine
	current          *row // the row that machine works on
	actions          []Action
}

const (
	defaultSlots    = 16
	defaultMaxQueue = 256
)

// New returns a core that applies the policy p.
func New(p Policy, opts ...Option) *Core {
	c := &Core{rows: make(map[string]*row), nextExpiry: distantFuture, startedAt: [2]time.Duration{distantPast, distantPast}, stoppedAt: distantPast}
	c.machine = newMachine(c)
	c.setPolicy(p)
	for _, o := range opts {
		o(c)
	}
	return c
}

// Tick applies inputs in order at time now, which must not decrease between
// calls, and returns the actions to carry out. Callers run it when an input
// arrives and on a timer.
func (c *Core) Tick(now time.Duration, in ...Input) []Action {
	c.now, c.actions = now, nil
	for _, i := range in {
		c.apply(i)
	}
	c.expire()
	if c.pausing {
		c.tickPausing()
		return c.actions
	}
	c.preempt()
	c.startOnline()
	c.startBatch()
	return c.actions
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
		c.slicePrefilled(in.ID)
	case SetPolicy:
		c.setPolicy(in.Policy)
	case Drain:
		c.draining = true
	}
}

// arrive queues an attempt or refuses it immediately.
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
		c.nextExpiry = min(c.nextExpiry, c.now+a.Deadline)
	}
}

// token records the progress of a running attempt.
func (c *Core) token(id string) {
	r, ok := c.rows[id]
	if !ok || r.state != running {
		return
	}
	r.produced++
	c.countContext(r, 1)
	if r.decoding {
		c.observe(r, c.now-r.lastTokenAt)
	} else {
		r.decoding = true
		c.endPrefill(r)
	}
	r.lastTokenAt, r.runningAtToken, r.prefillsAtToken = c.now, c.runningTotal(), c.prefills
	r.batchAtToken, r.prefilledAtToken = c.running[Batch], c.completedPrefill
}

// observe updates the latency models with the time between two tokens of a row.
func (c *Core) observe(r *row, gap time.Duration) {
	if c.undisturbed(r) {
		c.steps.observe(float64(r.runningAtToken+c.runningTotal())/2, gap)
	}
	if c.stoppedAt < r.lastTokenAt && !c.prefilledSince(r, Online) {
		c.prefillTime.observe(c.completedPrefill-r.prefilledAtToken, gap-c.steps.predict(c.runningTotal()))
	}
	c.tokenInterval.add(gap.Seconds())
	if r.attempt.Class == Online {
		c.observeGap(r, gap)
	}
}

// undisturbed reports whether no attempt was prefilled or stopped since the
// row's previous token.
func (c *Core) undisturbed(r *row) bool {
	return !c.prefilledSince(r, Online) && !c.prefilledSince(r, Batch) && c.stoppedAt < r.lastTokenAt
}

// prefilledSince reports whether an attempt of a class was prefilled since the
// row's previous token.
func (c *Core) prefilledSince(r *row, class Class) bool {
	return r.prefillsAtToken[class] > 0 || c.startedAt[class] >= r.lastTokenAt
}

func (c *Core) finish(id string) {
	r, ok := c.rows[id]
	if !ok {
		return
	}
	if r.state == running {
		c.serviceTime[r.attempt.Class].add((c.now - r.started).Seconds())
	}
	c.countContext(r, -r.contextTokens)
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
		c.emit(Action{Kind: Stop, ID: id})
	}
}

func (c *Core) refuse(id string, k errkind.Kind, retryAfter time.Duration) {
	c.emit(Action{Kind: Refuse, ID: id, Err: k, RetryAfter: retryAfter})
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) runningTotal() int { return c.running[Online] + c.running[Batch] }

// Slots returns the number of attempts that the backend server runs
// concurrently.
func (c *Core) Slots() int { return c.policy.Slots }
