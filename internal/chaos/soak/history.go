package soak

import (
	"sync"
	"time"
)

// Record is an online request and what its caller received.
type Record struct {
	Op      Op
	Gateway string
	// Start and End delimit the request.
	Start, End time.Time
	// Status is zero if no response started.
	Status int
	// Backend is the id of the backend server that sent the response.
	Backend string
	Body    string
	// Complete is true if the response had its explicit end.
	Complete bool
	// Disconnected is true if the caller itself closed the connection.
	Disconnected bool
	Err          string
}

// Listing is a page, or all, of a job's results as one gateway returned it.
type Listing struct {
	At      time.Time
	Gateway string
	From    int
	Total   int
	Results []Result
}

// Result is a result of a job.
type Result struct {
	ID    string
	State string
	Text  string
}

// JobRecord is a job and what its submitter and readers received.
type JobRecord struct {
	Op Op
	// Accepted and EndAcked are when the first acknowledgements arrived.
	Accepted, EndAcked time.Time
	// EndRequested is when the request to end the job was first sent.
	EndRequested time.Time
	// Refused is true if every submission got a status that promises that nothing of
	// the job runs.
	Refused  bool
	Listings []Listing
	// Final are the complete listings, one from each gateway, after the faults.
	Final []Listing
	// Missing describes the responses that did not find an accepted job or returned an
	// unreadable listing.
	Missing []string
	// WrongBodies describes responses with a changed item body. MissingBodies are the
	// bodies that were not found.
	WrongBodies   []string
	MissingBodies []MissingBody
	// ShownToOthers describes the successful responses to other workspaces.
	ShownToOthers []string
}

// MissingBody is an item for whose body a gateway returned 404.
type MissingBody struct {
	ItemID  string
	Gateway string
	At      time.Time
}

// Probe is a check whether a configuration version is in force at a gateway.
type Probe struct {
	Gateway string
	// Starts is the number of starts of the gateway's process so far.
	Starts  int
	At      time.Time
	Version int
	InForce bool
}

// Interval is a period in which the target was disturbed or draining.
type Interval struct {
	Target     string
	Begin, End time.Time
}

// overlaps reports whether the interval overlaps the time from begin to end.
func (i Interval) overlaps(begin, end time.Time) bool {
	return i.Begin.Before(end) && (i.End.IsZero() || i.End.After(begin))
}

// History is everything that was observed in a round.
type History struct {
	mu      sync.Mutex
	Records []Record
	Jobs    []*JobRecord
	Probes  []Probe
	// Disturbed are the periods in which a gateway could not serve, by gateway name.
	Disturbed []Interval
	// Drains are the drains of backend servers, by id, from the store's acknowledgement
	// of the notice to the end.
	Drains []Interval
	// Limits are the periods in which backend servers named a limit, by id.
	Limits []Interval
	// Injected counts the injected faults by kind.
	Injected map[string]int
	// Published is the number of the last published configuration.
	Published int
	// FaultsEnded is when the last fault had ended.
	FaultsEnded time.Time
	// Recovered is how long after that requests succeeded again. It is negative if they
	// did not.
	Recovered time.Duration
	// Crashes are the processes that exited without being stopped, FailedStops those
	// that did not stop as requested.
	Crashes, FailedStops []string
}

func (h *History) update(f func(*History)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h)
}
