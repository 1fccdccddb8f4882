package chaos

import (
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
)

// Record is a request and the response that its caller received.
type Record struct {
	Op     Op
	SendID string
	// Start and End delimit the request.
	Start, End time.Time
	// Status is zero if no response arrived.
	Status  int
	Kind    errkind.Kind
	Outcome errkind.Outcome
	// Complete is true if the response had its explicit end.
	Complete bool
	Body     string
	Err      string
	// Recorded is true if the system promised to store the response.
	Recorded bool
	// Dropped is true if the caller itself closed the connection.
	Dropped bool
}

// Reread is a stored reply as one entry returned it after the faults.
type Reread struct {
	ID, Want, Got string
	Status        int
}

// JobRecord is a batch job and the responses that its submitter received.
type JobRecord struct {
	Op Op
	// IDs are the job ids returned by the submissions, which all used one key.
	IDs []string
	// Acked and CancelAcked are when the first acknowledgements arrived.
	Acked, CancelAcked time.Time
	// CancelRefused is true if the job had ended before it could be cancelled.
	CancelRefused bool
	Final         Job
	// Outputs are the result lines and error lines, read at each entry.
	Outputs []Output
	Err     string
}

// Output holds the results of a job as one entry returned them.
type Output struct{ Results, Errors string }

// PublishRecord is an operation on the configuration.
type PublishRecord struct {
	Client     int
	Start, End time.Time
	// Read is the version that a read returned. It is set if IsRead is true.
	IsRead bool
	Read   uint64
	// Base is the version on which a publication was based.
	Base uint64
	// Known is false if the outcome of the publication is unknown.
	Known    bool
	Accepted bool
	Version  uint64
}

// CrossAccess is an attempt of one workspace to access a resource of another.
type CrossAccess struct {
	Request string
	Status  int
}

// StopRecord is a graceful stop of an instance.
type StopRecord struct {
	Name string
	// Backend is the index of the backend server, -1 for an entry.
	Backend     int
	Begin, Done time.Time
	Err         string
}

// History is everything that was observed in a round.
type History struct {
	mu                 sync.Mutex
	Records            []Record
	Jobs               []JobRecord
	Publishes          []PublishRecord
	Rereads            []Reread
	CrossAccesses      []CrossAccess
	Stops              []StopRecord
	VersionRegressions []string
	Injected           map[string]int
	// FirstVersion is the version in force at the start.
	FirstVersion uint64
	// FaultsEnded is when the last fault had ended.
	FaultsEnded time.Time
	// InForceAfter is how long after that the last version was in force at every
	// process. It is negative if that did not happen in time.
	InForceAfter time.Duration
}

func newHistory() *History { return &History{Injected: make(map[string]int)} }

func (h *History) update(f func(*History)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h)
}
