package gateway

import (
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
)

const (
	// maxWorkspaceSeries bounds the workspaces that have series of their own. The others share
	// otherWorkspaces.
	maxWorkspaceSeries = 256
	otherWorkspaces    = "(other)"
	noWorkspace        = "(none)"
)

// SetWorkspaces sets the workspaces that may have series, and ends the series of the others.
func (m *Metrics) SetWorkspaces(c *catalog.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make(map[string]bool, len(m.workspaces))
	for name := range m.workspaces {
		if c.Workspaces()[name] != nil {
			names[name] = true
		}
	}
	for name := range c.Workspaces() {
		if len(names) < maxWorkspaceSeries {
			names[name] = true
		}
	}
	for name := range m.workspaces {
		if !names[name] {
			m.removeWorkspace(name)
		}
	}
	m.workspaces = names
}

// removeWorkspace ends the series of a workspace.
func (m *Metrics) removeWorkspace(name string) {
	m.removeSeries(label{"workspace", name})
}

// workspaceLabel returns the value of the label of a workspace, which may share its series with
// others. The caller holds mu.
func (m *Metrics) workspaceLabel(workspace string) string {
	switch {
	case workspace == "":
		workspace = noWorkspace
	case !m.workspaces[workspace]:
		workspace = otherWorkspaces
	}
	return workspace
}

// workspaceRefused counts a request of a workspace that ended with an error of this system.
func (m *Metrics) workspaceRefused(workspace string, kind errkind.Kind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.workspaces) == 0 {
		return
	}
	m.set.GetOrCreateCounter(series("catkinrudder_gateway_workspace_refusals_total", label{"workspace", m.workspaceLabel(workspace)}, label{"kind", string(kind)})).Inc()
}
