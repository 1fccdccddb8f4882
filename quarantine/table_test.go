package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
)

var start = time.Unix(5000, 0)

// at returns a time long after the start of the process.
func at(s float64) time.Time {
	return start.Add(time.Minute + time.Duration(s*float64(time.Second)))
}

// runsOf returns runs with these suspects that have just begun.
func runsOf(suspects ...string) Runs {
	runs := make(Runs)
	for _, suspect := range suspects {
		runs[suspect] = 0
	}
	return runs
}

// isHeld reports whether a part is held, whether or not it may be tried.
func isHeld(t *Table, part string, now time.Time) bool {
	return t.Check([]string{part}, balance.Batch, now).Held()
}

func TestPartThatCrashesServersIsHeld(t *testing.T) {
	table := NewTable(start)
	parts := []string{"shared", "bad"}
	for i := range 3 {
		now := at(float64(i))
		assert.Equal(t, len(table.HoldSuspects(parts, now)), 0, "after %d crashes", i)
		table.RecordCrash(uint32(i), runsOf(parts...), now)
		table.RecordCompleted([]string{"shared"}, now)
	}
	assert.Assert(t, table.Suspected(parts, at(2)))
	assert.DeepEqual(t, table.HoldSuspects(parts, at(3)), []string{"bad"})
	v := table.Check(parts, balance.Batch, at(3.5))
	assert.Assert(t, v.Refuses())
	assert.Equal(t, v.Suspect, "bad")
	assert.Assert(t, !isHeld(table, "shared", at(4)))
}

func TestServersThatEndTogetherCountOnce(t *testing.T) {
	table := NewTable(start)
	for i := range 20 {
		table.RecordCrash(uint32(i), runsOf("common"), at(float64(i)*0.05))
	}
	assert.Equal(t, len(table.HoldSuspects([]string{"common"}, at(1))), 1, "a second of crashes is no single moment")

	table = NewTable(start)
	for i := range 20 {
		table.RecordCrash(uint32(i), runsOf("common"), at(float64(i)*0.01))
	}
	assert.Equal(t, len(table.HoldSuspects([]string{"common"}, at(1))), 0)
}

func TestReportsOfSeveralGatewaysOnOneServerCountOnce(t *testing.T) {
	table := NewTable(start)
	for i := range 20 {
		table.RecordCrash(uint32(i%2), runsOf("part"), at(float64(i)*0.07))
	}
	assert.Equal(t, len(table.HoldSuspects([]string{"part"}, at(2))), 0)
	table.RecordCrash(0, runsOf("part"), at(5))
	assert.Equal(t, len(table.HoldSuspects([]string{"part"}, at(5))), 1, "the server has started again and has ended again")
}

func TestCompletedRunClearsItsParts(t *testing.T) {
	table := NewTable(start)
	crash := func(from, n int) {
		for i := range n {
			table.RecordCrash(uint32(from+i), runsOf("part"), at(float64(from+i)))
		}
	}
	crash(0, 2)
	table.RecordCompleted([]string{"part"}, at(2))
	assert.DeepEqual(t, table.Completed([]string{"other", "part"}, at(2)), []string{"part"})
	crash(3, 5)
	assert.Equal(t, len(table.HoldSuspects([]string{"part"}, at(9))), 0, "a run has completed a short time ago")
	later := 3 * completionMemory.Seconds()
	crash(int(later), 1)
	assert.Equal(t, len(table.HoldSuspects([]string{"part"}, at(later+1))), 1)
}

func TestProcessThatHasJustStartedHoldsNothingByItself(t *testing.T) {
	table := NewTable(start)
	for i := range 5 {
		table.RecordCrash(uint32(i), runsOf("part"), start.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, len(table.HoldSuspects([]string{"part"}, start.Add(minObservation-1))), 0)
	assert.Equal(t, len(table.HoldSuspects([]string{"part"}, start.Add(minObservation))), 1)
	assert.Assert(t, table.Hold("of another gateway", 0, start))
	assert.Assert(t, !table.Hold("of another gateway", 0, start))
}

// TestGuiltySuspectIsTriedLessAndLessOften guards against trials that end one server after the other.
func TestGuiltySuspectIsTriedLessAndLessOften(t *testing.T) {
	const step = 100 * time.Millisecond
	for suspect, limits := range map[string]map[time.Duration]int{
		"part": {time.Second - step: 0, 10 * time.Second: 1, time.Minute: 2, 7 * time.Minute: 3, time.Hour: 5, 24 * time.Hour: 28},
		guilty: {30*time.Second - step: 0, time.Minute: 1, 5 * time.Minute: 1, 30 * time.Minute: 2, 24 * time.Hour: 26},
	} {
		table := NewTable(start)
		table.Hold(suspect, 0, at(0))
		trials := make(map[time.Duration]int)
		n := 0
		for d := time.Duration(0); d <= 24*time.Hour; d += step {
			now := at(0).Add(d)
			table.Claim([]string{suspect}, balance.Batch, now)
			if tried, ok := table.StartTrial([]string{suspect}, balance.Batch, 1, now); ok {
				assert.DeepEqual(t, tried, []string{suspect})
				n++
				_, again := table.StartTrial([]string{suspect}, balance.Batch, 1, now.Add(step/2))
				assert.Assert(t, !again, "one at a time")
				table.RecordCrash(uint32(n), runsOf(suspect), now.Add(step/2))
				table.EndTrial(tried, TrialFailed, now.Add(step/2))
			}
			if _, listed := limits[d]; listed {
				trials[d] = n
			}
		}
		for d, limit := range limits {
			assert.Assert(t, trials[d] <= limit, "%s: %d trials in %v", suspect, trials[d], d)
		}
		assert.Assert(t, n >= 3, "%s: it is tried again, since it may be innocent", suspect)
		released, _ := table.RecordCompleted([]string{suspect}, at(0))
		assert.DeepEqual(t, released, []string{suspect})
		assert.Assert(t, !isHeld(table, suspect, at(0)))
		assert.Assert(t, !table.Release(suspect))
	}
}

func TestMemoryOfPartsIsBounded(t *testing.T) {
	table := NewTable(start)
	for i := range 3 * maxSuspects {
		table.RecordCrash(1, runsOf(fmt.Sprint(i)), at(0))
		table.RecordCompleted([]string{fmt.Sprint("c", i)}, at(0))
	}
	assert.Assert(t, table.parts.crashes.Len() <= maxSuspects)
	assert.Assert(t, table.parts.completed.Len() <= maxSuspects)
}

// TestOneEndOfManyServersCountsOnce guards against gateways that add up what each of them has counted: servers that
// end together have one cause, whichever of them a gateway notices first.
func TestOneEndOfManyServersCountsOnce(t *testing.T) {
	for _, suspect := range []string{"part", content} {
		var gateways []*Table
		for range 4 {
			gateways = append(gateways, NewTable(start))
		}
		for moment := range 2 {
			var reports []CrashReport
			for i, g := range gateways {
				noticed := after(time.Duration(moment)*8*time.Second + time.Duration(i)*10*time.Millisecond)
				runs := Runs{suspect: 2 * time.Second}
				g.RecordCrash(uint32(10*moment+i), runs, noticed)
				reports = append(reports, CrashReport{Server: uint32(10*moment + i), Runs: runs, Counted: g.Counted([]string{suspect}, noticed)})
			}
			for _, g := range gateways {
				for _, r := range reports {
					g.RecordReport(r, after(time.Duration(moment)*8*time.Second+50*time.Millisecond))
				}
			}
		}
		for _, g := range gateways {
			assert.Equal(t, len(g.HoldSuspects([]string{suspect}, after(time.Minute/2))), 0, suspect)
			assert.Equal(t, len(g.Counted([]string{suspect}, after(time.Minute/2))[suspect]), 2, suspect)
		}
	}
}

// TestServersThatEndApartCountAtEveryGateway guards against evidence that is lost as gateways exchange it.
func TestServersThatEndApartCountAtEveryGateway(t *testing.T) {
	var gateways []*Table
	for range minCrashes {
		gateways = append(gateways, NewTable(start))
	}
	for i, g := range gateways {
		at := after(time.Duration(i) * time.Second)
		g.RecordCrash(uint32(i), runsOf("bad"), at)
		r := CrashReport{Server: uint32(i), Runs: runsOf("bad"), Counted: g.Counted([]string{"bad"}, at)}
		for _, other := range gateways {
			if other != g {
				other.RecordReport(r, at.Add(40*time.Millisecond))
			}
		}
	}
	for _, g := range gateways {
		assert.DeepEqual(t, g.HoldSuspects([]string{"bad"}, after(4*time.Second)), []string{"bad"})
	}
}

// TestLossOfAWholeServiceProvesNothingAgainstAPart guards against a part that is held because its runs were among
// those that several losses of many servers at once have broken off.
func TestLossOfAWholeServiceProvesNothingAgainstAPart(t *testing.T) {
	table := NewTable(start)
	lose := func(at time.Time, moment, servers, under int) {
		for i := range servers {
			runs := runsOf(fmt.Sprint("other", moment, i))
			if i < under {
				runs["part"] = 0
			}
			table.RecordCrash(uint32(100*moment+i), runs, at.Add(time.Duration(i)*10*time.Millisecond))
		}
	}
	for moment := range 3 {
		lose(after(time.Duration(moment)*8*time.Second), moment, 9, 3)
	}
	assert.Equal(t, len(table.HoldSuspects([]string{"part"}, after(17*time.Second))), 0)
	assert.Assert(t, !table.Suspected([]string{"part"}, after(17*time.Second)))
	for moment := range 3 { // it ends servers after all
		lose(after(time.Duration(20+moment)*time.Second), 10+moment, 1, 1)
	}
	assert.DeepEqual(t, table.HoldSuspects([]string{"part"}, after(23*time.Second)), []string{"part"})
}

// TestPartThatEndsManyServersAtOnceIsHeld guards against a part that most requests share and that passes for a loss
// of many servers: each of them has run it.
func TestPartThatEndsManyServersAtOnceIsHeld(t *testing.T) {
	table := NewTable(start)
	for moment := range 3 {
		for i := range 6 {
			table.RecordCrash(uint32(100*moment+i), runsOf("bad", fmt.Sprint("other", moment, i)), after(time.Duration(moment)*time.Second))
		}
	}
	assert.DeepEqual(t, table.HoldSuspects([]string{"bad"}, after(3*time.Second)), []string{"bad"})
}
