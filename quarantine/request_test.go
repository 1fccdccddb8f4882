package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
)

// guilty and innocent are identities of requests of one caller, and content that of the guilty one
// whoever sends it.
const (
	guilty   = callerPrefix + "guilty"
	innocent = callerPrefix + "innocent"
	content  = requestPrefix + "guilty"
)

// after returns a time well after the start of the process of the tables under test.
func after(d time.Duration) time.Time { return at(60).Add(d) }

func TestRequestIsHeldAsSoonAsItIsProved(t *testing.T) {
	table := NewTable(start)
	for i := range minCrashes {
		assert.Assert(t, !isHeld(table, guilty, after(0)))
		// The crashes are hours apart in all, but less than the time for which they count.
		table.RecordCrash(uint32(i), runsOf(guilty), after(time.Duration(i)*requestEvidenceTime/3))
	}
	now := after(requestEvidenceTime)
	assert.Assert(t, isHeld(table, guilty, now), "before the gateways agree")
	assert.DeepEqual(t, table.HoldSuspects([]string{guilty}, now), []string{guilty})
	assert.Assert(t, table.Check([]string{guilty}, balance.Online, now.Add(requestBackoff.first-time.Millisecond)).Refuses())
	assert.Assert(t, table.Check([]string{guilty}, balance.Online, now.Add(requestBackoff.first)).Step == Announce, "one is tried after the delay")
}

func TestPartIsNotHeldBeforeTheOthersCouldObject(t *testing.T) {
	table := NewTable(start)
	for i := range minCrashes {
		table.RecordCrash(uint32(i), runsOf("part"), after(time.Duration(i)*time.Second))
	}
	assert.Assert(t, !isHeld(table, "part", after(3*time.Second)))
}

// TestRepeatedPollIsClearedByItsNextCompletion covers servers that end for other reasons under a
// poll that completes in between, also at other gateways.
func TestRepeatedPollIsClearedByItsNextCompletion(t *testing.T) {
	table := NewTable(start)
	for i := range 20 {
		now := after(time.Duration(i) * time.Minute)
		table.RecordCrash(uint32(i), runsOf(innocent), now)
		_, cleared := table.RecordCompleted([]string{innocent}, now.Add(time.Second))
		assert.DeepEqual(t, cleared, []string{innocent}) // the other gateways learn it
		assert.Assert(t, !isHeld(table, innocent, now.Add(2*time.Second)))
	}
	_, cleared := table.RecordCompleted([]string{innocent}, after(time.Hour))
	assert.Equal(t, len(cleared), 0)
}

// TestCrashesOfAHeldRequestCountAgainstNoOther covers requests that ran at the servers that another
// request has ended.
func TestCrashesOfAHeldRequestCountAgainstNoOther(t *testing.T) {
	table := NewTable(start)
	for i := range minCrashes {
		suspects := []string{guilty, fmt.Sprint(callerPrefix, i)}
		if i < minCrashes-1 {
			suspects = append(suspects, innocent, "part")
		}
		table.RecordCrash(uint32(i), runsOf(suspects...), after(time.Duration(i)*time.Second))
	}
	assert.DeepEqual(t, table.HoldSuspects([]string{guilty, innocent, "part"}, after(3*time.Second)), []string{guilty})
	table.RecordCrash(9, runsOf(innocent, "part"), after(4*time.Second))
	assert.Assert(t, !isHeld(table, innocent, after(5*time.Second)))
	assert.Equal(t, len(table.HoldSuspects([]string{innocent, "part"}, after(5*time.Second))), 0)
}

// TestServersThatEndTogetherCondemnNoRequest covers copies of one request at several servers that are
// lost with their rack, and are noticed one after the other.
func TestServersThatEndTogetherCondemnNoRequest(t *testing.T) {
	table := NewTable(start)
	for i := range 5 {
		noticed := time.Duration(i) * 50 * time.Millisecond
		table.RecordCrash(uint32(i), Runs{innocent: noticed + time.Second}, after(noticed))
	}
	assert.Assert(t, !isHeld(table, innocent, after(time.Second)))
	assert.Assert(t, !table.Suspected([]string{innocent}, after(time.Second)), "it may be sent again")
}

func TestRetryThatEndsItsServerTooIsEvidence(t *testing.T) {
	table := NewTable(start)
	table.RecordCrash(1, Runs{guilty: 40 * time.Millisecond}, after(0))
	assert.Assert(t, !table.Suspected([]string{guilty}, after(0)), "its first retry is allowed")
	table.RecordCrash(2, Runs{guilty: 10 * time.Millisecond}, after(20*time.Millisecond))
	assert.Assert(t, table.Suspected([]string{guilty}, after(20*time.Millisecond)))
}

func TestRequestsAndPartsDoNotDisplaceEachOther(t *testing.T) {
	table := NewTable(start)
	table.RecordCompleted([]string{"part"}, at(0))
	for i := range 3 * maxSuspects {
		table.RecordCompleted([]string{fmt.Sprint(callerPrefix, i)}, at(0))
	}
	assert.DeepEqual(t, table.Completed([]string{"part"}, at(1)), []string{"part"})
}

func TestRequestOfOneCallerIsNotHeldForOthers(t *testing.T) {
	table := NewTable(start)
	for i := range minCrashes {
		table.RecordCrash(uint32(i), runsOf(guilty, content), after(time.Duration(i)*time.Second))
	}
	now := after(minCrashes * time.Second)
	assert.Assert(t, !isHeld(table, content, now))
	assert.DeepEqual(t, table.HoldSuspects([]string{content, guilty}, now), []string{guilty})
	for i := range minCrashes { // runs that were in flight
		table.RecordCrash(uint32(10+i), runsOf(guilty, content), now.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, len(table.HoldSuspects([]string{content}, now.Add(time.Minute))), 0)

	another := callerPrefix + "another"
	table.RecordCrash(20, runsOf(another, content), now.Add(2*time.Minute))
	assert.DeepEqual(t, table.HoldSuspects([]string{another, content}, now.Add(2*time.Minute)), []string{content})
}

func TestRequestOfSeveralCallersIsHeldForAll(t *testing.T) {
	table := NewTable(start)
	for i := range minCrashes {
		table.RecordCrash(uint32(i), runsOf(fmt.Sprint(callerPrefix, i), content), after(time.Duration(i)*time.Second))
	}
	assert.DeepEqual(t, table.HoldSuspects([]string{content, callerPrefix + "2"}, after(time.Minute)), []string{content})
	assert.Assert(t, isHeld(table, content, after(time.Minute)))
}

// TestDelayedReportsAreCountedInTheirOrder covers two servers that end one after the other under a
// request at one gateway, whose first report reaches another gateway as late as the second one. The
// second run then seems to have begun before the first server ended.
func TestDelayedReportsAreCountedInTheirOrder(t *testing.T) {
	reporter, other := NewTable(start), NewTable(start)
	var reports []CrashReport
	for i := range 2 {
		now := after(time.Duration(i) * 25 * time.Millisecond)
		runs := Runs{guilty: 20 * time.Millisecond}
		reporter.RecordCrash(uint32(i), runs, now)
		reports = append(reports, CrashReport{Server: uint32(i), Runs: runs, Counted: reporter.Counted(runs.Suspects(), now)})
	}
	for _, r := range reports {
		other.RecordReport(r, after(100*time.Millisecond))
	}
	other.RecordCrash(2, Runs{guilty: 10 * time.Millisecond}, after(time.Second))
	assert.Assert(t, isHeld(other, guilty, after(time.Second)))
}

// TestReportsOfAnInnocentRequestAddNothing covers a report that was sent before the sender learned of
// a complete run.
func TestReportsOfAnInnocentRequestAddNothing(t *testing.T) {
	table := NewTable(start)
	table.RecordCompleted([]string{innocent}, after(0))
	table.RecordReport(CrashReport{Server: 3, Runs: runsOf(innocent), Counted: map[string][]CountedCrash{innocent: {{Server: 1, Age: 2 * time.Second}, {Server: 2, Age: time.Second}, {Server: 3}}}}, after(time.Second))
	assert.Assert(t, !isHeld(table, innocent, after(2*time.Second)))
}
