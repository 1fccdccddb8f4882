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
	// PromptTokens and MaxTokens estimate the work. PromptTokens is zero for a
	// call to a plain service, which has no prompt to prefill.
	PromptTokens, MaxTokens int
	// CachedTokens estimates how many of PromptTokens the engine holds from an
	// earlier attempt that it ran and was preempted.
	CachedTokens int
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

// SlicePrefilled says that the engine has prefilled the slice of an attempt that was
// started with PrefillTokens; the call of the slice has ended.
type SlicePrefilled struct{ ID string }

// SetPolicy puts a policy in force.
type SetPolicy struct{ Policy Policy }

// Drain refuses new work from now on.
type Drain struct{}

func (Arrive) isInput()         {}
func (Token) isInput()          {}
func (Finish) isInput()         {}
func (Cancel) isInput()         {}
func (SlicePrefilled) isInput() {}
func (SetPolicy) isInput()      {}
func (Drain) isInput()          {}

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
	// Pause cancels a running batch attempt at the backend server but keeps
	// the attempt and its tokens beside it; a later Start continues it. Only
	// cores made WithPause ask for it.
	Pause
)

// Action is one decision.
type Action struct {
	Kind ActionKind
	ID   string
	// PrefillTokens, if positive, makes a Start send only that many leading
	// tokens of the prompt, with an output of one token that is dropped, so
	// that the engine caches them. The shell then reports Sliced.
	PrefillTokens int
	// Err and RetryAfter say why an attempt is refused and when to come back.
	Err        errkind.Kind
	RetryAfter time.Duration
}

// Load is the core's view of the backend server.
type Load struct {
	RunningOnline, RunningBatch int
	QueuedOnline, QueuedBatch   int
	// BatchRoom is how many more batch attempts the sidecar wants: those that
	// would start at once, in a short queue that covers the lag of reports.
	BatchRoom int
	// Step is the recent time between online tokens.
	Step time.Duration
}
