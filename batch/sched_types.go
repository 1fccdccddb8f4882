package batch

import "time"

// AttemptID identifies an attempt of one Scheduler.
type AttemptID uint64

// Outcome states how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeDone means that the attempt has a final result, success or error.
	OutcomeDone Outcome = iota
	// OutcomePreempted means that the attempt was stopped in favour of online
	// requests; it does not count as a try.
	OutcomePreempted
	// OutcomeRefused means that the attempt was never started; it does not count
	// as a try.
	OutcomeRefused
	// OutcomeFailed means that the attempt was started and failed, and that a
	// retry may succeed.
	OutcomeFailed
	// OutcomeBackendLost means that the attempt lost its backend server. It
	// counts as a try only if the item ran exclusively.
	OutcomeBackendLost
)

// AttemptEnd reports the end of an attempt.
type AttemptEnd struct {
	Attempt AttemptID
	Outcome Outcome
	// Backend is the backend server that ran the attempt, if known.
	Backend string
	// ResumeText and ResumeTokens are the output of a preempted attempt.
	ResumeText   string
	ResumeTokens int
	// RetryAfter is the delay after which a refused attempt may be retried.
	RetryAfter time.Duration
}

// JobInput is a job that may run.
type JobInput struct {
	ID      string
	Service string
	Total   uint32
	// Left is the number of items without a folded result.
	Left     uint32
	Deadline time.Time
	// MaxTries bounds the number of tries of one item.
	MaxTries int
	// Done reports whether an item has a folded result.
	Done func(item uint32) bool
}

// Inputs are the inputs of one tick.
type Inputs struct {
	// Jobs are all jobs that may run; a job that is missing has stopped.
	Jobs []JobInput
	// FreeSlots is the number of additional attempts that each service accepts.
	FreeSlots map[string]int
	// Ended are the attempts that ended since the preceding tick.
	Ended []AttemptEnd
	// Paused reports that no more results can be buffered, so nothing may start.
	Paused bool
}

// Start is one item to dispatch, or a range of items in one block that were never
// tried. Attempts are numbered from Attempt on, one for each item.
type Start struct {
	Job     string
	First   uint32
	Count   uint32
	Attempt AttemptID
	// Try counts from one.
	Try int
	// Exclusive requests a backend server that runs no other batch item.
	Exclusive bool
	// AvoidBackend names the backend server on which the item last failed.
	AvoidBackend string
	ResumeText   string
	ResumeTokens int
}

// ExhaustedItem is an item that has no tries left.
type ExhaustedItem struct {
	Job     string
	Item    uint32
	Attempt AttemptID
	Tries   int
}

// Actions are the results of one tick.
type Actions struct {
	Start []Start
	// Stop lists running attempts whose result is no longer needed.
	Stop      []AttemptID
	Exhausted []ExhaustedItem
	// Expire lists jobs whose deadline has passed.
	Expire []string
}
