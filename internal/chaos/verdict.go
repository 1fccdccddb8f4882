package chaos

import (
	"fmt"
	"io"
	"slices"

	"github.com/catkinrudder/catkinrudder/internal/standin"
)

// Observed is what the backend servers ran, by backend server.
type Observed struct {
	Generations [][]standin.Generation
	Executions  [][]standin.Execution
}

// Breach is one way in which a round broke a promise.
type Breach string

// The breaches.
const (
	// Duplicate: run or answered twice with different results.
	Duplicate Breach = "duplicate"
	// Lost: accepted and not answered, or answered and not readable.
	Lost Breach = "lost"
	// FalseNotRun: something ran for an answer that said not_run.
	FalseNotRun Breach = "false_not_run"
	// CrossRead: a workspace reached what belongs to another.
	CrossRead Breach = "cross_workspace_read"
	// WrongAnswer: an answer marked whole that is not whole or not its own.
	WrongAnswer Breach = "wrong_answer"
	// CutOff: a request that a planned stop cut off.
	CutOff Breach = "cut_off"
	// RanAfterCancel: an item started after its job's cancel counted.
	RanAfterCancel Breach = "ran_after_cancel"
	// WorkWhileLeaving: a backend server got work after it had said it leaves.
	WorkWhileLeaving Breach = "work_while_leaving"
	// Reverted: a configuration version went down, came late or was accepted
	// out of order.
	Reverted Breach = "configuration"
	// Hung: a request without any answer within its bound.
	Hung Breach = "hung"
	// Budget: tried at more backend servers than the route allows.
	Budget Breach = "budget"
	// WorkForNobody: a backend server worked on after the caller had left.
	WorkForNobody Breach = "work_for_nobody"
	// NotRecovered: requests fail although every fault has ended.
	NotRecovered Breach = "not_recovered"
	// Crashed: a process ended that nobody had ended.
	Crashed Breach = "crashed"
)

// judged are the breaches that a round on entries and sidecars looks for.
var judged = []Breach{
	Duplicate, Lost, FalseNotRun, CrossRead, WrongAnswer, CutOff, RanAfterCancel, WorkWhileLeaving, Reverted, Hung,
}

// Finding is one breach with what was seen.
type Finding struct {
	Breach Breach
	Text   string
}

// Verdict is what the checker says of one or more rounds.
type Verdict struct {
	Rounds, Requests, Answered, Unknown, NotRun, Dropped, Jobs, Items, Publications int
	// NotRounds counts the rounds that could not be run to their end.
	NotRounds int
	Faults    map[string]int
	// Judged are the breaches that were looked for.
	Judged   []Breach
	Findings []Finding
}

// NewVerdict returns a verdict over no rounds, which look for some breaches.
func NewVerdict(judged []Breach) *Verdict {
	return &Verdict{Faults: make(map[string]int), Judged: judged}
}

// Add takes another verdict in.
func (v *Verdict) Add(o *Verdict) {
	v.Judged = o.Judged
	v.Rounds += o.Rounds
	v.NotRounds += o.NotRounds
	v.Requests += o.Requests
	v.Answered += o.Answered
	v.Unknown += o.Unknown
	v.NotRun += o.NotRun
	v.Dropped += o.Dropped
	v.Jobs += o.Jobs
	v.Items += o.Items
	v.Publications += o.Publications
	for k, n := range o.Faults {
		v.Faults[k] += n
	}
	v.Findings = append(v.Findings, o.Findings...)
}

// OK reports whether every round was run to its end and nothing was broken.
func (v *Verdict) OK() bool { return len(v.Findings) == 0 && v.NotRounds == 0 }

// Count returns how often a promise was broken.
func (v *Verdict) Count(b Breach) int {
	n := 0
	for _, f := range v.Findings {
		if f.Breach == b {
			n++
		}
	}
	return n
}

// Found adds a finding.
func (v *Verdict) Found(b Breach, format string, args ...any) {
	v.Findings = append(v.Findings, Finding{b, fmt.Sprintf(format, args...)})
}

// Print writes the verdict in full.
func (v *Verdict) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "rounds %d (and %d that could not be run)  requests %d (answered %d, not_run %d, dropped by the caller %d, unknown %d)  jobs %d  items %d  publications %d\n",
		v.Rounds, v.NotRounds, v.Requests, v.Answered, v.NotRun, v.Dropped, v.Unknown, v.Jobs, v.Items, v.Publications)
	total := 0
	for _, n := range v.Faults {
		total += n
	}
	_, _ = fmt.Fprintf(w, "faults %d\n", total)
	for _, k := range sortedKeys(v.Faults) {
		_, _ = fmt.Fprintf(w, "  %-26s %d\n", k, v.Faults[k])
	}
	_, _ = fmt.Fprintln(w, "broken promises")
	for _, b := range v.Judged {
		_, _ = fmt.Fprintf(w, "  %-26s %d\n", b, v.Count(b))
	}
	if v.OK() {
		_, _ = fmt.Fprintln(w, "verdict: PASS")
		return
	}
	_, _ = fmt.Fprintln(w, "verdict: FAIL")
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
