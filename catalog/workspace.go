package catalog

import (
	"crypto/sha256"
	"fmt"
	"slices"
)

// Credential is the digest of a key that a caller has sent. The key itself leaves the
// adapter that decodes it in this form only, so that it can't reach a log line, a metric or
// another process.
type Credential [sha256.Size]byte

// NewCredential returns the credential of a key.
func NewCredential(key string) Credential { return sha256.Sum256([]byte(key)) }

// String implements fmt.Stringer. It does not identify the key.
func (Credential) String() string { return "redacted" }

// Format implements fmt.Formatter, so that no verb prints the digest.
func (c Credential) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(c.String())) }

// Workspace is a customer of the system: it owns its requests and batch jobs.
type Workspace struct {
	Name string
	// Credentials are those of the keys that identify the workspace's callers.
	Credentials []Credential
	// HasPriority states that Priority counts in place of the priority of a route.
	HasPriority bool
	Priority    int
	// RequestsPerSecond and Burst are the rate and the size of the token bucket that bounds the
	// online requests of the workspace at all processes together. A rate of 0 is unlimited.
	RequestsPerSecond float64
	Burst             float64
}

// Limited reports whether a quota bounds the requests of the workspace.
func (w *Workspace) Limited() bool { return w != nil && w.RequestsPerSecond > 0 }

// PriorityOn returns the priority of the workspace's requests on a route; 0 is the most
// urgent. A nil workspace has that of the route.
func (w *Workspace) PriorityOn(r *Route) int {
	if w != nil && w.HasPriority {
		return w.Priority
	}
	return r.Priority
}

// HasWorkspaces reports whether callers have to identify themselves.
func (c *Config) HasWorkspaces() bool { return len(c.workspaces) > 0 }

// AllowsAnonymousJobs reports whether callers that do not identify themselves may submit batch jobs
// on a route of host.
func (c *Config) AllowsAnonymousJobs(host string) bool {
	return slices.ContainsFunc(c.routesOf(host), func(r *Route) bool { return r.Kind == Batch && r.Anonymous })
}

// Workspaces returns the workspaces by name. The caller must not modify the map.
func (c *Config) Workspaces() map[string]*Workspace { return c.workspaces }

// Identify returns the workspace that holds a credential, or nil if none does.
func (c *Config) Identify(credential Credential) *Workspace { return c.byCredential[credential] }

// indexWorkspaces sets the workspaces. If two of them hold a credential, it is the first one's.
func (c *Config) indexWorkspaces(workspaces []Workspace) {
	c.workspaceList = workspaces
	c.workspaces = make(map[string]*Workspace, len(workspaces))
	c.byCredential = make(map[Credential]*Workspace, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		c.workspaces[w.Name] = w
		for _, credential := range w.Credentials {
			if c.byCredential[credential] == nil {
				c.byCredential[credential] = w
			}
		}
	}
}
