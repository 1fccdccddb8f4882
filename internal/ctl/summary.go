package ctl

import (
	"bufio"
	"cmp"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/quota"
)

// cause is why a request was not answered.
type cause string

// The causes.
const (
	// causeProcessLost: the process ended without a stop while it served the request.
	causeProcessLost cause = "process lost"
	// causeProcessStopped: the process was stopped and ended before the request did.
	causeProcessStopped cause = "process stopped"
	// causeBrokenOff: a backend server broke off or failed the request, which may be
	// repeated; causeOnlyRunBrokenOff is the same for the only permitted run of a request.
	causeBrokenOff        cause = "backend server failed"
	causeOnlyRunBrokenOff cause = "backend server failed the only permitted run"
	// causeSilent: no answer of the backend server until the deadline.
	causeSilent cause = "backend server did not answer in time"
	// causeNoSlot: no backend server had a free slot in time.
	causeNoSlot  cause = "no free slot"
	causeNoStore cause = "store unavailable"
	// causeQuota: the workspace had used up its quota; causeNoQuotaOwner: the gateway that hands
	// out its permits did not answer.
	causeQuota        cause = "beyond the quota of the workspace"
	causeNoQuotaOwner cause = "no permit, owner did not answer"
	// causeCallerLeft: the caller closed its connection.
	causeCallerLeft cause = "caller left"
	// causeNoKey: the configuration does not hold the key of the caller; causeNoJob: the caller's
	// workspace has no such batch job.
	causeNoKey cause = "no key of a workspace"
	causeNoJob cause = "no such batch job"
	causeOther cause = "other"
	// causeRunning: the logs end before the request does.
	causeRunning cause = "still running"
)

// avoidable states whether a better decision of this software could have served a request.
type avoidable string

// The verdicts. The answer is "maybe" where the logs can't tell.
const (
	avoidableNo    avoidable = "no"
	avoidableMaybe avoidable = "maybe"
	notOwed        avoidable = "not owed"
)

var verdicts = map[cause]avoidable{
	causeProcessLost: avoidableNo, causeProcessStopped: avoidableMaybe,
	causeOnlyRunBrokenOff: avoidableNo, causeBrokenOff: avoidableMaybe, causeSilent: avoidableMaybe,
	causeNoSlot: avoidableMaybe, causeNoStore: avoidableNo, causeCallerLeft: notOwed, causeNoKey: notOwed, causeNoJob: notOwed,
	causeQuota: notOwed, causeNoQuotaOwner: avoidableMaybe,
	causeOther: avoidableMaybe, causeRunning: notOwed,
}

// summaryRow counts the requests that ended for one cause with one kind of answer.
type summaryRow struct {
	Cause cause `json:"cause"`
	// Kind is the error kind of the answer, empty if the caller got none.
	Kind      string    `json:"kind,omitempty"`
	Avoidable avoidable `json:"avoidable"`
	Requests  int       `json:"requests"`
	// Example is the id of one of the requests.
	Example string `json:"example"`
}

// summary counts the requests in the logs of a set of processes.
type summary struct {
	Requests int          `json:"requests"`
	Answered int          `json:"answered"`
	Rows     []summaryRow `json:"unanswered"`
}

// requestAt identifies an attempt of a caller at one process. Repeated attempts at several
// processes may share an id.
type requestAt struct{ id, node string }

// requestEnd is the last known state of a request.
type requestEnd struct {
	last  logLine
	ended bool
}

// summarize counts the requests by how they ended. If ids is not nil, it counts only those
// of these requests.
func summarize(lines []logLine, ids map[string]bool) summary {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	ends := make(map[requestAt]*requestEnd)
	var order []requestAt
	starts, stops := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, l := range lines {
		switch l.msg {
		case "started":
			starts[l.node] = append(starts[l.node], l.at)
		case "draining":
			stops[l.node] = append(stops[l.node], l.at)
		case "request_routed", "request_retried", "request_done", "request_refused":
			key := requestAt{l.fields["request"], l.node}
			if key.id == "" || ids != nil && !ids[key.id] {
				continue
			}
			e := ends[key]
			if e == nil {
				e = &requestEnd{}
				ends[key] = e
				order = append(order, key)
			}
			e.last, e.ended = l, l.msg == "request_done" || l.msg == "request_refused"
		}
	}
	out := summary{Requests: len(order)}
	rows := make(map[summaryRow]*summaryRow)
	for _, key := range order {
		e := ends[key]
		if e.last.msg == "request_done" {
			out.Answered++
			continue
		}
		row := summaryRow{Cause: e.cause(starts[key.node], stops[key.node]), Kind: e.last.fields["kind"]}
		row.Avoidable = verdicts[row.Cause]
		counted := rows[row]
		if counted == nil {
			counted = &summaryRow{row.Cause, row.Kind, row.Avoidable, 0, key.id}
			rows[row] = counted
		}
		counted.Requests++
	}
	for _, row := range rows {
		out.Rows = append(out.Rows, *row)
	}
	slices.SortFunc(out.Rows, func(a, b summaryRow) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// cause returns why the request was not answered, given when its process was started and
// stopped.
func (e *requestEnd) cause(starts, stops []time.Time) cause {
	if !e.ended {
		return unendedCause(e.last.at, starts, stops)
	}
	f := e.last.fields
	switch {
	case f["kind"] == string(errkind.Cancelled), strings.Contains(f["cause"], string(errkind.Cancelled)+":"):
		return causeCallerLeft
	case f["kind"] == string(errkind.Overloaded), f["kind"] == string(errkind.DeadlineTooShort), f["kind"] == string(errkind.NoBackend):
		return causeNoSlot
	case f["kind"] == string(errkind.RateLimited) && strings.Contains(f["cause"], "by "+string(quota.ByMargin)):
		return causeNoQuotaOwner
	case f["kind"] == string(errkind.RateLimited):
		return causeQuota
	case f["kind"] == string(errkind.LogUnavailable):
		return causeNoStore
	case f["kind"] == string(errkind.Unauthorized):
		return causeNoKey
	case f["kind"] == string(errkind.NotFound):
		return causeNoJob
	case f["kind"] == string(errkind.Timeout):
		return causeSilent
	case f["repeatable"] == "false" && strings.Contains(f["cause"], string(errkind.BackendFailed)+":"):
		return causeOnlyRunBrokenOff
	case strings.Contains(f["cause"], string(errkind.BackendFailed)+":"):
		return causeBrokenOff
	}
	return causeOther
}

// unendedCause returns why a request has no end in the logs of its process.
func unendedCause(last time.Time, starts, stops []time.Time) cause {
	next := slices.IndexFunc(starts, func(at time.Time) bool { return at.After(last) })
	if next < 0 {
		return causeRunning
	}
	stopped := slices.ContainsFunc(stops, func(at time.Time) bool {
		return at.Before(starts[next]) && (next == 0 || at.After(starts[next-1]))
	})
	if stopped {
		return causeProcessStopped
	}
	return causeProcessLost
}

func (t Tool) printSummary(s summary) {
	t.printf("%d requests, %d answered\n", s.Requests, s.Answered)
	if len(s.Rows) == 0 {
		return
	}
	w := tabwriter.NewWriter(t.Stdout, 0, 0, 2, ' ', 0)
	writeRow := func(cells ...string) { _, _ = io.WriteString(w, strings.Join(cells, "\t")+"\n") } // Flush reports errors
	writeRow("requests", "cause", "answer", "avoidable", "example")
	for _, r := range s.Rows {
		writeRow(strconv.Itoa(r.Requests), string(r.Cause), cmp.Or(r.Kind, "none"), string(r.Avoidable), r.Example)
	}
	_ = w.Flush() // as for every output of the tool
}

// readIDs reads request ids, one in each line.
func readIDs(path string) (map[string]bool, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "explain")
	}
	defer func() { _ = f.Close() }() // the file was opened for reading only
	ids := make(map[string]bool)
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		if id := strings.TrimSpace(scanner.Text()); id != "" {
			ids[id] = true
		}
	}
	return ids, errors.Wrap(scanner.Err(), "explain")
}
