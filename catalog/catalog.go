// Package catalog holds what an operator has configured, the routes and the
// services behind them, and the backend servers that serve them now. The types
// know no wire format; an adapter fills them.
package catalog

import (
	"time"
)

// RouteKind is the form of the requests of a route.
type RouteKind uint8

// The kinds of route.
const (
	// Call is a request with one whole answer.
	Call RouteKind = iota + 1
	// Stream is a request that is answered by a series of events.
	Stream
	// Batch is a route that takes batch jobs.
	Batch
)

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

// Split is one service of a route and its part of the route's requests.
type Split struct {
	Service string
	Weight  float64
}

// Route is one rule of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable streams may go on at another backend server after an event.
	Resumable bool
	// Splits lists the services that may serve the route, with their weights.
	Splits []Split
	// Timeout bounds how long a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the first byte that the operator aims for.
	FirstByteObjective time.Duration
	// GapObjective is the longest pause between events that counts as on time.
	EventGapObjective time.Duration
	// MaxAttempts bounds the backend servers that one request may be sent to.
	MaxAttempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int

	// JobDue is how long after its submission a batch job is due.
	JobCompletionTarget time.Duration
	// JobRetention is how long after its submission an item may be given up.
	JobRetention time.Duration
	// JobTokens bounds the tokens of accepted, unfinished items; 0 is no bound.
	MaxJobTokens int64
}

// Service is a group of equal backend servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections of one backend server, all callers
	// together; 0 is unknown.
	MaxConnections int
	// Slots is how many requests an engine processes at once; 0 is unknown.
	Slots int
	// MemoryTokens is the size of an engine's KV cache; 0 for plain services.
	KVCacheTokens int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one whole version of the configuration. It is immutable.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
}

// State says whether a backend server takes new work.
type State uint8

// The states of a backend server.
const (
	Ready State = iota + 1
	Draining
)

// Backend is one registration of a backend server.
type Backend struct {
	// ID names one incarnation of a backend server.
	ID      string
	Service string
	// Address is the IP:port that the backend server listens on.
	Address string
	Zone    string
	State   State
	Slots   int
	// Cold is how much longer the backend server stays slow after its start.
	ColdRemaining time.Duration
}
