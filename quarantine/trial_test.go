package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

func ready(id string) catalog.Backend {
	return catalog.Backend{ID: id, Service: "s", State: catalog.Ready}
}

// trialFixture is a guard that holds the part bad, whose trial is due, and the backend servers that have ended.
type trialFixture struct {
	*guardFixture
	ended sync.Map
}

func newTrialFixture() *trialFixture {
	f := &trialFixture{guardFixture: newGuardFixture(nil)}
	f.opts.Probe = func(_ context.Context, b catalog.Backend, _ bool) error {
		if _, ended := f.ended.Load(b.ID); ended {
			return refused
		}
		return nil
	}
	f.others = []catalog.Backend{ready("tried"), ready("other"), {ID: "leaving", Service: "s", State: catalog.Draining}}
	f.PeerHeld([]string{"bad"})
	time.Sleep(partBackoff.first)
	return f
}

// begin begins the trial that is due.
func (f *trialFixture) begin(t *testing.T) *Trial {
	t.Helper()
	assert.Equal(t, f.Check([]string{"bad"}, balance.Batch).Step, Announce)
	_, ok := f.Begin([]string{"bad"}, ready("tried"), balance.Batch)
	assert.Assert(t, !ok)
	assert.Equal(t, f.Check([]string{"bad"}, balance.Batch).Step, AwaitTurn)
	time.Sleep(claimTime)
	assert.Equal(t, f.Check([]string{"bad"}, balance.Batch).Step, Try)
	trial, ok := f.Begin([]string{"bad", "sound"}, ready("tried"), balance.Batch)
	assert.Assert(t, ok)
	assert.Assert(t, trial != nil)
	_, ok = f.Begin([]string{"bad"}, ready("other"), balance.Batch)
	assert.Assert(t, !ok, "one at a time")
	time.Sleep(50 * time.Millisecond)
	return trial
}

// interrupt ends the run of the trial and returns when its outcome is known.
func (f *trialFixture) interrupt(trial *Trial) {
	trial.End(f.RunInterrupted(trial.backend, []string{"bad", "sound"}, time.Now()))
	time.Sleep(gatherTime + 2*probeTimeout)
	synctest.Wait()
}

func (f *trialFixture) failures() int {
	return f.Check([]string{"bad"}, balance.Batch).Failures
}

func TestTrialThatEndsItsServerAloneFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTrialFixture()
		trial := f.begin(t)
		f.ended.Store("tried", true)
		f.interrupt(trial)
		assert.Equal(t, f.failures(), 1)
		assert.DeepEqual(t, <-f.stored, keyedlog.Record{Key: "bad", Value: holdValue(1)})
		last := f.peers.states[len(f.peers.states)-1]
		assert.Equal(t, last.Phase, Waiting)
		assert.Equal(t, last.NextIn, partBackoff.failed)
	})
}

// TestTrialAmongOtherEndsProvesNothing guards against an innocent suspect that waits longer because its trial was at a
// server that ended with others.
func TestTrialAmongOtherEndsProvesNothing(t *testing.T) {
	for name, lose := range map[string]func(f *trialFixture){
		"an idle server":           func(f *trialFixture) { f.ended.Store("other", true) },
		"a server of another part": func(f *trialFixture) { f.PeerCrash(CrashReport{Server: 9, Runs: runsOf("another")}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTrialFixture()
				trial := f.begin(t)
				f.ended.Store("tried", true)
				lose(f)
				f.interrupt(trial)
				assert.Equal(t, f.failures(), 0)
				time.Sleep(calmTime)
				f.ended.Clear()
				f.RunCompleted(f.begin(t).suspects)
				assert.Assert(t, !f.Check([]string{"bad"}, balance.Online).Held())
			})
		})
	}
}

func TestTrialThatIsServedReleasesItsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTrialFixture()
		trial := f.begin(t)
		progress := f.Follow(func() []string { return []string{"bad"} })
		progress.Event()
		time.Sleep(harmlessTime)
		progress.Event()
		assert.Assert(t, !f.Check([]string{"bad"}, balance.Online).Held())
		assert.DeepEqual(t, <-f.stored, keyedlog.Record{Key: "bad"})
		f.ended.Store("tried", true)
		f.interrupt(trial)
		assert.Assert(t, !f.Check([]string{"bad"}, balance.Online).Held(), "its end is not the suspect's doing")
	})
}

// TestTrialWithoutAVerdictIsRepeatedSoon guards against a suspect that waits although its trial has shown nothing: the
// run was stopped, or its server lives.
func TestTrialWithoutAVerdictIsRepeatedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTrialFixture()
		for range 4 {
			trial := f.begin(t)
			trial.End(nil)
			synctest.Wait()
			time.Sleep(maxUndecidedDelay)
		}
		f.interrupt(f.begin(t)) // a living server has broken off
		assert.Equal(t, f.failures(), 0)
	})
}

// TestTrialThatDidNotRunIsRepeatedAtOnce guards against an innocent suspect that waits longer with each server that has
// refused its trial.
func TestTrialThatDidNotRunIsRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTrialFixture()
		for range 6 {
			f.begin(t).NotRun()
		}
	})
}

// TestTrialWithoutASlotCostsNothing guards against a trial that counts as begun although its run found no slot.
func TestTrialWithoutASlotCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTrialFixture()
		for range 5 {
			_, ok := f.Begin([]string{"bad"}, ready("tried"), balance.Batch) // it announces a trial and finds no slot again
			assert.Assert(t, !ok)
			time.Sleep(claimTime + claimValidity)
		}
		f.begin(t)
	})
}

// TestTwoSuspectsAreNotTriedAtOneServer guards against an innocent suspect that is blamed for the end of a server at which
// a guilty one was tried too.
func TestTwoSuspectsAreNotTriedAtOneServer(t *testing.T) {
	table := NewTable(start)
	now := at(100)
	for _, suspect := range []string{"guilty", "innocent"} {
		table.Hold(suspect, 0, at(0))
		table.Claim([]string{suspect}, balance.Batch, now.Add(-claimTime))
	}
	_, ok := table.StartTrial([]string{"guilty"}, balance.Batch, 7, now)
	assert.Assert(t, ok)
	_, ok = table.StartTrial([]string{"innocent"}, balance.Batch, 7, now)
	assert.Assert(t, !ok)
	assert.Assert(t, table.OthersTried([]string{"innocent"}, 7, now))
	assert.Assert(t, !table.OthersTried([]string{"guilty"}, 7, now))
	_, ok = table.StartTrial([]string{"innocent"}, balance.Batch, 8, now)
	assert.Assert(t, ok)
	table.Merge([]HoldState{{Suspect: "innocent", Phase: Trying, Server: 7}}, func(string) uint64 { return 0 }, now)
	assert.Assert(t, table.OthersTried([]string{"guilty"}, 7, now), "a trial of another gateway")
}

// TestRunWaitsForAllItsSuspects guards against a trial that is used up by a run which another suspect holds back.
func TestRunWaitsForAllItsSuspects(t *testing.T) {
	table := NewTable(start)
	table.Hold("due", 0, at(0))
	table.Hold("failed", 1, at(0))
	both := []string{"due", "failed"}
	now := at(0).Add(partBackoff.first)
	v := table.Check(both, balance.Batch, now)
	assert.Equal(t, v.Step, AwaitTrial)
	assert.Equal(t, v.Suspect, "failed")
	assert.Equal(t, len(table.Claim(both, balance.Batch, now)), 0)
	assert.DeepEqual(t, table.Claim([]string{"due"}, balance.Batch, now), []string{"due"})
	now = at(0).Add(partBackoff.failed)
	assert.DeepEqual(t, table.Claim(both, balance.Batch, now), both)
	tried, ok := table.StartTrial(both, balance.Batch, 1, now.Add(claimTime))
	assert.Assert(t, ok)
	assert.DeepEqual(t, tried, both)
}

// TestCallersLeaveTheFirstTrialToItems guards against trials that break off requests of callers, while items that can
// wait for an idle server share the suspect.
func TestCallersLeaveTheFirstTrialToItems(t *testing.T) {
	table := NewTable(start)
	table.Hold("part", 0, at(0))
	now := at(0).Add(partBackoff.first)
	assert.Equal(t, table.Check([]string{"part"}, balance.Batch, now).Step, Announce)
	v := table.Check([]string{"part"}, balance.Online, now)
	assert.Equal(t, v.Step, AwaitTrial)
	assert.Equal(t, v.Wait, requestBackoff.first-partBackoff.first)
	assert.Equal(t, table.Check([]string{"part"}, balance.Online, now.Add(v.Wait)).Step, Announce)
}

func TestTrialWaitsForACalmMoment(t *testing.T) {
	table := NewTable(start)
	table.Hold("part", 0, at(0))
	due := at(0).Add(partBackoff.first)
	step := func(now time.Time) Step { return table.Check([]string{"part"}, balance.Batch, now).Step }
	for i := range 10 { // servers go on ending
		now := due.Add(time.Duration(i) * time.Second / 2)
		table.RecordCrash(uint32(i), runsOf("other"), now)
		assert.Equal(t, step(now), AwaitTrial, "%d", i)
	}
	assert.Equal(t, step(due.Add(maxCalmWait)), Announce, "it does not wait for ever")
}

func TestStartingGatewayKnowsFailedTrials(t *testing.T) {
	for value, failures := range map[string]int{string(holdValue(2)): 2, string([]byte{heldMark}): 0} {
		f := newGuardFixture(refused)
		f.Rebuild([]keyedlog.Record{{Key: "bad", Value: []byte(value)}})
		v := f.Check([]string{"bad"}, balance.Batch)
		assert.Assert(t, v.Refuses())
		assert.Equal(t, v.Failures, failures)
	}
}

func TestMergedStates(t *testing.T) {
	const own = 5
	now := at(100)
	for name, c := range map[string]struct {
		reported HoldState
		step     Step
		failures int
	}{
		"nothing new":                     {HoldState{}, Try, 0},
		"another claims later":            {HoldState{Phase: Claiming, Priority: own + 1}, Try, 0},
		"another claims first":            {HoldState{Phase: Claiming, Priority: own - 1}, AwaitTrial, 0},
		"another tries":                   {HoldState{Phase: Trying, Priority: own + 1}, AwaitTrial, 0},
		"a trial elsewhere has failed":    {HoldState{Failures: 1, NextIn: time.Minute}, AwaitTrial, 1},
		"a trial elsewhere shows nothing": {HoldState{NextIn: time.Second}, AwaitTrial, 0},
	} {
		table := NewTable(start)
		table.Hold("bad", 0, at(0))
		table.Claim([]string{"bad"}, balance.Batch, now.Add(-claimTime))
		c.reported.Suspect = "bad"
		table.Merge([]HoldState{c.reported, {Suspect: "unknown", Failures: 3}}, func(string) uint64 { return own }, now)
		v := table.Check([]string{"bad"}, balance.Batch, now)
		assert.Equal(t, v.Step, c.step, name)
		assert.Equal(t, v.Failures, c.failures, name)
	}
	table := NewTable(start)
	table.Hold("bad", 2, at(0))
	table.Merge([]HoldState{{Suspect: "bad", Failures: 1, Phase: Trying}}, func(string) uint64 { return own }, now)
	assert.Equal(t, table.Check([]string{"bad"}, balance.Batch, at(0)).Failures, 2, "an old report changes nothing")
}

func TestTrialOfAnotherGatewayThatIsLostIsRepeated(t *testing.T) {
	table := NewTable(start)
	table.Hold("bad", 0, at(0))
	table.Merge([]HoldState{{Suspect: "bad", Phase: Trying}}, func(string) uint64 { return 0 }, at(10))
	assert.Equal(t, table.Check([]string{"bad"}, balance.Batch, at(10).Add(trialTimeout-1)).Step, AwaitTrial)
	assert.Equal(t, table.Check([]string{"bad"}, balance.Batch, at(10).Add(trialTimeout)).Step, Announce)
}

// TestItemThatEndsServersIsHeldByItself guards against an item that ends one server after the other, because the part
// that it shares with sound items is innocent.
func TestItemThatEndsServersIsHeldByItself(t *testing.T) {
	table := NewTable(start)
	bad, sound := ItemSuspect("job", 1), ItemSuspect("job", 2)
	for i := range minCrashes {
		now := at(float64(i))
		table.RecordCrash(uint32(i), runsOf("part", bad), now)
		table.RecordCompleted([]string{"part", sound}, now)
	}
	assert.DeepEqual(t, table.HoldSuspects([]string{"part", bad, sound}, at(4)), []string{bad})
	assert.Assert(t, !table.Check([]string{"part", sound}, balance.Batch, at(4)).Refuses())
	assert.Assert(t, table.Check([]string{"part", bad}, balance.Batch, at(4)).Refuses())
}

// TestItemsOfAGuiltyPartAreNotJudgedOneByOne guards against a part that ends servers under each of its items, as the
// items are held by themselves.
func TestItemsOfAGuiltyPartAreNotJudgedOneByOne(t *testing.T) {
	table := NewTable(start)
	items := []string{ItemSuspect("job", 0), ItemSuspect("job", 1)}
	for i := range minCrashes + 1 {
		table.RecordCrash(uint32(i), runsOf("bad", items[i%2]), at(float64(i)))
	}
	assert.DeepEqual(t, table.HoldSuspects(append(items, "bad"), at(4)), []string{"bad"})
}

// TestClaimAfterALostTrialIsNoTrial guards against a gateway that announces a trial which it can't start, and that others take for one in progress.
func TestClaimAfterALostTrialIsNoTrial(t *testing.T) {
	table := NewTable(start)
	table.Hold("bad", 0, at(0))
	table.Merge([]HoldState{{Suspect: "bad", Phase: Trying, Server: 3}}, func(string) uint64 { return 1 }, at(10))
	now := at(10).Add(trialTimeout)
	assert.DeepEqual(t, table.Claim([]string{"bad"}, balance.Batch, now), []string{"bad"})
	assert.Equal(t, table.States([]string{"bad"}, func(string) uint64 { return 1 }, now)[0].Phase, Claiming)
}

// TestEndSoonAfterThatOfATrialCounts guards against an innocent suspect that is judged before others have reported servers that have ended together with its own.
func TestEndSoonAfterThatOfATrialCounts(t *testing.T) {
	for _, after := range []time.Duration{0, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		for _, how := range []string{"control", "report"} {
			t.Run(fmt.Sprint(how, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTrialFixture()
					trial := f.begin(t)
					f.ended.Store("tried", true)
					time.AfterFunc(after, func() {
						if how == "control" {
							f.ended.Store("other", true)
						} else {
							f.PeerCrash(CrashReport{Server: 9, Runs: runsOf("another")})
						}
					})
					f.interrupt(trial)
					assert.Equal(t, f.failures(), 0)
				})
			})
		}
	}
}

// TestStoredFailuresReachGatewaysThatMissedTheReport guards against trials that a gateway starts too early because the outcome of another's was lost on the way.
func TestStoredFailuresReachGatewaysThatMissedTheReport(t *testing.T) {
	f := newGuardFixture(refused)
	f.PeerHeld([]string{"bad"})
	f.Apply([]keyedlog.Record{{Key: "bad", Value: holdValue(2)}})
	assert.Equal(t, f.Check([]string{"bad"}, balance.Batch).Failures, 2)
}

// TestHeldItemsThatNoRunCarriesAreForgotten guards against memory that grows with each item that was ever held.
func TestHeldItemsThatNoRunCarriesAreForgotten(t *testing.T) {
	table := NewTable(start)
	for i := range maxSuspects + 20 {
		table.Hold(ItemSuspect("job", i), 0, at(float64(i)))
	}
	assert.Assert(t, len(table.held) <= maxSuspects, "%d suspects are held", len(table.held))
}
