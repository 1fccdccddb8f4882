// Package admission decides, for one backend server, which attempts start,
// wait, are preempted or are refused. The core is a pure function of its inputs:
// it uses no clock, goroutine or I/O. Tick maps inputs to actions over a table
// of attempts.
package admission

import (
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
)

// Class is the priority class of an attempt.
type Class uint8

// The classes. An online attempt never waits behind batch attempts.
const (
	Online Class = iota
	Batch
)

// Policy is the part of the desired state that applies to one service.
type Policy struct {
	// Slots is the number of attempts that the backend server runs concurrently.
	Slots int
	// OnlineWeight and BatchWeight weigh online tail latency against batch
	// throughput; only their ratio matters.
	OnlineWeight, BatchWeight float64
	// TTFTTarget and TBTTarget are the online targets for the time to first
	// token and the time between tokens.
	TTFTTarget, TBTTarget time.Duration
	// MaxQueue bounds the queue length of each class.
	MaxQueue int
}

// Attempt describes an attempt on arrival.
type Attempt struct {
	ID       string
	Class    Class
	Deadline time.Duration // from arrival
	// PromptTokens and MaxTokens estimate the work. PromptTokens is zero for a
	// call to a plain service, which has no prompt to prefill.
	PromptTokens, MaxTokens int
	// CachedTokens estimates how many of PromptTokens the engine's cache still
	// holds from an earlier attempt that was preempted.
	CachedTokens int
	// NonIdempotent attempts are never preempted after they have started.
	NonIdempotent bool
}

// Input is an event that the core processes.
type Input interface{ isInput() }

// Arrive reports the arrival of an attempt.
type Arrive struct{ Attempt Attempt }

// Token reports that a running attempt produced a token.
type Token struct{ ID string }

// Finish reports that a running attempt has ended, for any reason.
type Finish struct{ ID string }

// Cancel reports that the caller has cancelled an attempt.
type Cancel struct{ ID string }

// SlicePrefilled reports that the engine has prefilled the prompt slice of an
// attempt that was started with PrefillTokens; the call for the slice has ended.
type SlicePrefilled struct{ ID string }

// SetPolicy replaces the policy.
type SetPolicy struct{ Policy Policy }

// Drain makes the core refuse all new attempts from now on.
type Drain struct{}

func (Arrive) isInput()         {}
func (Token) isInput()          {}
func (Finish) isInput()         {}
func (Cancel) isInput()         {}
func (SlicePrefilled) isInput() {}
func (SetPolicy) isInput()      {}
func (Drain) isInput()          {}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The actions.
const (
	// Start sends the attempt to the backend server.
	Start ActionKind = iota
	// Refuse rejects an attempt that has never started.
	Refuse
	// Preempt cancels a running batch attempt, or ends a paused one, and keeps its
	// tokens. The caller of Tick answers it as preempted and reports Finish.
	Preempt
	// Stop cancels a running or paused attempt, whose caller has cancelled it. The
	// caller of Tick reports Finish.
	Stop
	// Pause cancels a running batch attempt at the backend server but keeps the
	// attempt and its tokens; a later Start continues it. Only cores created
	// with WithPause emit it.
	Pause
)

// Action is one decision of the core, which the caller of Tick carries out.
type Action struct {
	Kind ActionKind
	ID   string
	// PrefillTokens, if positive, makes a Start send only that many leading
	// tokens of the prompt and request one output token, which is discarded, so
	// that the engine caches the prefix. The caller then reports SlicePrefilled.
	PrefillTokens int
	// Err and RetryAfter are the reason for a refusal and the time after which
	// the caller may retry.
	Err        errkind.Kind
	RetryAfter time.Duration
}

// Load is the core's view of the load on the backend server.
type Load struct {
	// RunningBatch includes paused attempts.
	RunningOnline, RunningBatch int
	QueuedOnline, QueuedBatch   int
	// BatchRoom is the number of further batch attempts that the sidecar accepts:
	// those that would start at once, plus a short queue that covers the delay of
	// load reports.
	BatchRoom int
	// Step is the recent average time between the tokens of an attempt.
	Step time.Duration
}
