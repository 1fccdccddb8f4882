package quarantine

import (
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
)

const (
	// trialBackoffFactor multiplies the delay before the next trial with each one that has failed.
	trialBackoffFactor = 6
	// maxTrialDelay bounds that delay.
	maxTrialDelay = time.Hour
	// undecidedDelay is the delay after a trial that has proved nothing. It doubles with each further
	// one, up to maxUndecidedDelay.
	undecidedDelay    = 500 * time.Millisecond
	maxUndecidedDelay = 8 * time.Second
	// calmTime is how long no server may have ended before a trial: one that ends by chance during the
	// trial would count against the suspect. A trial is not delayed by more than maxCalmWait for it.
	calmTime    = time.Second
	maxCalmWait = 5 * time.Second
	// idleWait is how long a trial waits for an idle server.
	idleWait = 5 * time.Second
	// claimTime is how long a gateway announces a trial before it starts. Of several that want to try a
	// suspect, the one with the lowest priority goes first.
	claimTime = 250 * time.Millisecond
	// claimValidity is how long a gateway that may start a trial has to do so.
	claimValidity = 3 * time.Second
	// yieldTime is how long a gateway waits for the trial that another one has announced.
	yieldTime = claimTime + 150*time.Millisecond
	// trialTimeout is the time after which a trial of another gateway counts as undecided, if its outcome
	// is not known.
	trialTimeout = 15 * time.Second
)

// backoff is when suspects of one kind are tried.
type backoff struct {
	// first is the delay between the decision to hold a suspect and its first trial.
	first time.Duration
	// failed is the delay after the first trial that has failed.
	failed time.Duration
}

var (
	// partBackoff lets the items that share an innocent part go on within seconds.
	partBackoff = backoff{first: time.Second, failed: 10 * time.Second}
	// itemBackoff is that of an item by itself.
	itemBackoff = backoff{first: 2 * time.Second, failed: 15 * time.Second}
	// requestBackoff is longer: requests of callers run beside others, which a trial may break off, and their
	// refusals state the delay.
	requestBackoff = backoff{first: 30 * time.Second, failed: 5 * time.Minute}
)

// delay returns the delay before the next trial of a suspect with this number of failed trials.
func (b backoff) delay(failures int) time.Duration {
	if failures <= 0 {
		return b.first
	}
	d := b.failed
	for range failures - 1 {
		if d >= maxTrialDelay/trialBackoffFactor {
			return maxTrialDelay
		}
		d *= trialBackoffFactor
	}
	return min(d, maxTrialDelay)
}

// undecidedBackoff returns the delay after this number of trials in a row that have proved nothing.
func undecidedBackoff(undecided int) time.Duration {
	d := undecidedDelay
	for range undecided - 1 {
		if d >= maxUndecidedDelay {
			break
		}
		d *= 2
	}
	return min(d, maxUndecidedDelay)
}

// Outcome is what a trial has shown about a suspect that is still held.
type Outcome uint8

// The outcomes.
const (
	// TrialFailed: the trial has ended its server, and nothing else explains that.
	TrialFailed Outcome = iota + 1
	// TrialUndecided: the trial has ended for a reason that says nothing about the suspect.
	TrialUndecided
	// TrialNotRun: no server has run the trial.
	TrialNotRun
)

// hold is the state of a held suspect. While it is held, one run with it at a time is tried.
type hold struct {
	backoff backoff
	// failures counts the trials that have ended their servers, undecided the last ones in a row that
	// have proved nothing.
	failures, undecided int
	// dueAt is when the next trial may start.
	dueAt time.Time
	// triedAt is when the trial in progress has started, here or at another gateway; zero if none is. server is
	// the hash of the id of its backend server.
	triedAt time.Time
	server  uint32
	// claimedAt is when this gateway has announced a trial that has not started; zero if it has not.
	claimedAt time.Time
	// yieldUntil is until when another gateway that has announced a trial goes first, and yielded states that
	// one has since the last trial: a gateway that announces and does not start holds up no other again.
	yieldUntil time.Time
	yielded    bool
}

func newHold(b backoff, failures int, now time.Time) *hold {
	return &hold{backoff: b, failures: failures, dueAt: now.Add(b.delay(failures))}
}

// due returns when a run of a class may be the next trial. Requests of callers leave the first one to items of
// batch jobs, which wait for idle servers.
func (h *hold) due(class balance.Class) time.Time {
	if class == balance.Batch {
		return h.dueAt
	}
	return h.dueAt.Add(max(requestBackoff.delay(h.failures)-h.backoff.delay(h.failures), 0))
}

// claimable returns when this gateway may announce a run of a class as the next trial, given when a server has
// last ended.
func (h *hold) claimable(class balance.Class, lastEnding time.Time) time.Time {
	due := later(h.due(class), h.yieldUntil)
	if !h.triedAt.IsZero() {
		due = later(due, h.triedAt.Add(trialTimeout))
	}
	calm := lastEnding.Add(calmTime)
	if latest := due.Add(maxCalmWait); calm.After(latest) {
		return latest
	}
	return later(due, calm)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// claimed reports whether this gateway has announced a trial that it may still start.
func (h *hold) claimed(now time.Time) bool {
	return !h.claimedAt.IsZero() && now.Sub(h.claimedAt) < claimTime+claimValidity
}

// claim records that this gateway announces a trial. The outcome of an earlier one is lost, if there was any.
func (h *hold) claim(now time.Time) { h.claimedAt, h.triedAt = now, time.Time{} }

// start records that a trial has started here, at a server given by the hash of its id.
func (h *hold) start(server uint32, now time.Time) {
	h.triedAt, h.server, h.claimedAt, h.yielded = now, server, time.Time{}, false
}

// triedAtServer reports whether a trial is in progress at a server.
func (h *hold) triedAtServer(server uint32, now time.Time) bool {
	return h.server == server && !h.triedAt.IsZero() && now.Sub(h.triedAt) < trialTimeout
}

// end records the outcome of a trial.
func (h *hold) end(outcome Outcome, now time.Time) {
	h.triedAt = time.Time{}
	switch outcome {
	case TrialFailed:
		h.failures++
		h.undecided = 0
		h.dueAt = now.Add(h.backoff.delay(h.failures))
	case TrialUndecided:
		h.undecided++
		h.dueAt = now.Add(undecidedBackoff(h.undecided))
	case TrialNotRun: // still due
	}
}

// merge adopts what another gateway reports. priority is that of this gateway.
func (h *hold) merge(s HoldState, priority uint64, now time.Time) {
	switch {
	case s.Failures < h.failures:
		return // it has missed a trial
	case s.Phase == Claiming:
		if s.Priority < priority && !h.yielded {
			h.claimedAt, h.yieldUntil, h.yielded = time.Time{}, now.Add(yieldTime), true
		}
		return
	case s.Phase == Trying:
		h.failures = s.Failures
		h.start(s.Server, now)
		return
	case s.Failures > h.failures:
		h.undecided = 0
	}
	h.failures, h.triedAt = s.Failures, time.Time{}
	h.dueAt = later(h.dueAt, now.Add(s.NextIn))
}

// Phase is how far a gateway is with the next trial of a suspect.
type Phase uint8

// The phases.
const (
	// Waiting: the gateway does not try the suspect at present.
	Waiting Phase = iota
	// Claiming: the gateway announces a trial.
	Claiming
	// Trying: a trial is in progress at the gateway.
	Trying
)

// HoldState is what a gateway reports about a held suspect.
type HoldState struct {
	Suspect string
	// Failures is the number of trials that have ended their servers.
	Failures int
	// NextIn is the time until the next trial may start.
	NextIn time.Duration
	// Server is the hash of the id of the backend server at which a trial is in progress.
	Server uint32
	// Phase is how far the gateway that reports is with the next trial, and Priority its place among those
	// that want to try the suspect; the lowest goes first.
	Phase    Phase
	Priority uint64
}

// state returns the state for a report.
func (h *hold) state(suspect string, priority uint64, now time.Time) HoldState {
	s := HoldState{Suspect: suspect, Failures: h.failures, NextIn: max(h.dueAt.Sub(now), 0), Priority: priority}
	switch {
	case !h.triedAt.IsZero():
		s.Phase, s.Server = Trying, h.server
	case h.claimed(now):
		s.Phase = Claiming
	}
	return s
}
