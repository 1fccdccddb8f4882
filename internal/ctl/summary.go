package ctl

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
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
	// Windows are those in which requests began.
	Windows []*summaryWindow `json:"windows,omitempty"`
}

// summaryWindow counts the requests that began in a window of time.
type summaryWindow struct {
	// From is the time from the first request of all to the begin of the window, in nanoseconds.
	From       time.Duration `json:"from_ns"`
	Requests   int           `json:"requests"`
	Answered   int           `json:"answered"`
	Unanswered map[cause]int `json:"unanswered"`
}

func newSummaryWindow(from time.Duration) *summaryWindow {
	return &summaryWindow{From: from, Unanswered: make(map[cause]int)}
}

// requestAt identifies an attempt of a caller at one process. Repeated attempts at several
// processes may share an id.
type requestAt struct{ id, node string }

// requestEnd is the last known state of a request.
type requestEnd struct {
	requestAt
	first time.Time
	last  logLine
	ended bool
}

// requestEnds returns the requests of the log lines and how they ended, in the order of their first
// lines. If ids is not nil, it returns only those of these requests. The lines are sorted by time.
func requestEnds(lines []logLine, ids map[string]bool) []*requestEnd {
	ends := make(map[requestAt]*requestEnd)
	var order []*requestEnd
	for _, l := range lines {
		switch l.msg {
		case "request_routed", "request_retried", "request_done", "request_refused":
		default:
			continue
		}
		key := requestAt{l.fields["request"], l.node}
		if key.id == "" || ids != nil && !ids[key.id] {
			continue
		}
		e := ends[key]
		if e == nil {
			e = &requestEnd{requestAt: key, first: l.at}
			ends[key] = e
			order = append(order, e)
		}
		e.last, e.ended = l, l.msg == "request_done" || l.msg == "request_refused"
	}
	return order
}

// processTimes are when processes were started or stopped, by name.
type processTimes map[string][]time.Time

// timesOf returns when processes logged an event.
func timesOf(lines []logLine, msg string) processTimes {
	times := make(processTimes)
	for _, l := range lines {
		if l.msg == msg {
			times[l.node] = append(times[l.node], l.at)
		}
	}
	return times
}

// summarize counts the requests by how they ended. If ids is not nil, it counts only those
// of these requests; if per is not 0, it counts them also by the window in which they began.
func summarize(lines []logLine, ids map[string]bool, per time.Duration) summary {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	starts, stops := timesOf(lines, "started"), timesOf(lines, "draining")
	ends := requestEnds(lines, ids)
	out := summary{Requests: len(ends)}
	rows := make(map[summaryRow]*summaryRow)
	for _, e := range ends {
		w := out.window(e.first, ends[0].first, per)
		w.Requests++
		if e.last.msg == "request_done" {
			out.Answered++
			w.Answered++
			continue
		}
		row := summaryRow{Cause: e.cause(starts[e.node], stops[e.node]), Kind: e.last.fields["kind"]}
		row.Avoidable = verdicts[row.Cause]
		counted := rows[row]
		if counted == nil {
			counted = &summaryRow{row.Cause, row.Kind, row.Avoidable, 0, e.id}
			rows[row] = counted
		}
		counted.Requests++
		w.Unanswered[row.Cause]++
	}
	for _, row := range rows {
		out.Rows = append(out.Rows, *row)
	}
	slices.SortFunc(out.Rows, func(a, b summaryRow) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

// window returns the window in which a request began whose first line is from at, if the first of all
// is from begin. Requests are added in the order of their first lines.
func (s *summary) window(at, begin time.Time, per time.Duration) *summaryWindow {
	if per <= 0 {
		return newSummaryWindow(0)
	}
	from := at.Sub(begin).Truncate(per)
	if n := len(s.Windows); n == 0 || s.Windows[n-1].From != from {
		s.Windows = append(s.Windows, newSummaryWindow(from))
	}
	return s.Windows[len(s.Windows)-1]
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
	rows := [][]string{{"requests", "cause", "answer", "avoidable", "example"}}
	for _, r := range s.Rows {
		rows = append(rows, []string{strconv.Itoa(r.Requests), string(r.Cause), cmp.Or(r.Kind, "none"), string(r.Avoidable), r.Example})
	}
	t.printTable(rows)
	if len(s.Windows) == 0 {
		return
	}
	rows = [][]string{{"from", "requests", "answered", "unanswered"}}
	for _, w := range s.Windows {
		rows = append(rows, []string{w.From.String(), strconv.Itoa(w.Requests), strconv.Itoa(w.Answered), w.causes()})
	}
	t.printTable(rows)
}

// causes lists the causes for which requests were not answered.
func (w *summaryWindow) causes() string {
	var out []string
	for _, c := range slices.Sorted(maps.Keys(w.Unanswered)) {
		out = append(out, fmt.Sprintf("%d %s", w.Unanswered[c], c))
	}
	return strings.Join(out, ", ")
}

func (t Tool) printTable(rows [][]string) {
	w := tabwriter.NewWriter(t.Stdout, 0, 0, 2, ' ', 0)
	for _, cells := range rows {
		_, _ = io.WriteString(w, strings.Join(cells, "\t")+"\n") // Flush reports errors
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
