package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// Metrics counts what a gateway does. Labels take values of closed lists only,
// and the ids of the backend servers that are known.
type Metrics struct {
	set *metrics.Set

	mu sync.Mutex
	// backends are those that have series.
	backends map[string]bool
}

// NewMetrics returns metrics that are registered with set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, backends: make(map[string]bool)}
}

func (m *Metrics) routed(reason balance.Reason) {
	m.set.GetOrCreateCounter(`catkinrudder_gateway_attempts_total{reason="` + string(reason) + `"}`).Inc()
}

func (m *Metrics) answered(kind string, seconds float64) {
	m.set.GetOrCreateHistogram(`catkinrudder_gateway_first_byte_seconds{route_kind="` + kind + `"}`).Update(seconds)
}

// requestEnd is how a request ended for its caller.
type requestEnd string

// The ends of requests.
const (
	endAnswered requestEnd = "answered"
	// endNotRun: refused, with the word that nothing ran; endFailed: an error
	// without that word.
	endNotRun requestEnd = "not_run"
	endFailed requestEnd = "failed"
	// endAborted: the answer broke off after a part of it was sent.
	endAborted requestEnd = "aborted"
)

func endOf(err error) requestEnd {
	switch {
	case err == nil:
		return endAnswered
	case errors.Is(err, ErrAborted):
		return endAborted
	case errkind.From(err).Response().Outcome == errkind.NotRun:
		return endNotRun
	}
	return endFailed
}

func (m *Metrics) ended(routeKind string, err error) {
	m.set.GetOrCreateCounter(`catkinrudder_gateway_requests_total{route_kind="` + routeKind + `",outcome="` + string(endOf(err)) + `"}`).Inc()
}

func (m *Metrics) failed(kind errkind.Kind) {
	m.set.GetOrCreateCounter(`catkinrudder_gateway_failures_total{kind="` + string(kind) + `"}`).Inc()
}

// ConnectionOpened counts a new connection to a backend server.
func (m *Metrics) ConnectionOpened(string) {
	m.set.GetOrCreateCounter(`catkinrudder_gateway_backend_connections_total`).Inc()
}

// KnowBackend begins the series of a backend server.
func (m *Metrics) KnowBackend(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backends[id] = true
}

// ForgetBackend drops the series of a backend server that is gone.
func (m *Metrics) ForgetBackend(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.backends, id)
	label := `{backend="` + id + `",`
	for _, name := range m.set.ListMetricNames() {
		if strings.Contains(name, label) {
			m.set.UnregisterMetric(name)
		}
	}
}

// AttemptEnded counts an attempt at a backend server, unless that is gone.
func (m *Metrics) AttemptEnded(backendID string, o upstream.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.backends[backendID] {
		return
	}
	m.set.GetOrCreateCounter(`catkinrudder_gateway_backend_attempts_total{backend="` + backendID + `",outcome="` + string(o) + `"}`).Inc()
}

// StoreCalled counts a call to the store.
func (m *Metrics) StoreCalled(call, outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(`catkinrudder_gateway_store_calls_total{call="` + call + `",outcome="` + outcome + `"}`).Inc()
	m.set.GetOrCreateHistogram(`catkinrudder_gateway_store_call_seconds{call="` + call + `"}`).Update(took.Seconds())
}

// LinesLeftOut counts log lines that were not written: budget are ordinary lines
// over the budget, reader those that the reader of the output did not take.
func (m *Metrics) LinesLeftOut(budget, reader int64) {
	m.set.GetOrCreateCounter(`catkinrudder_gateway_log_lines_left_out_total{cause="budget"}`).AddInt64(budget)
	m.set.GetOrCreateCounter(`catkinrudder_gateway_log_lines_left_out_total{cause="reader"}`).AddInt64(reader)
}
