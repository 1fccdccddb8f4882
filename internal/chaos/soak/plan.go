package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
)

// OpKind is what a caller or an operator does.
type OpKind string

// The kinds of operation.
const (
	// Stream is a stream that may be resumed, FinalStream one that may not.
	Stream      OpKind = "stream"
	FinalStream OpKind = "final_stream"
	// SafeCall may run more than once, UnsafeCall at most once.
	SafeCall   OpKind = "safe_call"
	UnsafeCall OpKind = "unsafe_call"
	// Job is a batch job from its submission to its results.
	Job OpKind = "job"
	// Publish adds a route to the configuration.
	Publish OpKind = "publish"
)

// Op is one planned operation.
type Op struct {
	At   time.Duration
	Kind OpKind
	ID   string
	// Caller chooses the connection.
	Caller int
	// LeaveAfter is when the caller closes its connection, zero for never.
	LeaveAfter time.Duration
	// Items is the size of a job. Poison can never be done, Failing fails at
	// every attempt; both are positions, -1 for none.
	Items, Poison, Failing int
	// EndAfter ends the job that long after its acceptance, zero for never.
	EndAfter time.Duration
}

// Profile is the family that a round's faults come from.
type Profile string

// The profiles.
const (
	// Mixed takes any faults.
	Mixed Profile = "mixed"
	// Planned takes graceful stops, reloads and leaving backend servers only:
	// nothing may be cut off.
	Planned Profile = "planned"
	// Backends takes faults of backend servers and of the way to them only.
	Backends Profile = "backends"
)

// Plan is the schedule of one round, a pure function of its seed.
type Plan struct {
	Seed    uint64
	Profile Profile
	// Gateways is their number. Regions of many gateways read the store through
	// relays.
	Gateways int
	Ops      []Op
	Faults   []Fault
}

// Sizes of a round.
const (
	fewGateways  = 4
	manyGateways = 18
	servers      = 4
	callers      = 10
	span         = 6 * time.Second
	onlineOps    = 220
	jobsPerRound = 4
	publications = 4
	maxItems     = 30

	plannedEvery  = 5
	backendsEvery = 4
	manyEvery     = 6
)

// NewPlan returns the plan of a seed.
func NewPlan(seed uint64) Plan {
	g := generator{chaos.NewRand(seed, 1)}
	p := Plan{Seed: seed, Profile: Mixed, Gateways: fewGateways}
	switch {
	case seed%plannedEvery == 0:
		p.Profile = Planned
	case seed%backendsEvery == 1:
		p.Profile = Backends
	}
	if seed%manyEvery == 2 {
		p.Gateways = manyGateways
	}
	for i := range onlineOps {
		p.Ops = append(p.Ops, g.online(i, p.Profile))
	}
	for i := range jobsPerRound {
		p.Ops = append(p.Ops, g.job(i))
	}
	for i := range publications {
		p.Ops = append(p.Ops, Op{At: g.Within(span), Kind: Publish, ID: g.ID("config", i)})
	}
	slices.SortStableFunc(p.Ops, func(a, b Op) int { return int(a.At - b.At) })
	p.Faults = g.faults(p.Profile)
	return p
}

// generator draws a plan.
type generator struct{ chaos.Rand }

func (g generator) online(i int, p Profile) Op {
	kinds := []OpKind{Stream, Stream, FinalStream, SafeCall, UnsafeCall}
	op := Op{At: g.Within(span), Kind: kinds[g.IntN(len(kinds))], ID: g.ID("r", i), Caller: g.IntN(callers)}
	if p != Planned && g.Percent(8) {
		op.LeaveAfter = g.Between(5*time.Millisecond, 150*time.Millisecond)
	}
	return op
}

func (g generator) job(i int) Op {
	op := Op{
		At: g.Within(span * 2 / 3), Kind: Job, ID: g.ID("job", i), Caller: g.IntN(callers),
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

// FaultNames names the plan's faults in short.
func (p Plan) FaultNames() string {
	var out []string
	for _, f := range p.Faults {
		out = append(out, string(f.Kind))
	}
	return strings.Join(out, " ")
}

// Print writes the plan, one line for each operation and fault.
func (p Plan) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "seed %d profile %s, %d gateways\n", p.Seed, p.Profile, p.Gateways)
	for _, op := range p.Ops {
		_, _ = fmt.Fprintf(w, "  %+v\n", op)
	}
	for _, f := range p.Faults {
		_, _ = fmt.Fprintf(w, "  %+v\n", f)
	}
}
