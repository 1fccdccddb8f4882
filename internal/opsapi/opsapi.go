// Package opsapi defines the response bodies of the operator listener. The entry writes
// them and the command-line tool reads them.
package opsapi

// Process is the state of one process as reported by an entry.
type Process struct {
	Instance    string `json:"instance"`
	Role        string `json:"role"`
	Region      string `json:"region"`
	Zone        string `json:"availability_zone"`
	Incarnation string `json:"incarnation"`
	// ConfigVersion is the version in force in the process, zero if it is unknown.
	ConfigVersion uint64 `json:"config_version"`
	Draining      bool   `json:"draining"`
	// Error is the reason why the state may be out of date, empty if it is current.
	Error string `json:"error,omitempty"`
}

// ProcessList is the response of GET /operator/status.
type ProcessList struct {
	Processes []Process `json:"processes"`
}

// Backend is the state of one backend server as reported by an entry.
type Backend struct {
	Instance    string `json:"instance"`
	Service     string `json:"service"`
	Region      string `json:"region"`
	Zone        string `json:"availability_zone"`
	Incarnation string `json:"incarnation"`
	// RunningOnline and RunningBatch count the attempts that the backend server runs.
	// RunningBatch also counts paused batch attempts.
	RunningOnline int `json:"running_online"`
	RunningBatch  int `json:"running_batch"`
	// QueuedOnline and QueuedBatch count the attempts in the sidecar's queues.
	QueuedOnline int `json:"queued_online"`
	QueuedBatch  int `json:"queued_batch"`
	// Slots is how many attempts the backend server runs in parallel.
	Slots int `json:"slots"`
	// BatchRoom is how many more batch attempts would start at once.
	BatchRoom int `json:"batch_room"`
	// StepUS is the most recent time between tokens, in microseconds.
	StepUS int64 `json:"step_us"`
	// Leaving reports that the backend server accepts no new attempts because it is
	// about to stop.
	Leaving bool `json:"leaving"`
	// Ejected reports that the backend server receives no requests because of failures.
	Ejected bool `json:"ejected"`
}

// BackendList is the response of GET /operator/backends.
type BackendList struct {
	Backends []Backend `json:"backends"`
}

// DrainResult is the response of POST /operator/drain.
type DrainResult struct {
	Instance string `json:"instance"`
	// InProgress is the number of requests in progress when the drain was requested.
	InProgress int `json:"in_progress"`
}
