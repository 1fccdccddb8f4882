// Package routing chooses a backend server for each attempt from a table of backend
// servers. Each entry process, which receives the requests of callers, has a table of
// its own. The table is deterministic: the caller passes the time in, and random numbers
// come from a seed.
package routing

import (
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
)

// Backend is one backend server with its sidecar.
type Backend struct {
	// Instance is the name of the instance, Addr the peer address of its sidecar.
	Instance, Addr string
	// Incarnation identifies the current run of the sidecar; it is empty while
	// unknown.
	Incarnation  string
	Service      string
	Region, Zone string
	// Models lists the models that the backend server serves; if it is empty, the
	// backend server is eligible for all models.
	Models []string
}

// Load is the last load report of a sidecar.
type Load struct {
	RunningOnline, RunningBatch int
	QueuedOnline, QueuedBatch   int
	// Slots is how many attempts the engine runs concurrently; BatchRoom is how many
	// more batch attempts the backend server accepts.
	Slots, BatchRoom int
	// StepTime is the duration of one step of the engine; zero if it is unknown.
	StepTime time.Duration
	// Draining states that the backend server accepts no new attempts.
	Draining bool
}

// Request holds the criteria of a choice.
type Request struct {
	Service   string
	Model     string
	Workspace string
	Class     admission.Class
	// Prefix is a hash of the first part of the prompt; zero if there is none.
	Prefix uint64
	// Tokens is the estimated number of tokens to process.
	Tokens int
	// Prefer is the instance whose engine still holds the tokens of a preempted
	// attempt; empty if there is none. It is chosen if it is eligible.
	Prefer string
	// Exclude lists the instances at which this request has failed.
	Exclude []string
}

// Reason is why a backend server was chosen.
type Reason string

// The reasons of a decision.
const (
	// LeastLoaded: the server has the lowest load of those compared.
	LeastLoaded Reason = "least_loaded"
	// Affinity: the prefix of the prompt hashes to the server.
	Affinity Reason = "prefix_affinity"
	// Spill: the server is in another region than the entry process.
	Spill Reason = "spill"
	// Resume: the server is Request.Prefer.
	Resume Reason = "resume"
)

// Decision is a chosen backend server.
type Decision struct {
	Backend Backend
	Reason  Reason
}

// Result is the result of an attempt at a backend server.
type Result uint8

// The results, as counted for ejection.
const (
	OK Result = iota
	// Refused is a regular rejection, which does not count as a failure.
	Refused
	// Failed is a broken, slow or missing response.
	Failed
)
