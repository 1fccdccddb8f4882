package soak

import (
	"sync"
	"time"
)

// Record is one online request and what its caller saw.
type Record struct {
	Op      Op
	Gateway string
	// Start and End bound the request.
	Start, End time.Time
	// Status is zero if no answer began.
	Status int
	// Stamp names the backend server of the answer.
	Stamp string
	Body  string
	// Whole says that the answer had its explicit end.
	Whole bool
	// Left says that the caller closed the connection itself.
	Left bool
	Err  string
}

// Listing is a job's results as one reading gave them, from a position on.
type Listing struct {
	At      time.Time
	Gateway string
	From    int
	Total   int
	Results []Result
}

// Result is one result of a job.
type Result struct {
	ID    string
	State string
	Text  string
}

// JobRecord is what the submitter and the readers of a job saw.
type JobRecord struct {
	Op Op
	// Accepted and EndAcked are when the first acknowledgement arrived.
	Accepted, EndAcked time.Time
	// EndAsked is when the end was first sent.
	EndAsked time.Time
	// Refused says that each submission was answered with a promise that
	// nothing of it runs.
	Refused  bool
	Listings []Listing
	// Final are the whole listings, one from each gateway, after the faults.
	Final []Listing
	// Missing are answers that an accepted job, or a body, is not there.
	Missing []string
	// WrongBodies are bodies of items that came back changed, MissingBodies
	// those that were said not to be there.
	WrongBodies   []string
	MissingBodies []MissingBody
}

// MissingBody is an item whose body a gateway said not to have.
type MissingBody struct {
	ItemID  string
	Gateway string
	At      time.Time
}

// Probe is one look at whether a gateway knows a configuration version.
type Probe struct {
	Gateway string
	// Boot counts the starts of the gateway's process.
	Boot  int
	At    time.Time
	Least int
	Known bool
}

// Interval is a time in which something was disturbed.
type Interval struct {
	What       string
	Begin, End time.Time
}

// overlaps reports whether the interval touches the time from begin to end.
func (i Interval) overlaps(begin, end time.Time) bool {
	return i.Begin.Before(end) && (i.End.IsZero() || i.End.After(begin))
}

// History is everything that a round observed.
type History struct {
	mu      sync.Mutex
	Records []Record
	Jobs    []*JobRecord
	Probes  []Probe
	// Disturbed are the times in which a gateway could not serve, by its name.
	Disturbed []Interval
	// Drains are the notices of leaving backend servers, by their id, from the
	// store's acknowledgement to the end.
	Drains []Interval
	Struck map[string]int
	// Published is the number of the last configuration.
	Published int
	// Healed is when the last fault had ended.
	Healed time.Time
	// Recovered is how long after that requests succeeded again, negative if
	// they did not.
	Recovered time.Duration
	// Crashes and BadStops are the processes that ended by themselves, and those
	// that did not stop as asked.
	Crashes, BadStops []string
}

func (h *History) add(f func(*History)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h)
}
