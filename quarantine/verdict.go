package quarantine

import (
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
)

// Verdict is whether a run with some suspects may start.
type Verdict struct {
	// Suspect is the suspect that keeps the run longest; empty if none is held or about to be.
	Suspect string
	// Step is what may be done now.
	Step Step
	// Wait is the time until that may change.
	Wait time.Duration
	// Failures is how many trials of Suspect have ended their servers.
	Failures int
	// DueFor is for how long a trial of Suspect has been due.
	DueFor time.Duration
	// Proved states that Suspect has to be held at once, as the evidence needs no agreement of other gateways.
	Proved bool
}

// Step is what may be done with a run. Of its suspects, the one with the highest step decides.
type Step uint8

// The steps.
const (
	// Start: no suspect is held.
	Start Step = iota
	// Try: the run may start as the trial of all suspects that are held.
	Try
	// Announce: a run that has a slot may announce its trial.
	Announce
	// AwaitTurn: this gateway has announced a trial, which may start after Wait.
	AwaitTurn
	// AwaitDecision: the gateways are about to hold a suspect.
	AwaitDecision
	// AwaitTrial: a suspect is held, and no trial may start before Wait.
	AwaitTrial
)

// Held reports whether any of the suspects is held.
func (v Verdict) Held() bool { return v.Step != Start && v.Step != AwaitDecision }

// Refuses reports whether a run must not look for a slot now.
func (v Verdict) Refuses() bool { return v.Step > Announce }

// WantsIdle reports whether the run may start only at a backend server that runs nothing else.
func (v Verdict) WantsIdle() bool { return v.Held() && v.DueFor < idleWait }

// Soon reports whether a run that must not start now may do so in a moment.
func (v Verdict) Soon() bool { return v.Step == AwaitTurn || v.Step == AwaitDecision }

// Check returns the verdict on a run of a class with these suspects. It changes nothing.
func (t *Table) Check(suspects []string, class balance.Class, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(suspects, class, now)
}

// check implements Check. The caller holds mu. A run waits for the suspect that keeps it longest.
func (t *Table) check(suspects []string, class balance.Class, now time.Time) Verdict {
	var longest Verdict
	for _, suspect := range suspects {
		if v := t.checkOne(suspect, class, now); v.Step > longest.Step || v.Step == longest.Step && v.Wait > longest.Wait {
			longest = v
		}
	}
	return longest
}

// checkOne returns the verdict on a run with one suspect. The caller holds mu.
func (t *Table) checkOne(suspect string, class balance.Class, now time.Time) Verdict {
	h := t.held[suspect]
	if h == nil {
		return t.checkEvidence(suspect, now)
	}
	step, wait := h.step(class, t.endings.last(), now)
	return Verdict{Suspect: suspect, Step: step, Wait: wait, Failures: h.failures, DueFor: now.Sub(h.due(class))}
}

// step returns what may be done with a run of a class, and the time until that may change, given when a server has
// last ended.
func (h *hold) step(class balance.Class, lastEnding, now time.Time) (Step, time.Duration) {
	claimable := h.claimable(class, lastEnding)
	switch {
	case now.Before(claimable):
		return AwaitTrial, claimable.Sub(now)
	case !h.claimed(now):
		return Announce, claimTime
	case now.Sub(h.claimedAt) < claimTime:
		return AwaitTurn, claimTime - now.Sub(h.claimedAt)
	}
	return Try, 0
}

// checkEvidence returns the verdict on a suspect that is not held: no run starts while the gateways decide. The caller
// holds mu.
func (t *Table) checkEvidence(suspect string, now time.Time) Verdict {
	if !t.proved(suspect, now) {
		return Verdict{}
	}
	if r := t.records(suspect); r.immediate {
		return Verdict{Suspect: suspect, Step: AwaitTrial, Wait: r.backoff.first, Proved: true}
	}
	against := t.against(suspect, now)
	if wait := against[len(against)-1].at.Add(decisionTime).Sub(now); wait > 0 {
		return Verdict{Suspect: suspect, Step: AwaitDecision, Wait: wait}
	}
	return Verdict{}
}

// Claim announces a trial of the held suspects among these, and returns those that are announced anew.
func (t *Table) Claim(suspects []string, class balance.Class, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.check(suspects, class, now).Step != Announce {
		return nil
	}
	announced := slices.DeleteFunc(t.heldAmong(suspects), func(suspect string) bool { return t.held[suspect].claimed(now) })
	for _, suspect := range announced {
		t.held[suspect].claim(now)
	}
	return announced
}

// StartTrial starts the trial of all held suspects among these at a server, given by the hash of its id. It returns
// false if the run must not start there now. Nothing is tried if none is held.
func (t *Table) StartTrial(suspects []string, class balance.Class, server uint32, now time.Time) (tried []string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.check(suspects, class, now); v.Step != Start && v.Step != Try {
		return nil, false
	}
	tried = t.heldAmong(suspects)
	if len(tried) > 0 && t.othersTried(tried, server, now) {
		return nil, false
	}
	for _, suspect := range tried {
		t.held[suspect].start(server, now)
	}
	return tried, true
}

// othersTried reports whether other suspects are tried at a server. The caller holds mu.
func (t *Table) othersTried(suspects []string, server uint32, now time.Time) bool {
	for suspect, h := range t.held {
		if h.triedAtServer(server, now) && !slices.Contains(suspects, suspect) {
			return true
		}
	}
	return false
}

// OthersTried reports whether other suspects are tried at a server, given by the hash of its id.
func (t *Table) OthersTried(suspects []string, server uint32, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.othersTried(suspects, server, now)
}

// heldAmong returns those of the suspects that are held. The caller holds mu.
func (t *Table) heldAmong(suspects []string) []string {
	return slices.DeleteFunc(slices.Clone(suspects), func(suspect string) bool { return t.held[suspect] == nil })
}

// EndTrial records the outcome of a trial for those of the suspects that are still held, and returns them.
func (t *Table) EndTrial(suspects []string, outcome Outcome, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.heldAmong(suspects)
	for _, suspect := range held {
		t.held[suspect].end(outcome, now)
	}
	return held
}

// States returns the states of those of the suspects that are held, with the priorities of this gateway.
func (t *Table) States(suspects []string, priority func(suspect string) uint64, now time.Time) []HoldState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var states []HoldState
	for _, suspect := range t.heldAmong(suspects) {
		states = append(states, t.held[suspect].state(suspect, priority(suspect), now))
	}
	return states
}

// Merge adopts what another gateway reports about suspects that are held here too.
func (t *Table) Merge(states []HoldState, priority func(suspect string) uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range states {
		if h := t.held[s.Suspect]; h != nil {
			h.merge(s, priority(s.Suspect), now)
		}
	}
}

// OthersEnded reports whether servers that ran nothing with any held suspect have ended together, within momentWidth
// of at.
func (t *Table) OthersEnded(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.endings, func(known ending) bool {
		return known.at.Sub(at).Abs() < momentWidth && !t.underHeld(known)
	})
}

// EndedUnderHeld reports whether a server, given by the hash of its id, has ended at the moment at under a run with a
// held suspect, which may explain its end.
func (t *Table) EndedUnderHeld(server uint32, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.endings, func(known ending) bool {
		return known.server == server && known.at.Sub(at).Abs() < sameCrash && t.underHeld(known)
	})
}

// underHeld reports whether a server has ended under a run with a held suspect. The caller holds mu.
func (t *Table) underHeld(known ending) bool {
	for suspect := range known.suspects {
		if t.held[suspect] != nil {
			return true
		}
	}
	return false
}
