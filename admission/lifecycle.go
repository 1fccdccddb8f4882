package admission

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/qmuntal/stateless"
)

// distantFuture and distantPast lie after and before every time.
const (
	distantFuture = time.Duration(math.MaxInt64)
	distantPast   = time.Duration(math.MinInt64)
)

// state is the state of an attempt's row.
type state uint8

const (
	queued state = iota
	running
	paused   // cancelled at the backend server, will be continued
	stopping // cancelled at the backend server, Finish is not yet reported
	ended
)

// trigger causes a transition between states.
type trigger uint8

const (
	start trigger = iota
	stop
	pause
	end
)

// row holds the state of one attempt.
type row struct {
	attempt     Attempt
	state       state
	arrived     time.Duration
	started     time.Duration
	lastTokenAt time.Duration
	decoding    bool // has produced a token
	// prefilling is set while an attempt has a prompt and no token yet. An
	// attempt without a prompt, such as a call to a plain service, is never
	// prefilled.
	prefilling bool
	// runningAtToken is the number of running attempts at lastTokenAt, and
	// prefillsAtToken the number of those of each class whose prompt was being
	// prefilled then.
	runningAtToken   int
	prefillsAtToken  [2]int
	batchAtToken     int // running batch attempts at lastTokenAt
	prefilledAtToken int // Core.completedPrefill at lastTokenAt
	// produced counts output tokens. slicedTokens and slice are the numbers of
	// leading prompt tokens that earlier slices and the current one leave in the
	// cache. prefillCost is the number of prompt tokens charged to the current
	// start.
	produced, slicedTokens, slice, prefillCost int
	contextCounted                             bool // the context is included in Core.contexts
	contextTokens                              int  // tokens of context
	pausedAt                                   time.Duration
}

// newMachine returns the state machine that all rows of a core share. It reads
// and writes the state of the core's current row.
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

// fire applies a trigger to a row. A trigger that the row's state does not
// permit is a programming error and panics.
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
	if !r.contextCounted {
		r.contextCounted = true
		c.countContext(r, r.attempt.PromptTokens)
	}
	if r.prefilling = r.attempt.PromptTokens > 0; r.prefilling {
		c.prefills[r.attempt.Class]++
		c.pendingPrefill += r.prefillCost
	}
	if r.attempt.Class == Batch {
		c.runningBatch = append(c.runningBatch, r)
	}
	return nil
}

// countContext adds n tokens to a row's context.
func (c *Core) countContext(r *row, n int) {
	r.contextTokens += n
	c.contexts[r.attempt.Class].add(n)
}

// endPrefill records that a row has produced its first token, or no longer
// needs one.
func (c *Core) endPrefill(r *row) {
	if r.prefilling {
		r.prefilling = false
		c.prefills[r.attempt.Class]--
		c.pendingPrefill -= r.prefillCost
		c.completedPrefill += r.prefillCost
	}
}

// onResume removes a row from the list of paused rows.
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
		i := slices.Index(c.runningBatch, r)
		c.runningBatch = slices.Delete(c.runningBatch, i, i+1)
	}
	return nil
}
