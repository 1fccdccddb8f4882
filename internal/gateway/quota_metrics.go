package gateway

import "github.com/catkinrudder/catkinrudder/quota"

// Permits implements quota.Observer.
func (m *Metrics) Permits(o quota.PermitOutcome, n int) {
	if n > 0 {
		m.set.GetOrCreateCounter(series("catkinrudder_gateway_quota_permits_total", label{"outcome", string(o)})).Add(n)
	}
}

// Asked implements quota.Observer.
func (m *Metrics) Asked(o quota.AskOutcome) {
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_quota_requests_total", label{"outcome", string(o)})).Inc()
}

// quotaRefused counts a request beyond the quota of its workspace.
func (m *Metrics) quotaRefused(workspace string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.workspaces) > 0 {
		m.set.GetOrCreateCounter(series("catkinrudder_gateway_quota_refusals_total", label{"workspace", m.workspaceLabel(workspace)})).Inc()
	}
}
