// Package catalog defines the routes and services that an operator has configured, and
// the backend servers that currently serve them. The types are independent of any wire
// format; adapters convert to them.
package catalog

import (
	"time"
)

// RouteKind is the kind of requests that a route accepts.
type RouteKind uint8

// The kinds of routes.
const (
	// Call is a request with a single complete response.
	Call RouteKind = iota + 1
	// Stream is a request whose response is a stream of events.
	Stream
	// Batch is a route that accepts batch jobs.
	Batch
)

// String returns the name of the kind in lower case, or "unknown".
func (k RouteKind) String() string {
	switch k {
	case Call:
		return "call"
	case Stream:
		return "stream"
	case Batch:
		return "batch"
	}
	return "unknown"
}

// Split is one service of a route and its share of the route's requests: its weight,
// relative to the sum of the weights of all services of the route.
type Split struct {
	Service string
	Weight  float64
}

// Route is one routing rule of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Anonymous states that callers need not identify themselves.
	Anonymous bool
	// Idempotent states that requests may run more than once.
	Idempotent bool
	// Resumable states that another backend server can continue a stream after any
	// event.
	Resumable bool
	// Splits lists the services that may serve the route, with their weights.
	Splits []Split
	// Timeout bounds how long a caller waits for a response.
	Timeout time.Duration
	// FirstByteObjective is the operator's objective for the time to the first byte.
	FirstByteObjective time.Duration
	// EventGapObjective is the longest time between two events that meets the
	// operator's objective.
	EventGapObjective time.Duration
	// MaxAttempts bounds the backend servers that a request may be sent to.
	MaxAttempts int
	// Priority orders routes; 0 is the most urgent.
	Priority int

	// JobCompletionTarget is the time from the submission of a batch job to its due
	// time.
	JobCompletionTarget time.Duration
	// JobRetention is the time from the submission of a batch job after which its
	// unfinished items may be abandoned.
	JobRetention time.Duration
	// MaxJobTokens bounds the tokens of accepted, unfinished items: those of each workspace, or
	// of all callers if there are no workspaces; 0 is unlimited.
	MaxJobTokens int64
}

// Service is a group of equivalent backend servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers together to one backend
	// server; 0 is unknown.
	MaxConnections int
	// HealthPath is the path of a backend server's health check; empty if there is none.
	HealthPath string
	// Slots is how many requests an engine processes concurrently; 0 is unknown.
	Slots int
	// KVCacheTokens is the size of an engine's KV cache; 0 for plain services.
	KVCacheTokens int
}

// Limits bound the size and the timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
	// workspaceList holds the workspaces as configured, of which two may have one name.
	workspaceList []Workspace
	workspaces    map[string]*Workspace
	byCredential  map[Credential]*Workspace
}

// State is whether a backend server accepts new requests.
type State uint8

// The states of a backend server.
const (
	Ready State = iota + 1
	Draining
)

// Backend is the registration of a backend server.
type Backend struct {
	// ID identifies one incarnation of a backend server.
	ID      string
	Service string
	// Address is the IP:port that the backend server listens on.
	Address string
	Zone    string
	// Version is the version of the backend server's software. Versions have no order.
	Version string
	State   State
	// Slots is how many requests the backend server processes concurrently.
	Slots int
	// ColdRemaining is how much longer the backend server is slow after its start.
	ColdRemaining time.Duration
	// StartedMs is when this incarnation has started, in Unix milliseconds; 0 if it is
	// unknown. A backend server may start again under its id.
	StartedMs int64
	// Seq numbers the registrations of one start in their order; 0 if it is unknown.
	Seq int64
}

// Renews reports whether b says the same as o, in a registration of another number.
func (b Backend) Renews(o Backend) bool {
	b.Seq = o.Seq
	return b == o
}

// Software identifies the software that a backend server runs. What two versions produce for
// one request does not fit together, so an output may be continued at the same software only.
type Software struct {
	Service string
	// Version is empty if it is unknown. Two unknown versions are not the same.
	Version string
}

// Known reports whether the version is known.
func (s Software) Known() bool { return s.Version != "" }

// Software returns the software that b runs.
func (b Backend) Software() Software { return Software{b.Service, b.Version} }

// Runs reports whether b runs the software s. It returns false if the version of s is
// unknown.
func (b Backend) Runs(s Software) bool { return s.Known() && b.Software() == s }
