package chaos

import (
	"fmt"
	"io"
	"slices"

	"github.com/catkinrudder/catkinrudder/internal/standin"
)

// BackendHistory is what the backend servers ran, by backend server.
type BackendHistory struct {
	Generations [][]standin.Generation
	Executions  [][]standin.Execution
}

// Breach is a way in which a round violated a guarantee.
type Breach string

// The breaches.
const (
	// Duplicate: a call or item ran twice or has two different results.
	Duplicate Breach = "duplicate"
	// Lost: accepted work has no result, or an acknowledged result can't be read.
	Lost Breach = "lost"
	// FalseNotRun: a response said not_run, but something ran.
	FalseNotRun Breach = "false_not_run"
	// CrossWorkspaceRead: a workspace accessed a resource of another one.
	CrossWorkspaceRead Breach = "cross_workspace_read"
	// WrongResponse: a response marked complete is incomplete or belongs to another request.
	WrongResponse Breach = "wrong_answer"
	// Interrupted: a planned stop interrupted a request.
	Interrupted Breach = "cut_off"
	// RanAfterCancel: an item started after the cancel of its job had taken effect.
	RanAfterCancel Breach = "ran_after_cancel"
	// WorkWhileDraining: a backend server received work after its drain notice.
	WorkWhileDraining Breach = "work_while_leaving"
	// ConfigurationBreach: a configuration version decreased, came into force late or
	// was accepted out of order.
	ConfigurationBreach Breach = "configuration"
	// Hung: a request got no response within its bound.
	Hung Breach = "hung"
	// AttemptLimitExceeded: a request ran at more backend servers than its route allows.
	AttemptLimitExceeded Breach = "budget"
	// WorkAfterDisconnect: a backend server continued after the caller disconnected.
	WorkAfterDisconnect Breach = "work_for_nobody"
	// MixedSoftware: an output was continued by another software version than the one that
	// had written it.
	MixedSoftware Breach = "mixed_software"
	// LimitExceeded: a backend server got more requests than the limit that it named allows.
	LimitExceeded Breach = "limit_exceeded"
	// QuotaExceeded: more requests of a workspace ran than its quota allows.
	QuotaExceeded Breach = "quota_exceeded"
	// OutOfOrder: a stream or the text of an item lacks an event, has one twice or a foreign one, or
	// ends as complete before its last event.
	OutOfOrder Breach = "out_of_order"
	// NotRecovered: requests still fail although every fault has ended.
	NotRecovered Breach = "not_recovered"
	// Crashed: a process exited that was neither stopped nor killed.
	Crashed Breach = "crashed"
)

// checkedBreaches are the breaches that a round on entries and sidecars checks for.
var checkedBreaches = []Breach{
	Duplicate, Lost, FalseNotRun, CrossWorkspaceRead, WrongResponse, Interrupted, RanAfterCancel, WorkWhileDraining, ConfigurationBreach, Hung,
}

// Finding is an observed breach.
type Finding struct {
	Breach Breach
	Text   string
}

// Verdict is the result of checking one or more rounds.
type Verdict struct {
	// Requests is the number of online requests. Answered of them got a complete response,
	// NotRun a refusal that promises that nothing ran, Dropped were closed by the caller,
	// and Unknown ended otherwise. Items are those of the Jobs. Publications are the
	// configurations that operators published or tried to publish.
	Rounds, Requests, Answered, Unknown, NotRun, Dropped, Jobs, Items, Publications int
	// AbortedRounds is the number of rounds that could not be run to their end.
	AbortedRounds int
	Faults        map[string]int
	// Checked are the breaches that were checked for.
	Checked  []Breach
	Findings []Finding
}

// NewVerdict returns a verdict over no rounds. checked lists the breaches checked for.
func NewVerdict(checked []Breach) *Verdict {
	return &Verdict{Faults: make(map[string]int), Checked: checked}
}

// Merge adds the counts and findings of another verdict.
func (v *Verdict) Merge(o *Verdict) {
	v.Checked = o.Checked
	v.Rounds += o.Rounds
	v.AbortedRounds += o.AbortedRounds
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

// OK reports whether every round ran to its end without a finding.
func (v *Verdict) OK() bool { return len(v.Findings) == 0 && v.AbortedRounds == 0 }

// Count returns the number of findings of a breach.
func (v *Verdict) Count(b Breach) int {
	n := 0
	for _, f := range v.Findings {
		if f.Breach == b {
			n++
		}
	}
	return n
}

// AddFinding adds a finding.
func (v *Verdict) AddFinding(b Breach, format string, args ...any) {
	v.Findings = append(v.Findings, Finding{b, fmt.Sprintf(format, args...)})
}

// Print writes the verdict with all counts.
func (v *Verdict) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "rounds %d (and %d that could not be run)  requests %d (answered %d, not_run %d, dropped by the caller %d, unknown %d)  jobs %d  items %d  publications %d\n",
		v.Rounds, v.AbortedRounds, v.Requests, v.Answered, v.NotRun, v.Dropped, v.Unknown, v.Jobs, v.Items, v.Publications)
	total := 0
	for _, n := range v.Faults {
		total += n
	}
	_, _ = fmt.Fprintf(w, "faults %d\n", total)
	for _, k := range sortedKeys(v.Faults) {
		_, _ = fmt.Fprintf(w, "  %-26s %d\n", k, v.Faults[k])
	}
	_, _ = fmt.Fprintln(w, "breaches by kind")
	for _, b := range v.Checked {
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
