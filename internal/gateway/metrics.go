package gateway

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/eventstream"
	"github.com/catkinrudder/catkinrudder/internal/egress"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/upstream"
	"github.com/catkinrudder/catkinrudder/waiting"
)

// Metrics holds the metrics of a gateway. Label values come from closed lists,
// the ids of the known backend servers and the names of the configured workspaces only, which bounds the number of series.
type Metrics struct {
	set *metrics.Set

	mu sync.Mutex
	// backends holds the backend servers that may have series.
	backends map[string]bool
	// zone is the gateway's zone, and zones holds those that may have series.
	zone  string
	zones map[string]bool
	// workspaces holds the workspaces that may have series.
	workspaces map[string]bool
}

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, backends: make(map[string]bool)}
}

func (m *Metrics) routed(reason balance.Reason) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_attempts_total", label{"reason", string(reason)})).Inc()
}

func (m *Metrics) firstByte(kind string, seconds float64) {
	m.set.GetOrCreateHistogram(series("catkinrudder_gateway_first_byte_seconds", label{"route_kind", kind})).Update(seconds)
}

// waitingNow sets how many requests wait for a service. Services come from the configuration.
func (m *Metrics) waitingNow(service string, n int) {
	m.set.GetOrCreateGauge(series("catkinrudder_gateway_waiting_requests", label{"service", service}), nil).Set(float64(n))
}

// waited records a wait for a slot that has ended, and the refusal with which it ended if
// there is a reason for one.
func (m *Metrics) waited(refused waiting.Reason, d time.Duration) {
	outcome := "slot"
	if refused != waiting.None {
		outcome = string(refused)
		m.set.GetOrCreateCounter(series("catkinrudder_gateway_refusals_total", label{"reason", outcome})).Inc()
	}
	m.set.GetOrCreateHistogram(series("catkinrudder_gateway_wait_seconds", label{"outcome", outcome})).Update(d.Seconds())
}

// requestOutcome is the outcome of a request for its caller.
type requestOutcome string

// The outcomes of requests.
const (
	// outcomeAnswered: the caller has received a complete response.
	outcomeAnswered requestOutcome = "answered"
	// outcomeNotRun: the request was refused, and the response states that nothing ran.
	outcomeNotRun requestOutcome = "not_run"
	// outcomeFailed: the request failed, and the response does not state that nothing ran.
	outcomeFailed requestOutcome = "failed"
	// outcomeAborted: the response was cut off after a part of it was sent.
	outcomeAborted requestOutcome = "aborted"
)

func outcomeOf(err error) requestOutcome {
	switch {
	case err == nil:
		return outcomeAnswered
	case errors.Is(err, ErrAborted):
		return outcomeAborted
	case errkind.From(err).Response().Outcome == errkind.NotRun:
		return outcomeNotRun
	}
	return outcomeFailed
}

func (m *Metrics) requestEnded(routeKind string, err error) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_requests_total", label{"route_kind", routeKind}, label{"outcome", string(outcomeOf(err))})).Inc()
}

func (m *Metrics) requestFailed(kind errkind.Kind) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_failures_total", label{"kind", string(kind)})).Inc()
}

// CallerCutOff counts a caller that was cut off because it did not read its response.
func (m *Metrics) CallerCutOff(reason egress.CutReason) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_callers_cut_off_total", label{"reason", string(reason)})).Inc()
}

// Kept is what a process keeps of backend servers.
type Kept string

// What is kept.
const (
	// KeptResponses: heads, events in progress and buffered answers.
	KeptResponses Kept = "response"
	// KeptOutputs: the outputs of batch items that are not stored yet.
	KeptOutputs Kept = "output"
)

// ObserveKept shows the bytes that count toward a budget.
func (m *Metrics) ObserveKept(what Kept, kept func() int64) {
	m.set.GetOrCreateGauge(series("catkinrudder_gateway_kept_bytes", label{"what", string(what)}), func() float64 { return float64(kept()) })
}

// ResponseDropped counts a response or an output that was dropped because too much was kept.
func (m *Metrics) ResponseDropped(what Kept) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_responses_dropped_total", label{"what", string(what)})).Inc()
}

// ConnectionOpened counts a new connection to a backend server.
func (m *Metrics) ConnectionOpened(string) {
	m.set.GetOrCreateCounter(`catkinrudder_gateway_backend_connections_total`).Inc()
}

// AddBackend allows series for a backend server.
func (m *Metrics) AddBackend(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backends[id] = true
}

// RemoveBackend removes the series of a removed backend server.
func (m *Metrics) RemoveBackend(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.backends, id)
	m.removeSeries(label{"backend", id})
}

// AttemptEnded counts an attempt at a backend server, unless the server was removed.
func (m *Metrics) AttemptEnded(backendID string, o upstream.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.backends[backendID] {
		return
	}
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_backend_attempts_total", label{"backend", backendID}, label{"outcome", string(o)})).Inc()
}

// ResponseEnded counts a response of a backend server that has ended, by what shows that it is complete.
func (m *Metrics) ResponseEnded(routeKind string, evidence upstream.Evidence) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_response_ends_total", label{"route_kind", routeKind}, label{"evidence", string(evidence)})).Inc()
}

// eventOutOfOrder counts an event that does not follow the one before it.
func (m *Metrics) eventOutOfOrder(kind string, reason eventstream.Reason) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_events_out_of_order_total", label{"kind", kind}, label{"reason", string(reason)})).Inc()
}

// ItemEventOutOfOrder counts an event of a batch item that does not follow the one before it.
func (m *Metrics) ItemEventOutOfOrder(reason eventstream.Reason) { m.eventOutOfOrder("item", reason) }

// ItemDecided counts a decision on batch items.
func (m *Metrics) ItemDecided(d jobs.Decision, reason string) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_item_decisions_total", label{"decision", string(d)}, label{"reason", reason})).Inc()
}

// ObserveWork adds the gauges of what the process does with open batch items.
func (m *Metrics) ObserveWork(work func() jobs.Work) {
	for _, reason := range jobs.WaitReasons() {
		m.set.GetOrCreateGauge(series("catkinrudder_gateway_items_waiting", label{"reason", reason.String()}), func() float64 {
			w := work()
			return float64(w.Waiting(reason))
		})
		m.set.GetOrCreateGauge(series("catkinrudder_gateway_items_waiting_oldest_seconds", label{"reason", reason.String()}), func() float64 {
			w := work()
			return age(w.OldestSince(reason))
		})
	}
	m.set.GetOrCreateGauge("catkinrudder_gateway_item_runs", func() float64 { return float64(work().Runs) })
	m.set.GetOrCreateGauge("catkinrudder_gateway_item_runs_silent_seconds", func() float64 { return age(work().OldestEvent) })
	m.set.GetOrCreateGauge(series("catkinrudder_gateway_shards", label{"phase", "owned"}), func() float64 { return float64(work().OwnedShards) })
	m.set.GetOrCreateGauge(series("catkinrudder_gateway_shards", label{"phase", "claimed"}), func() float64 { return float64(work().ClaimedShards) })
}

// age returns the seconds since at, and 0 for the zero time.
func age(at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return time.Since(at).Seconds()
}

// StoreCalled counts a call to the store.
func (m *Metrics) StoreCalled(call, outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_store_calls_total", label{"call", call}, label{"outcome", outcome})).Inc()
	m.set.GetOrCreateHistogram(series("catkinrudder_gateway_store_call_seconds", label{"call", call})).Update(took.Seconds())
}

// LinesSuppressed counts log lines that were dropped: budget is the number of ordinary
// lines that exceeded the budget, reader the number of lines that were dropped because
// the output was read too slowly.
func (m *Metrics) LinesSuppressed(budget, reader int64) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_log_lines_left_out_total", label{"cause", "budget"})).AddInt64(budget)
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_log_lines_left_out_total", label{"cause", "reader"})).AddInt64(reader)
}

// removeSeries removes the series that have a label. The caller holds mu.
func (m *Metrics) removeSeries(l label) {
	for _, name := range m.set.ListMetricNames() {
		if hasLabel(name, l) {
			m.set.UnregisterMetric(name)
		}
	}
}
