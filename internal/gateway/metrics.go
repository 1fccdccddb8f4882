package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/errkind"
)

// Metrics counts what a gateway does. Labels take values of closed lists only.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered with set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set} }

func (m *Metrics) routed(reason balance.Reason) {
	m.set.GetOrCreateCounter(`catkinrudder_gateway_attempts_total{reason="` + string(reason) + `"}`).Inc()
}

func (m *Metrics) answered(kind string, seconds float64) {
	m.set.GetOrCreateHistogram(`catkinrudder_gateway_first_byte_seconds{route_kind="` + kind + `"}`).Update(seconds)
}

func (m *Metrics) failed(kind errkind.Kind) {
	m.set.GetOrCreateCounter(`catkinrudder_gateway_failures_total{kind="` + string(kind) + `"}`).Inc()
}

// ConnectionOpened counts a new connection to a backend server.
func (m *Metrics) ConnectionOpened(string) {
	m.set.GetOrCreateCounter(`catkinrudder_gateway_backend_connections_total`).Inc()
}
