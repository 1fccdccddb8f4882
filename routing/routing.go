// Package routing chooses a backend server for each attempt from a table of
// backend servers. The table is pure: times are passed in, randomness comes
// from the seed.
package routing

import (
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
)

// Backend is one backend server with its sidecar.
type Backend struct {
	// Instance names the instance, Addr is its sidecar's peer address.
	Instance, Addr string
	// Incarnation names the sidecar's present life, empty while unknown.
	Incarnation  string
	Service      string
	Region, Zone string
	Models       []string
}

// Load is what a sidecar last said of itself.
type Load struct {
	RunningOnline, RunningBatch int
	QueuedOnline, QueuedBatch   int
	Slots, BatchRoom            int
	StepTime                    time.Duration
	Draining                    bool
}

// Request is what a choice depends on.
type Request struct {
	Service   string
	Model     string
	Workspace string
	Class     admission.Class
	// Prefix is a hash of the prompt's leading part, zero if there is none.
	Prefix uint64
	// Tokens estimates the work.
	Tokens int
	// Prefer names the instance whose engine holds the kept tokens of a
	// preempted attempt, empty if there is none. A fit one is chosen.
	Prefer string
	// Exclude lists instances that have failed this request.
	Exclude []string
}

// Reason says why a backend server was chosen.
type Reason string

// The reasons.
const (
	LeastLoaded Reason = "least_loaded"
	Affinity    Reason = "prefix_affinity"
	Spill       Reason = "spill"
	Resume      Reason = "resume"
)

// Decision is a choice.
type Decision struct {
	Backend Backend
	Reason  Reason
}

// Result is how an attempt at a backend server went.
type Result uint8

// The results that count for ejection.
const (
	OK Result = iota
	// Refused is an orderly refusal and no fault.
	Refused
	// Failed is a broken, slow or missing answer.
	Failed
)
