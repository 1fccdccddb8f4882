package admission

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/qmuntal/stateless"
)

// never and before lie after and before every time.
const (
	never  = time.Duration(math.MaxInt64)
	before = time.Duration(math.MinInt64)
)

// state is the state of an attempt's row.
type state uint8

const (
	queued state = iota
	running
	paused   // cancelled at the backend server, to be continued
	stopping // cancelled at the backend server, Finish is still to come
	ended
)

// trigger moves a row from state to state.
type trigger uint8

const (
	start trigger = iota
	stop
	pause
	end
)

// row is one attempt.
type row struct {
	attempt  Attempt
	state    state
	arrived  time.Duration
	started  time.Duration
	tokenAt  time.Duration
	decoding bool // has produced a token
	// prefilling attempts have a prompt and no token yet; an attempt without a
	// prompt, such as a call to a plain service, is never prefilled.
	prefilling bool
	// streams and beside are how many attempts ran, and how many of each class
	// had no token yet, at tokenAt.
	streams int
	beside  [2]int
	batchAt int // running batch attempts at tokenAt
	doneAt  int // Core.done at tokenAt
	// produced counts tokens; built and slice are how many leading tokens of
	// the prompt earlier slices and the present one leave in the cache, cost
	// is the prefill charged for the present start.
	produced, built, slice, cost int
	holds                        bool // its context counts
	held                         int  // tokens of context
	pausedAt                     time.Duration
}

// newMachine returns the state machine of all rows of a core. Its storage is
// the core's current row.
func newMachine(c *Core) *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return c.current.state, nil },
		func(_ context.Context, s stateless.State) error {
			c.current.state = s.(state)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(queued).Permit(start, running).Permit(end, ended).OnExit(c.onDequeue)
	m.Configure(running).Permit(stop, stopping).Permit(pause, paused).Permit(end, ended).OnEntry(c.onStart).OnExit(c.onRelease)
	m.Configure(paused).Permit(start, running).Permit(stop, stopping).Permit(end, ended).OnEntry(c.onStop).OnExit(c.onResume)
	m.Configure(stopping).Permit(end, ended).OnEntry(c.onStop)
	m.Configure(ended)
	return m
}

// fire moves a row. A trigger that the row's state does not permit is a
// programming error.
func (c *Core) fire(r *row, t trigger) {
	c.current = r
	if err := c.machine.Fire(t); err != nil {
		panic(err)
	}
}

func (c *Core) onDequeue(context.Context, ...any) error {
	c.queues[c.current.attempt.Class].remove()
	return nil
}

func (c *Core) onStart(context.Context, ...any) error {
	r := c.current
	r.started, c.startedAt[r.attempt.Class] = c.now, c.now
	c.running[r.attempt.Class]++
	r.decoding = false
	if !r.holds {
		r.holds = true
		c.hold(r, r.attempt.PromptTokens)
	}
	if r.prefilling = r.attempt.PromptTokens > 0; r.prefilling {
		c.prefills[r.attempt.Class]++
		c.pending += r.cost
	}
	if r.attempt.Class == Batch {
		c.batch = append(c.batch, r)
	}
	return nil
}

// hold counts tokens of a row's context.
func (c *Core) hold(r *row, n int) {
	r.held += n
	c.context[r.attempt.Class].add(n)
}

// endPrefill notes that a row has its first token, or needs none any more.
func (c *Core) endPrefill(r *row) {
	if r.prefilling {
		r.prefilling = false
		c.prefills[r.attempt.Class]--
		c.pending -= r.cost
		c.done += r.cost
	}
}

// onResume takes a row off the list of paused rows.
func (c *Core) onResume(context.Context, ...any) error {
	i := slices.Index(c.paused, c.current)
	c.paused = slices.Delete(c.paused, i, i+1)
	return nil
}

func (c *Core) onStop(context.Context, ...any) error {
	c.stoppedAt = c.now
	return nil
}

// onRelease frees the slot of a row that stops or ends.
func (c *Core) onRelease(context.Context, ...any) error {
	r := c.current
	c.running[r.attempt.Class]--
	c.endPrefill(r)
	if r.attempt.Class == Batch {
		i := slices.Index(c.batch, r)
		c.batch = slices.Delete(c.batch, i, i+1)
	}
	return nil
}
