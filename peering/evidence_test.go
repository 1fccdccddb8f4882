package peering_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/quarantine"
)

// evidence records the reports that a gateway receives. Runs with the part "sound" have
// completed everywhere.
type evidence struct {
	mu                       sync.Mutex
	crashed, completed, held []string
	// tried are the suspects of states.
	tried  []string
	states []quarantine.HoldState
}

func (e *evidence) PeerHolds(states []quarantine.HoldState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states = append(e.states, states...)
	for _, s := range states {
		e.tried = append(e.tried, s.Suspect)
	}
}

func (e *evidence) PeerCrash(r quarantine.CrashReport) []string {
	runs := r.Runs
	parts := runs.Suspects()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = append(e.crashed, parts...)
	if slices.Contains(parts, "sound") {
		return []string{"sound"}
	}
	return nil
}

func (e *evidence) PeerCompleted(parts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completed = append(e.completed, parts...)
}

func (e *evidence) PeerHeld(parts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = append(e.held, parts...)
}

// waitFor waits until a list holds n parts.
func (e *evidence) waitFor(t *testing.T, list *[]string, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(*list) < n {
			return poll.Continue("%d parts, want %d", len(*list), n)
		}
		return poll.Success()
	})
}

func TestReportOfACrashIsAnsweredWithInnocentParts(t *testing.T) {
	all := fleet(t, "near", "near", "far")
	all[0].BroadcastCrash(quarantine.CrashReport{Server: 7, Runs: quarantine.Runs{"bad": time.Second, "sound": 0}, Counted: map[string][]quarantine.CountedCrash{"bad": {{Server: 5, Age: time.Second, Lasted: 20 * time.Millisecond}, {Server: 7}}}})
	for _, other := range all[1:] {
		other.evidence.waitFor(t, &other.evidence.crashed, 2)
	}
	all[0].evidence.waitFor(t, &all[0].evidence.completed, 2)
	assert.DeepEqual(t, all[0].evidence.completed, []string{"sound", "sound"})

	all[1].BroadcastHeld([]string{"bad"})
	all[0].evidence.waitFor(t, &all[0].evidence.held, 1)
	all[2].evidence.waitFor(t, &all[2].evidence.held, 1)
	all[2].BroadcastCompleted([]string{"bad"})
	all[1].evidence.waitFor(t, &all[1].evidence.completed, 1)
}

// TestOneGatewayIsTheFirstForAPart guards against a suspect that several gateways try at the same moment, or none.
func TestOneGatewayIsTheFirstForAPart(t *testing.T) {
	all := fleet(t, "near", "near", "far")
	for _, part := range []string{"a", "b", "c", "d"} {
		priorities := make(map[uint64]bool)
		for _, g := range all {
			priorities[g.Priority(part)] = true
		}
		assert.Equal(t, len(priorities), len(all), part)
	}
}

func TestStatesOfHeldSuspectsAreReported(t *testing.T) {
	all := fleet(t, "near", "near", "far")
	states := []quarantine.HoldState{{Suspect: "bad", Failures: 2, NextIn: 1500 * time.Millisecond, Phase: quarantine.Trying, Priority: 1 << 63, Server: 9}, {Suspect: "other"}}
	all[0].BroadcastHolds(states)
	for _, other := range all[1:] {
		other.evidence.waitFor(t, &other.evidence.tried, 2)
		assert.DeepEqual(t, other.evidence.states, states)
	}
}
