package gateway

import (
	"strings"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/quota"
)

// Permits implements quota.Observer.
func (m *Metrics) Permits(o quota.PermitOutcome, n int) {
	if n > 0 {
		m.set.GetOrCreateCounter(`catkinrudder_gateway_quota_permits_total{outcome="` + string(o) + `"}`).Add(n)
	}
}

// Asked implements quota.Observer.
func (m *Metrics) Asked(o quota.AskOutcome) {
	m.set.GetOrCreateCounter(`catkinrudder_gateway_quota_requests_total{outcome="` + string(o) + `"}`).Inc()
}

// SetWorkspaces allows series for the workspaces of a configuration only, and removes those of others.
func (m *Metrics) SetWorkspaces(c *catalog.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.workspaces {
		if c.Workspaces()[name] == nil {
			m.removeSeries(`{workspace="` + name + `"}`)
		}
	}
	m.workspaces = c.Workspaces()
}

// quotaRefused counts a request beyond the quota of its workspace.
func (m *Metrics) quotaRefused(workspace string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.workspaces[workspace] != nil {
		m.set.GetOrCreateCounter(`catkinrudder_gateway_quota_refusals_total{workspace="` + workspace + `"}`).Inc()
	}
}

// removeSeries removes the series whose names contain a label. The caller holds mu.
func (m *Metrics) removeSeries(label string) {
	for _, name := range m.set.ListMetricNames() {
		if strings.Contains(name, label) {
			m.set.UnregisterMetric(name)
		}
	}
}
