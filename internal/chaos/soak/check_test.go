package soak

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

var began = time.Now()

// at is a moment of an invented history.
func at(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }

// arrival is a run at backend server i0.
func arrival(id string, s float64, f platformtest.Fault) run {
	return run{platformtest.Request{ID: id, Started: f != platformtest.Full, At: at(s), Fault: f}, "i0"}
}

func answered(op Op) Record {
	return Record{Op: op, Gateway: "g0", Start: at(0), End: at(1), Status: 200, Stamp: "i0", Whole: true, Body: wanted(op)}
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

type invented struct {
	profile Profile
	history *History
	runs    []run
}

// judge judges an invented history.
func (i invented) judge() *chaos.Verdict {
	c := &checker{plan: Plan{Profile: i.profile}, history: i.history, runs: make(map[string][]run), verdict: chaos.NewVerdict(judged)}
	for _, r := range i.runs {
		c.runs[r.ID] = append(c.runs[r.ID], r)
	}
	c.judge()
	return c.verdict
}

var (
	stream = Op{Kind: Stream, ID: "s"}
	final  = Op{Kind: FinalStream, ID: "f"}
	once   = Op{Kind: UnsafeCall, ID: "u"}
)

func records(r ...Record) *History { return &History{Records: r} }

func jobs(change func(*JobRecord)) *History { return &History{Jobs: []*JobRecord{jobWith(change)}} }

func refused(op Op, status int) Record {
	return Record{Op: op, Gateway: "g0", Start: at(0), End: at(1), Status: status, Whole: true}
}

func with(r Record, change func(*Record)) Record {
	change(&r)
	return r
}

func TestCheckerAcceptsAGoodHistory(t *testing.T) {
	v := invented{
		profile: Planned, runs: []run{arrival("s", 0, platformtest.None), arrival("u", 0, platformtest.None)},
		history: &History{Records: []Record{answered(stream), answered(once)}, Jobs: []*JobRecord{jobWith(func(*JobRecord) {})}},
	}.judge()
	assert.Equal(t, len(v.Findings), 0, "%v", v.Findings)
}

// TestCheckerFinds gives the checker histories that each break one promise.
func TestCheckerFinds(t *testing.T) {
	ran := []run{arrival("s", 0, platformtest.None), arrival("f", 0, platformtest.None), arrival("u", 0, platformtest.None)}
	cases := map[string]struct {
		want chaos.Breach
		invented
	}{
		"a short stream that looks whole": {chaos.WrongResponse, invented{runs: ran, history: records(with(answered(stream), func(r *Record) {
			r.Body = r.Body[:strings.LastIndex(r.Body, "id:")]
		}))}},
		"another request's answer": {chaos.WrongResponse, invented{runs: ran, history: records(with(answered(once), func(r *Record) {
			r.Body = wanted(Op{Kind: UnsafeCall, ID: "v"})
		}))}},
		"an answer of a backend server that ran nothing": {chaos.WrongResponse, invented{runs: ran, history: records(with(answered(once), func(r *Record) {
			r.Stamp = "i1"
		}))}},
		"a call that ran twice": {chaos.Duplicate, invented{runs: append(ran, arrival("u", 1, platformtest.None)), history: records(answered(once))}},
		"a stream that ran twice and may not be resumed": {chaos.Duplicate, invented{
			runs: append(ran, arrival("f", 1, platformtest.None)), history: records(answered(final)),
		}},
		"a refusal of what ran":           {chaos.FalseNotRun, invented{runs: ran, history: records(refused(once, 503))}},
		"a route that was said not to be": {chaos.Lost, invented{history: records(refused(once, 404))}},
		"a request that a planned stop cut off": {chaos.Interrupted, invented{profile: Planned, runs: ran, history: records(with(answered(once), func(r *Record) {
			r.Whole = false
		}))}},
		"a request without an end": {chaos.Hung, invented{history: records(with(refused(once, 504), func(r *Record) { r.End = at(3.6) }))}},
		"requests that were tried too often": {chaos.AttemptLimitExceeded, invented{
			runs:    tooOften("a", "b", "c", "d"),
			history: records(refused(Op{Kind: SafeCall, ID: "a"}, 502), refused(Op{Kind: SafeCall, ID: "b"}, 502), refused(Op{Kind: SafeCall, ID: "c"}, 502), refused(Op{Kind: SafeCall, ID: "d"}, 502)),
		}},
		"work for callers that have left": {chaos.WorkAfterDisconnect, invented{profile: Mixed, runs: abandoned("a", "b", "c"), history: records(left("a"), left("b"), left("c"))}},
		"work for one that leaves": {chaos.WorkWhileDraining, invented{
			profile: Backends, runs: []run{arrival("s", drainTime.Seconds()+0.1, platformtest.None)},
			history: &History{Drains: []Interval{{What: "i0", Begin: at(0), End: at(9)}}},
		}},
		"a version that was known before": {chaos.ConfigurationBreach, invented{history: &History{Probes: []Probe{
			{Gateway: "g0", Least: 2, Known: true}, {Gateway: "g0", Least: 2},
		}}}},
		"a version that never comes": {chaos.ConfigurationBreach, invented{history: &History{Published: 3, Probes: []Probe{{Gateway: "g0", Least: 2, Known: true}}}}},
		"a process that forgot all versions in its last life": {chaos.ConfigurationBreach, invented{history: &History{Published: 2, Probes: []Probe{
			{Gateway: "g0", Boot: 1, Least: 2, Known: true}, {Gateway: "g0", Boot: 2, Least: 2},
		}}}},
		"work for callers that have left, without an end": {chaos.WorkAfterDisconnect, invented{
			profile: Mixed, history: records(left("a"), left("b"), left("c")),
			runs: []run{arrival("a", 0, platformtest.None), arrival("b", 0, platformtest.None), arrival("c", 0, platformtest.Hang)},
		}},
		"a process that ended": {chaos.Crashed, invented{history: &History{Crashes: []string{"g0"}}}},
		"a stop that hung":     {chaos.Interrupted, invented{history: &History{BadStops: []string{"g0"}}}},
		"no recovery":          {chaos.NotRecovered, invented{history: &History{Recovered: -1}}},
		"a refused job that ran": {chaos.FalseNotRun, invented{runs: []run{arrival("j-item1", 0, platformtest.None)}, history: jobs(func(j *JobRecord) {
			j.Accepted, j.Refused = time.Time{}, true
		})}},
		"a job that is not there":   {chaos.Lost, invented{history: jobs(func(j *JobRecord) { j.Missing = []string{"404"} })}},
		"a job that does not end":   {chaos.Lost, invented{history: jobs(func(j *JobRecord) { j.Final[0].Results = j.Final[0].Results[:1] })}},
		"a listing that got lost":   {chaos.Lost, invented{history: jobs(func(j *JobRecord) { j.EndAsked, j.Final = at(1), []Listing{{Gateway: "g1", Total: 2}} })}},
		"a position that changes":   {chaos.Duplicate, invented{history: jobs(func(j *JobRecord) { j.Final = []Listing{swapped(j.Final[0])} })}},
		"an item at two positions":  {chaos.Duplicate, invented{history: jobs(func(j *JobRecord) { j.Listings, j.Final = nil, []Listing{doubled(j.Final[0])} })}},
		"a text that lacks a piece": {chaos.WrongResponse, invented{history: jobs(func(j *JobRecord) { j.Final[0].Results[0].Text = "x" })}},
		"an item given up too soon": {chaos.Lost, invented{history: jobs(func(j *JobRecord) { j.Final[0].Results[0] = Result{ID: "j-item0", State: givenUp} })}},
		"a body that changed":       {chaos.WrongResponse, invented{history: jobs(func(j *JobRecord) { j.WrongBodies = []string{"x"} })}},
		"a body that got lost": {chaos.Lost, invented{
			runs:    []run{arrival("j-item0", 3, platformtest.None)},
			history: jobs(func(j *JobRecord) { j.MissingBodies = []MissingBody{{ItemID: "j-item0", At: at(2)}} }),
		}},
		"an item that runs after its job's end": {chaos.RanAfterCancel, invented{
			runs:    []run{arrival("j-item0", 5, platformtest.None)},
			history: jobs(func(j *JobRecord) { j.EndAsked, j.EndAcked = at(1), at(1) }),
		}},
		"an item that can't be done, tried again and again": {chaos.AttemptLimitExceeded, invented{
			runs: []run{
				arrival("j-item0", 0, platformtest.Unprocessable), arrival("j-item0", 1, platformtest.Unprocessable),
				arrival("j-item0", 2, platformtest.Unprocessable), arrival("j-item0", 3, platformtest.Unprocessable),
			},
			history: jobs(func(*JobRecord) {}),
		}},
	}
	found := make(map[chaos.Breach]bool)
	for name, c := range cases {
		found[c.want] = true
		t.Run(name, func(t *testing.T) {
			v := c.judge()
			assert.Assert(t, v.Count(c.want) > 0, "%v", v.Findings)
		})
	}
	for _, b := range judged {
		assert.Assert(t, found[b], "no history breaks %s", b)
	}
}

func tooOften(ids ...string) []run {
	var out []run
	for _, id := range ids {
		for i := range maxAttempts + 1 {
			out = append(out, arrival(id, float64(i), platformtest.Fail))
		}
	}
	return out
}

func left(id string) Record {
	return Record{Op: Op{Kind: Stream, ID: id, LeaveAfter: time.Second}, Gateway: "g0", Start: at(0), End: at(1), Left: true}
}

// abandoned are runs that went on for a second after their callers had left.
func abandoned(ids ...string) []run {
	var out []run
	for _, id := range ids {
		r := arrival(id, 0, platformtest.None)
		r.End = at(2)
		out = append(out, r)
	}
	return out
}

func swapped(l Listing) Listing {
	l.Results = []Result{l.Results[1], l.Results[0]}
	return l
}

func doubled(l Listing) Listing {
	l.Results = []Result{l.Results[0], l.Results[0]}
	return l
}
