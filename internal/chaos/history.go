package chaos

import (
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
)

// Record is one request and what its caller was told.
type Record struct {
	Op   Op
	Send string
	// Start and End bound the request.
	Start, End time.Time
	// Status is zero if no answer arrived.
	Status  int
	Kind    errkind.Kind
	Outcome errkind.Outcome
	// Whole says that the answer had its explicit end.
	Whole bool
	Body  string
	Err   string
	// Recorded says that the system promised to keep the answer.
	Recorded bool
	// Dropped says that the caller itself closed the connection.
	Dropped bool
}

// Reread is a kept reply as one entry gave it after the faults.
type Reread struct {
	ID, Want, Got string
	Status        int
}

// JobRecord is what the submitter of a batch job was told.
type JobRecord struct {
	Op Op
	// IDs are the job ids that its submissions under one key were given.
	IDs []string
	// Acked and CancelAcked are when the first acknowledgement arrived.
	Acked, CancelAcked time.Time
	// CancelRefused says that the job had ended before it could be cancelled.
	CancelRefused bool
	Final         Job
	// Outputs are the result and error lines, read at each entry.
	Outputs []Output
	Err     string
}

// Output is a job's results as one entry gave them.
type Output struct{ Results, Errors string }

// PublishRecord is one operation on the configuration.
type PublishRecord struct {
	Client     int
	Start, End time.Time
	// Read is the version read, for a read.
	IsRead bool
	Read   uint64
	// Base is the version that a publication was based on.
	Base uint64
	// Known is false if the publication's fate was not told.
	Known    bool
	Accepted bool
	Version  uint64
}

// Foreign is an attempt of one workspace to use what belongs to another.
type Foreign struct {
	What   string
	Status int
}

// Stopping is one graceful stop of an instance.
type Stopping struct {
	Name string
	// Backend indexes the backend servers, -1 for an entry.
	Backend     int
	Begin, Done time.Time
	Err         string
}

// History is everything that a round observed.
type History struct {
	mu        sync.Mutex
	Records   []Record
	Jobs      []JobRecord
	Publishes []PublishRecord
	Rereads   []Reread
	Foreign   []Foreign
	Stops     []Stopping
	Reverts   []string
	Struck    map[string]int
	// First is the version in force at the start.
	First uint64
	// Healed is when the last fault had ended.
	Healed time.Time
	// InForce is how long after that the last version was in force at every
	// process; negative if it was not.
	InForce time.Duration
}

func newHistory() *History { return &History{Struck: make(map[string]int)} }

func (h *History) add(f func(*History)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h)
}
