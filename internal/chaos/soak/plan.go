package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
)

// OpKind is a kind of operation of a caller or an operator.
type OpKind string

// The kinds of operations.
const (
	// Stream is a resumable stream, FinalStream a stream that can't be resumed.
	Stream      OpKind = "stream"
	FinalStream OpKind = "final_stream"
	// SafeCall may run more than once, UnsafeCall at most once.
	SafeCall   OpKind = "safe_call"
	UnsafeCall OpKind = "unsafe_call"
	// Job is a batch job from its submission to the reading of its results.
	Job OpKind = "job"
	// Publish adds a route to the configuration.
	Publish OpKind = "publish"
)

// Op is a planned operation.
type Op struct {
	// At is the start relative to the start of the workload.
	At   time.Duration
	Kind OpKind
	ID   string
	// Caller is the index of the caller, whose connections are used.
	Caller int
	// Resumes is the id of the interrupted stream that the operation resumes after event
	// ResumeAfter; empty for a new request. A plan holds no such operations.
	Resumes     string
	ResumeAfter int
	// LeaveAfter is when the caller closes its connection, zero for never.
	LeaveAfter time.Duration
	// Items is the number of items of a job. For the item at index Poison, backend servers
	// return status 422 (unprocessable), for the one at Failing always status 500; an index
	// of -1 means none.
	Items, Poison, Failing int
	// EndAfter ends the job that long after its acceptance, zero for never.
	EndAfter time.Duration
}

// Profile determines which faults a round may draw.
type Profile string

// The profiles.
const (
	// Mixed allows all faults.
	Mixed Profile = "mixed"
	// Planned allows only graceful stops, reloads and drains of backend servers. They
	// must not interrupt any request.
	Planned Profile = "planned"
	// Backends allows only faults of backend servers and of the links to them.
	Backends Profile = "backends"
)

// Plan is the schedule of a round. It is a pure function of its seed.
type Plan struct {
	Seed    uint64
	Profile Profile
	// Gateways is the number of gateways. In regions with many gateways, they read the
	// store through relays.
	Gateways int
	// Workspaces states that callers identify themselves by keys.
	Workspaces bool
	// Closes states which servers end their responses by closing the connection.
	Closes []bool
	Ops    []Op
	Faults []Fault
}

// Sizes of a round.
const (
	fewGateways      = 4
	manyGateways     = 18
	servers          = 4
	callers          = 10
	workloadDuration = 6 * time.Second
	onlineOps        = 220
	jobsPerRound     = 4
	publications     = 4
	maxItems         = 30

	// One in plannedEvery seeds has the profile Planned, and one in backendsEvery of the
	// others has Backends. One in manyEvery seeds has manyGateways gateways.
	plannedEvery  = 5
	backendsEvery = 4
	manyEvery     = 6
)

// NewPlan returns the plan for a seed.
func NewPlan(seed uint64) Plan {
	g := generator{chaos.NewRand(seed, 1)}
	p := Plan{Seed: seed, Profile: Mixed, Gateways: fewGateways}
	switch {
	case seed%plannedEvery == 0:
		p.Profile = Planned
	case seed%backendsEvery == 1:
		p.Profile = Backends
	}
	p.Workspaces = seed%workspacesEvery == 0
	if seed%manyEvery == 2 {
		p.Gateways = manyGateways
	}
	for i := range onlineOps {
		p.Ops = append(p.Ops, g.onlineOp(i, p.Profile))
	}
	for i := range jobsPerRound {
		p.Ops = append(p.Ops, g.jobOp(i))
	}
	for i := range publications {
		p.Ops = append(p.Ops, Op{At: g.Within(workloadDuration), Kind: Publish, ID: g.ID("config", i)})
	}
	slices.SortStableFunc(p.Ops, func(a, b Op) int { return int(a.At - b.At) })
	p.Faults = g.faults(p.Profile)
	if p.Profile != Planned {
		// Drawn separately, so that the rest of the plan of a seed stays the same.
		p.Faults = append(p.Faults, generator{chaos.NewRand(seed, 2)}.lateRefusals()...)
		p.Faults = append(p.Faults, generator{chaos.NewRand(seed, 3)}.limits()...)
		p.drawRestarts()
		p.drawHandovers()
		p.drawLapses()
	}
	return p
}

// generator draws a plan.
type generator struct{ chaos.Rand }

func (g generator) onlineOp(i int, p Profile) Op {
	kinds := []OpKind{Stream, Stream, FinalStream, SafeCall, UnsafeCall}
	op := Op{At: g.Within(workloadDuration), Kind: kinds[g.IntN(len(kinds))], ID: g.ID("r", i), Caller: g.IntN(callers)}
	if p != Planned && g.Percent(8) {
		op.LeaveAfter = g.Between(5*time.Millisecond, 150*time.Millisecond)
	}
	return op
}

func (g generator) jobOp(i int) Op {
	op := Op{
		At: g.Within(workloadDuration * 2 / 3), Kind: Job, ID: g.ID("job", i), Caller: g.IntN(callers),
		Items: 1 + g.IntN(maxItems), Poison: -1, Failing: -1,
	}
	if g.Percent(30) {
		op.Poison = g.IntN(op.Items)
	}
	if g.Percent(30) {
		op.Failing = g.IntN(op.Items)
	}
	if op.Failing == op.Poison {
		op.Failing = -1
	}
	if g.Percent(30) {
		op.EndAfter = g.Between(time.Millisecond, 1500*time.Millisecond)
	}
	return op
}

// FaultNames returns the names of the plan's faults, separated by spaces.
func (p Plan) FaultNames() string {
	var out []string
	for _, f := range p.Faults {
		out = append(out, string(f.Kind))
	}
	return strings.Join(out, " ")
}

// Print writes the plan with one line for each operation and fault.
func (p Plan) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "seed %d profile %s, %d gateways, workspaces %t\n", p.Seed, p.Profile, p.Gateways, p.Workspaces)
	for _, op := range p.Ops {
		_, _ = fmt.Fprintf(w, "  %+v\n", op)
	}
	for _, f := range p.Faults {
		_, _ = fmt.Fprintf(w, "  %+v\n", f)
	}
}
