package chaos

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// OpKind is a kind of operation of a caller or an operator.
type OpKind string

// The kinds of operations.
const (
	// ChatStream is a chat with a streamed response, ChatWhole one whose response is not
	// streamed.
	ChatStream OpKind = "chat_stream"
	ChatWhole  OpKind = "chat_whole"
	// StoredChat is a chat whose response is stored. KeyedChat is one that is sent
	// several times under one key.
	StoredChat OpKind = "stored_chat"
	KeyedChat  OpKind = "keyed_chat"
	// Get is an idempotent call to a plain service.
	Get OpKind = "get"
	// Post is a non-idempotent call without a key, sent once.
	Post OpKind = "post"
	// KeyedPost is a non-idempotent call with a key, sent several times.
	KeyedPost OpKind = "keyed_post"
	// Batch is a batch job from its upload to the reading of its results.
	Batch OpKind = "batch"
	// ConfigRace is a race of two operators who publish on the same base.
	ConfigRace OpKind = "config_race"
)

// Op is a planned operation.
type Op struct {
	// At is the start relative to the start of the workload.
	At        time.Duration
	Kind      OpKind
	ID        string
	Workspace int
	// Tokens is the length of a chat response.
	Tokens int
	// Delay is the duration of a call at the plain service.
	Delay time.Duration
	// Sends are the sends of a keyed call or chat.
	Sends []Send
	// Items is the number of items of a batch job. Poison maps the indexes of items
	// that always fail to their prompt words.
	Items  int
	Poison map[int]string
	// Calls makes the items non-idempotent calls to the plain service.
	Calls bool
	// CancelAfter cancels the job that long after its acknowledgement, if set.
	CancelAfter time.Duration
	// Strike is a fault that is injected when the operation reaches a certain point.
	Strike Strike
}

// Send is a send of a keyed call.
type Send struct {
	// After is the time of the send, relative to the start of the operation.
	After time.Duration
	// GiveUp is when the client closes the connection, zero for never.
	GiveUp time.Duration
}

// Strike is a fault that is triggered by the progress of an operation.
type Strike string

// The strikes.
const (
	NoStrike Strike = ""
	// KillEntryOnAck kills the entry that acknowledges a batch job.
	KillEntryOnAck Strike = "kill_entry_on_ack"
	// KillBackendMidStream kills a backend server during a streamed response.
	KillBackendMidStream Strike = "kill_backend_mid_stream"
	// FreezeBackendMidStream suspends a backend server during a streamed response.
	FreezeBackendMidStream Strike = "freeze_backend_mid_stream"
)

// Profile determines which faults a round may draw.
type Profile string

// The profiles.
const (
	// Mixed allows all faults.
	Mixed Profile = "mixed"
	// Planned allows graceful stops only. They must not interrupt any request.
	Planned Profile = "planned"
	// Expiring allows all faults on a log with a short retention, and checks what must
	// stay readable after the first record of each resource has expired.
	Expiring Profile = "expiring"
)

// Plan is the schedule of a round. It is a pure function of its seed.
type Plan struct {
	Seed    uint64
	Profile Profile
	Ops     []Op
	Faults  []Fault
}

// Sizes of a round.
const (
	entries          = 3
	engines          = 3
	plainServices    = 2
	workloadDuration = 3500 * time.Millisecond
	onlineOps        = 90
	jobsPerRound     = 3
	racesPerRound    = 3
	maxItems         = 40

	// One in plannedEvery seeds has the profile Planned, and one in expiringEvery of the
	// others has Expiring.
	plannedEvery  = 8
	expiringEvery = 20

	// logRetention is the retention of the log in an Expiring round.
	logRetention = 10 * time.Second
	expiryWait   = 2 * logRetention
	// strikePercent is the percentage of streamed chats that have a strike.
	strikePercent = 4
)

// NewPlan returns the plan for a seed.
func NewPlan(seed uint64) Plan {
	g := generator{NewRand(seed, 0)}
	p := Plan{Seed: seed, Profile: Mixed}
	switch {
	case seed%plannedEvery == 0:
		p.Profile = Planned
	case seed%expiringEvery == 1:
		p.Profile = Expiring
	}
	for i := range onlineOps {
		p.Ops = append(p.Ops, g.onlineOp(i, p.Profile))
	}
	for i := range jobsPerRound {
		p.Ops = append(p.Ops, g.jobOp(i, p.Profile))
	}
	for i := range racesPerRound {
		p.Ops = append(p.Ops, Op{At: g.Within(workloadDuration), Kind: ConfigRace, ID: g.ID("race", i)})
	}
	slices.SortStableFunc(p.Ops, func(a, b Op) int { return int(a.At - b.At) })
	p.Faults = g.faults(p.Profile)
	return p
}

// generator draws a plan.
type generator struct{ Rand }

func (g generator) onlineOp(i int, p Profile) Op {
	kinds := []OpKind{ChatStream, ChatStream, ChatStream, ChatWhole, StoredChat, KeyedChat, Get, Get, Post, KeyedPost, KeyedPost, KeyedPost}
	op := Op{
		At: g.Within(workloadDuration), Kind: kinds[g.IntN(len(kinds))], ID: g.ID("r", i),
		Workspace: g.IntN(len(workspaces)), Tokens: 4 + g.IntN(90), Delay: g.Within(300 * time.Millisecond),
	}
	switch {
	case op.Kind == KeyedPost || op.Kind == KeyedChat:
		op.Sends = g.sends(p)
	case op.Kind == ChatStream && p != Planned && g.Percent(strikePercent):
		op.Strike = []Strike{KillBackendMidStream, FreezeBackendMidStream}[g.IntN(2)]
	}
	return op
}

// sends draws the sends of a keyed call. Some clients close the connection, and all of
// them send again, sometimes while the first send is still running.
func (g generator) sends(p Profile) []Send {
	sends := make([]Send, 1+g.IntN(3))
	for i := range sends {
		if i > 0 {
			sends[i].After = g.Within(600 * time.Millisecond)
		}
		if p != Planned && g.Percent(30) {
			sends[i].GiveUp = g.Between(5*time.Millisecond, 300*time.Millisecond)
		}
	}
	return sends
}

func (g generator) jobOp(i int, p Profile) Op {
	op := Op{
		At: g.Within(workloadDuration / 2), Kind: Batch, ID: g.ID("b", i), Workspace: i % len(workspaces),
		Items: 5 + g.IntN(maxItems), Tokens: 4 + g.IntN(40), Poison: map[int]string{},
	}
	op.Calls = i == jobsPerRound-1
	if p == Planned {
		return op
	}
	for range g.IntN(3) {
		if item, word := g.IntN(op.Items), poisonWords[g.IntN(len(poisonWords))]; !op.Calls {
			op.Poison[item] = word
		}
	}
	if g.Percent(35) {
		op.CancelAfter = g.Within(time.Second) + time.Millisecond
	}
	if g.Percent(25) {
		op.Strike = KillEntryOnAck
	}
	return op
}

// FaultNames returns the names of the plan's faults and strikes, separated by spaces.
func (p Plan) FaultNames() string {
	var out []string
	for _, f := range p.Faults {
		out = append(out, string(f.Kind))
	}
	for _, op := range p.Ops {
		if op.Strike != NoStrike {
			out = append(out, string(op.Strike))
		}
	}
	return strings.Join(out, " ")
}

// Print writes the plan with one line for each operation and fault.
func (p Plan) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "seed %d profile %s\n", p.Seed, p.Profile)
	for _, op := range p.Ops {
		_, _ = fmt.Fprintf(w, "  %+v\n", op)
	}
	for _, f := range p.Faults {
		_, _ = fmt.Fprintf(w, "  %+v\n", f)
	}
}
