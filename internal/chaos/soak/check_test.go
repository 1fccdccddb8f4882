package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

var epoch = time.Now()

// at returns a time in a synthetic history, in seconds from its start.
func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// newArrival returns an arrival at backend server i0.
func newArrival(id string, s float64, f platformtest.Fault) arrival {
	return arrival{platformtest.Request{ID: id, Started: f != platformtest.Full, At: at(s), Fault: f}, "i0", "v1"}
}

// manyArrivals returns n arrivals at one time.
func manyArrivals(n int, s float64) []arrival {
	var out []arrival
	for i := range n {
		out = append(out, newArrival(fmt.Sprint("many", i), s, platformtest.None))
	}
	return out
}

func completeRecord(op Op) Record {
	return Record{Op: op, Gateway: "g0", Start: at(0), End: at(1), Status: 200, Backend: "i0", Complete: true, Body: wantBody(op)}
}

func jobWith(change func(*JobRecord)) *JobRecord {
	op := Op{Kind: Job, ID: "j", Items: 2, Poison: -1, Failing: -1}
	whole := Listing{Gateway: "g0", Total: 2, Results: []Result{
		{ID: itemID(op, 0), State: completed, Text: itemText(itemID(op, 0))},
		{ID: itemID(op, 1), State: completed, Text: itemText(itemID(op, 1))},
	}}
	j := &JobRecord{Op: op, Accepted: at(0), Listings: []Listing{whole}, Final: []Listing{whole}}
	change(j)
	return j
}

type syntheticHistory struct {
	profile    Profile
	workspaces bool
	history    *History
	arrivals   []arrival
}

// check checks a synthetic history.
func (s syntheticHistory) check() *chaos.Verdict {
	c := &checker{plan: Plan{Profile: s.profile, Workspaces: s.workspaces}, history: s.history, arrivals: make(map[string][]arrival), verdict: chaos.NewVerdict(checkedBreaches)}
	for _, r := range s.arrivals {
		c.arrivals[r.ID] = append(c.arrivals[r.ID], r)
	}
	c.checkAll()
	return c.verdict
}

var (
	stream      = Op{Kind: Stream, ID: "s"}
	finalStream = Op{Kind: FinalStream, ID: "f"}
	unsafeCall  = Op{Kind: UnsafeCall, ID: "u"}
)

func records(r ...Record) *History { return &History{Records: r} }

func jobs(change func(*JobRecord)) *History { return &History{Jobs: []*JobRecord{jobWith(change)}} }

func refused(op Op, status int) Record {
	return Record{Op: op, Gateway: "g0", Start: at(0), End: at(1), Status: status, Complete: true}
}

func with(r Record, change func(*Record)) Record {
	change(&r)
	return r
}

func TestCheckerAcceptsValidHistory(t *testing.T) {
	v := syntheticHistory{
		profile: Planned, arrivals: []arrival{newArrival("s", 0, platformtest.None), newArrival("u", 0, platformtest.None)},
		history: &History{Records: []Record{completeRecord(stream), completeRecord(unsafeCall)}, Jobs: []*JobRecord{jobWith(func(*JobRecord) {})}},
	}.check()
	assert.Equal(t, len(v.Findings), 0, "%v", v.Findings)
}

func TestCheckerAcceptsStreamContinuedAtItsVersion(t *testing.T) {
	v := syntheticHistory{profile: Mixed, arrivals: continued("s", "s"+resumedSuffix, "v1"), history: records(completeRecord(stream))}.check()
	assert.Equal(t, len(v.Findings), 0, "%v", v.Findings)
}

// TestCheckerCountsWorkAtADrainingServer guards against a check of drains that a fault hides from: only requests that
// were answered 421 do not count.
func TestCheckerCountsWorkAtADrainingServer(t *testing.T) {
	for fault, want := range map[platformtest.Fault]int{
		platformtest.Misdirected: 0, platformtest.None: 1, platformtest.Full: 1, platformtest.Fail: 1, platformtest.Hang: 1, platformtest.ResetAfterRun: 1,
	} {
		v := syntheticHistory{
			profile: Backends, arrivals: []arrival{newArrival("s", drainTime.Seconds()+0.1, fault)},
			history: &History{Drains: []Interval{{Target: "i0", Begin: at(0), End: at(9)}}},
		}.check()
		assert.Equal(t, v.Count(chaos.WorkWhileDraining), want, "fault %d: %v", fault, v.Findings)
	}
}

// TestCheckerFinds passes the checker histories that each violate one guarantee.
func TestCheckerFinds(t *testing.T) {
	ran := []arrival{newArrival("s", 0, platformtest.None), newArrival("f", 0, platformtest.None), newArrival("u", 0, platformtest.None)}
	cases := map[string]struct {
		want chaos.Breach
		syntheticHistory
	}{
		"truncated stream marked complete": {chaos.WrongResponse, syntheticHistory{arrivals: ran, history: records(with(completeRecord(stream), func(r *Record) {
			r.Body = r.Body[:strings.LastIndex(r.Body, "id:")]
		}))}},
		"stream with an event twice": {chaos.OutOfOrder, syntheticHistory{arrivals: ran, history: records(streamOf(false, 1, 2, 2))}},
		"response of another request": {chaos.WrongResponse, syntheticHistory{arrivals: ran, history: records(with(completeRecord(unsafeCall), func(r *Record) {
			r.Body = wantBody(Op{Kind: UnsafeCall, ID: "v"})
		}))}},
		"response of a backend server that ran nothing": {chaos.WrongResponse, syntheticHistory{arrivals: ran, history: records(with(completeRecord(unsafeCall), func(r *Record) {
			r.Backend = "i1"
		}))}},
		"call executed twice": {chaos.Duplicate, syntheticHistory{arrivals: append(ran, newArrival("u", 1, platformtest.None)), history: records(completeRecord(unsafeCall))}},
		"non-resumable stream executed twice": {chaos.Duplicate, syntheticHistory{
			arrivals: append(ran, newArrival("f", 1, platformtest.None)), history: records(completeRecord(finalStream)),
		}},
		"executed call refused":    {chaos.FalseNotRun, syntheticHistory{arrivals: ran, history: records(refused(unsafeCall, 503))}},
		"existing route not found": {chaos.Lost, syntheticHistory{history: records(refused(unsafeCall, 404))}},
		"request interrupted by a planned stop": {chaos.Interrupted, syntheticHistory{profile: Planned, arrivals: ran, history: records(with(completeRecord(unsafeCall), func(r *Record) {
			r.Complete = false
		}))}},
		"request without an end": {chaos.Hung, syntheticHistory{history: records(with(refused(unsafeCall, 504), func(r *Record) { r.End = at(3.6) }))}},
		"requests with too many attempts": {chaos.AttemptLimitExceeded, syntheticHistory{
			arrivals: tooManyAttempts("a", "b", "c", "d"),
			history:  records(refused(Op{Kind: SafeCall, ID: "a"}, 502), refused(Op{Kind: SafeCall, ID: "b"}, 502), refused(Op{Kind: SafeCall, ID: "c"}, 502), refused(Op{Kind: SafeCall, ID: "d"}, 502)),
		}},
		"more calls than the quota of their workspace": {chaos.QuotaExceeded, syntheticHistory{
			workspaces: true, arrivals: manyArrivals(12, 1.5), history: manyCalls(12),
		}},
		"another workspace's name": {chaos.WrongResponse, syntheticHistory{
			workspaces: true, arrivals: []arrival{ofWorkspace("u", forgedWorkspace, "")}, history: records(completeRecord(unsafeCall)),
		}},
		"a key at a backend server": {chaos.WrongResponse, syntheticHistory{
			workspaces: true, arrivals: []arrival{ofWorkspace("u", limitedWorkspace, key(limitedWorkspace))}, history: records(completeRecord(unsafeCall)),
		}},
		"job shown to another workspace": {chaos.WrongResponse, syntheticHistory{workspaces: true, history: jobs(func(j *JobRecord) {
			j.ShownToOthers = []string{"results"}
		})}},
		"stream continued by another version": {chaos.MixedSoftware, syntheticHistory{profile: Mixed, arrivals: continued("s", "s", "v2"), history: records(completeRecord(stream))}},
		"stream resumed by its caller at another version": {chaos.MixedSoftware, syntheticHistory{
			profile: Mixed, arrivals: continued("s", "s"+resumedSuffix, "v2"), history: records(completeRecord(stream)),
		}},
		"work after callers disconnected": {chaos.WorkAfterDisconnect, syntheticHistory{profile: Mixed, arrivals: streamsAfterDisconnect("a", "b", "c"), history: records(disconnected("a"), disconnected("b"), disconnected("c"))}},
		"work at a draining backend server": {chaos.WorkWhileDraining, syntheticHistory{
			profile: Backends, arrivals: []arrival{newArrival("s", drainTime.Seconds()+0.1, platformtest.None)},
			history: &History{Drains: []Interval{{Target: "i0", Begin: at(0), End: at(9)}}},
		}},
		"more requests than the named limit": {chaos.LimitExceeded, syntheticHistory{
			profile: Backends, arrivals: manyArrivals(12, 1.5), history: &History{Limits: []Interval{{Target: "i0", Begin: at(0), End: at(9)}}},
		}},
		"version no longer in force": {chaos.ConfigurationBreach, syntheticHistory{history: &History{Probes: []Probe{
			{Gateway: "g0", Version: 2, InForce: true}, {Gateway: "g0", Version: 2},
		}}}},
		"version never in force": {chaos.ConfigurationBreach, syntheticHistory{history: &History{Published: 3, Probes: []Probe{{Gateway: "g0", Version: 2, InForce: true}}}}},
		"no version in force after a restart": {chaos.ConfigurationBreach, syntheticHistory{history: &History{Published: 2, Probes: []Probe{
			{Gateway: "g0", Starts: 1, Version: 2, InForce: true}, {Gateway: "g0", Starts: 2, Version: 2},
		}}}},
		"unfinished work after callers disconnected": {chaos.WorkAfterDisconnect, syntheticHistory{
			profile: Mixed, history: records(disconnected("a"), disconnected("b"), disconnected("c")),
			arrivals: []arrival{newArrival("a", 0, platformtest.None), newArrival("b", 0, platformtest.None), newArrival("c", 0, platformtest.Hang)},
		}},
		"process crashed": {chaos.Crashed, syntheticHistory{history: &History{Crashes: []string{"g0"}}}},
		"stop failed":     {chaos.Interrupted, syntheticHistory{history: &History{FailedStops: []string{"g0"}}}},
		"no recovery":     {chaos.NotRecovered, syntheticHistory{history: &History{Recovered: -1}}},
		"refused job executed": {chaos.FalseNotRun, syntheticHistory{arrivals: []arrival{newArrival("j-item1", 0, platformtest.None)}, history: jobs(func(j *JobRecord) {
			j.Accepted, j.Refused = time.Time{}, true
		})}},
		"accepted job not found":                    {chaos.Lost, syntheticHistory{history: jobs(func(j *JobRecord) { j.Missing = []string{"404"} })}},
		"job without all results":                   {chaos.Lost, syntheticHistory{history: jobs(func(j *JobRecord) { j.Final[0].Results = j.Final[0].Results[:1] })}},
		"listed results missing at another gateway": {chaos.Lost, syntheticHistory{history: jobs(func(j *JobRecord) { j.EndRequested, j.Final = at(1), []Listing{{Gateway: "g1", Total: 2}} })}},
		"listed position changed":                   {chaos.Duplicate, syntheticHistory{history: jobs(func(j *JobRecord) { j.Final = []Listing{swapped(j.Final[0])} })}},
		"item at two positions":                     {chaos.Duplicate, syntheticHistory{history: jobs(func(j *JobRecord) { j.Listings, j.Final = nil, []Listing{doubled(j.Final[0])} })}},
		"incomplete item text":                      {chaos.WrongResponse, syntheticHistory{history: jobs(func(j *JobRecord) { j.Final[0].Results[0].Text = "x" })}},
		"item dead-lettered too early":              {chaos.Lost, syntheticHistory{history: jobs(func(j *JobRecord) { j.Final[0].Results[0] = Result{ID: "j-item0", State: deadLettered} })}},
		"item body changed":                         {chaos.WrongResponse, syntheticHistory{history: jobs(func(j *JobRecord) { j.WrongBodies = []string{"x"} })}},
		"item body not found": {chaos.Lost, syntheticHistory{
			arrivals: []arrival{newArrival("j-item0", 3, platformtest.None)},
			history:  jobs(func(j *JobRecord) { j.MissingBodies = []MissingBody{{ItemID: "j-item0", At: at(2)}} }),
		}},
		"item started after the end of its job": {chaos.RanAfterCancel, syntheticHistory{
			arrivals: []arrival{newArrival("j-item0", 5, platformtest.None)},
			history:  jobs(func(j *JobRecord) { j.EndRequested, j.EndAcked = at(1), at(1) }),
		}},
		"unprocessable item with too many attempts": {chaos.AttemptLimitExceeded, syntheticHistory{
			arrivals: []arrival{
				newArrival("j-item0", 0, platformtest.Unprocessable), newArrival("j-item0", 1, platformtest.Unprocessable),
				newArrival("j-item0", 2, platformtest.Unprocessable), newArrival("j-item0", 3, platformtest.Unprocessable),
			},
			history: jobs(func(*JobRecord) {}),
		}},
	}
	found := make(map[chaos.Breach]bool)
	for name, c := range cases {
		found[c.want] = true
		t.Run(name, func(t *testing.T) {
			v := c.check()
			assert.Assert(t, v.Count(c.want) > 0, "%v", v.Findings)
		})
	}
	for _, b := range checkedBreaches {
		assert.Assert(t, found[b], "no history violates %s", b)
	}
}

// manyCalls returns the history of n calls that may run once.
func manyCalls(n int) *History {
	h := &History{}
	for i := range n {
		h.Records = append(h.Records, completeRecord(Op{Kind: UnsafeCall, ID: fmt.Sprint("many", i)}))
	}
	return h
}

// ofWorkspace returns an arrival with the name of a workspace and a key.
func ofWorkspace(id, workspace, key string) arrival {
	a := newArrival(id, 0, platformtest.None)
	a.Workspace, a.Header = workspace, http.Header{"X-Api-Key": {key}}
	return a
}

func tooManyAttempts(ids ...string) []arrival {
	var out []arrival
	for _, id := range ids {
		for i := range maxAttempts + 1 {
			out = append(out, newArrival(id, float64(i), platformtest.Fail))
		}
	}
	return out
}

func disconnected(id string) Record {
	return Record{Op: Op{Kind: Stream, ID: id, LeaveAfter: time.Second}, Gateway: "g0", Start: at(0), End: at(1), Disconnected: true}
}

// streamsAfterDisconnect returns runs that ended a second after their callers disconnected.
func streamsAfterDisconnect(ids ...string) []arrival {
	var out []arrival
	for _, id := range ids {
		r := newArrival(id, 0, platformtest.None)
		r.End = at(2)
		out = append(out, r)
	}
	return out
}

// continued returns a run at version v1 that has sent five events, and one at another version that
// goes on from there.
func continued(id, next, version string) []arrival {
	first, second := newArrival(id, 0, platformtest.CutMidEvent), newArrival(next, 0.5, platformtest.None)
	first.Sent, second.ResumeAfter, second.version = 5, "5", version
	return []arrival{first, second}
}

func swapped(l Listing) Listing {
	l.Results = []Result{l.Results[1], l.Results[0]}
	return l
}

func doubled(l Listing) Listing {
	l.Results = []Result{l.Results[0], l.Results[0]}
	return l
}
