package batch

import "time"

// AttemptID numbers the attempts of one Scheduler.
type AttemptID uint64

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeDone has a final result, good or bad.
	OutcomeDone Outcome = iota
	// OutcomePreempted was stopped for online work; it costs no try.
	OutcomePreempted
	// OutcomeRefused was never started; it costs no try.
	OutcomeRefused
	// OutcomeFailed was started and failed in a way that a retry may mend.
	OutcomeFailed
	// OutcomeWorkerDied lost its backend server. It costs a try only if the
	// item ran alone.
	OutcomeWorkerDied
)

// Ended reports the end of an attempt.
type Ended struct {
	Attempt AttemptID
	Outcome Outcome
	// Worker is the backend server that ran it, if known.
	Worker string
	// ResumeText and ResumeTokens are what a preempted attempt had produced.
	ResumeText   string
	ResumeTokens int
	// RetryAfter is when a refused attempt may come back.
	RetryAfter time.Duration
}

// JobInput is a job that may run now.
type JobInput struct {
	ID      string
	Service string
	Total   uint32
	// Left is how many items have no folded result.
	Left     uint32
	Deadline time.Time
	// MaxTries bounds the tries of one item.
	MaxTries int
	// Done reports whether an item has a folded result.
	Done func(item uint32) bool
}

// Inputs of one tick.
type Inputs struct {
	// Jobs are all jobs that may run; one that is missing has stopped.
	Jobs []JobInput
	// Room is how many more attempts each service takes now.
	FreeSlots map[string]int
	// Ended are the attempts that ended since the last tick.
	Ended []Ended
	// Hold says that no result can be kept, so nothing may start.
	Hold bool
}

// Start is one item to dispatch, or a range of fresh ones that lie in one
// block. Attempts are numbered from Attempt on, one for each item.
type Start struct {
	Job     string
	First   uint32
	Count   uint32
	Attempt AttemptID
	// Try counts from one.
	Try int
	// Alone asks for a backend server that runs no other batch item.
	Alone bool
	// Avoid names a backend server that the item failed on last.
	Avoid        string
	ResumeText   string
	ResumeTokens int
}

// GiveUp says that an item has used up its tries.
type GiveUp struct {
	Job     string
	Item    uint32
	Attempt AttemptID
	Tries   int
}

// Actions of one tick.
type Actions struct {
	Start []Start
	// Stop lists running attempts whose result is no longer wanted.
	Stop   []AttemptID
	GiveUp []GiveUp
	// Expire lists jobs whose deadline has passed.
	Expire []string
}
