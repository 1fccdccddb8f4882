// Package routing chooses a backend server for each attempt from a table of
// backend servers. The table is pure: times are passed in, randomness comes
// from the seed.
package routing

import (
	"math/rand/v2"
	"sort"
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
	Step                        time.Duration
	Leaving                     bool
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

type row struct {
	backend  Backend
	load     Load
	loadAt   time.Duration
	sent     int // attempts sent since the load was reported
	failures int
	ejected  time.Duration // until
}

// Table holds the backend servers. It is not safe for concurrent use.
type Table struct {
	region, zone string
	rng          *rand.Rand
	rows         map[string]*row
}

// New returns an empty table for an entry in a region and availability zone.
func New(region, zone string, seed uint64) *Table {
	return &Table{
		region: region,
		zone:   zone,
		rng:    rand.New(rand.NewPCG(seed, seed)),
		rows:   make(map[string]*row),
	}
}

// Upsert adds a backend server or replaces what is known of its addresses and
// incarnation; a new incarnation forgets load and failures.
func (t *Table) Upsert(b Backend) {
	r, ok := t.rows[b.Instance]
	if !ok || r.backend.Incarnation != b.Incarnation {
		t.rows[b.Instance] = &row{backend: b}
		return
	}
	r.backend = b
}

// Remove forgets a backend server.
func (t *Table) Remove(instance string) { delete(t.rows, instance) }

// Observe records a load report.
func (t *Table) Observe(now time.Duration, instance string, l Load) {
	if r, ok := t.rows[instance]; ok {
		r.load, r.loadAt, r.sent = l, now, 0
	}
}

// Done records how an attempt went. It reports whether the backend server was
// ejected by it.
func (t *Table) Done(now time.Duration, instance string, res Result) bool {
	r, ok := t.rows[instance]
	if !ok {
		return false
	}
	if res != Failed {
		r.failures = 0
		return false
	}
	r.failures++
	if r.failures < ejectAfter {
		return false
	}
	r.failures = 0
	r.ejected = now + ejectFor
	return true
}

const (
	ejectAfter = 3
	ejectFor   = 2 * time.Second
)

// Pick chooses a backend server; ok is false if none is fit.
func (t *Table) Pick(now time.Duration, q Request) (Decision, bool) {
	var best *row
	for _, r := range t.sorted() {
		if !t.fit(now, r, q) {
			continue
		}
		if best == nil || r.work() < best.work() {
			best = r
		}
	}
	if best == nil {
		return Decision{}, false
	}
	best.sent++
	return Decision{Backend: best.backend, Reason: LeastLoaded}, true
}

// Backends returns the table in order of instance.
func (t *Table) Backends() []Backend {
	var out []Backend
	for _, r := range t.sorted() {
		out = append(out, r.backend)
	}
	return out
}

// LoadOf returns the last load report of an instance.
func (t *Table) LoadOf(instance string) (Load, bool) {
	r, ok := t.rows[instance]
	if !ok {
		return Load{}, false
	}
	return r.load, true
}

// BatchRoom is how many more batch attempts of a service would start at once.
func (t *Table) BatchRoom(now time.Duration, service string) int {
	room := 0
	for _, r := range t.rows {
		if r.backend.Service == service && t.fit(now, r, Request{Service: service}) {
			room += max(r.load.BatchRoom-r.sent, 0)
		}
	}
	return room
}

func (t *Table) sorted() []*row {
	out := make([]*row, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].backend.Instance < out[j].backend.Instance })
	return out
}

func (t *Table) fit(now time.Duration, r *row, q Request) bool {
	if r.backend.Service != q.Service || r.backend.Incarnation == "" || r.load.Leaving || now < r.ejected {
		return false
	}
	for _, x := range q.Exclude {
		if x == r.backend.Instance {
			return false
		}
	}
	return true
}

func (r *row) work() int {
	return r.load.RunningOnline + r.load.RunningBatch + r.load.QueuedOnline + r.load.QueuedBatch + r.sent
}
