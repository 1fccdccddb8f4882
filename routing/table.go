package routing

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// row is one backend server of the table.
type row struct {
	backend      Backend
	hash         uint64 // of the instance
	load         Load
	loadAt       time.Duration
	sent         [2]int // attempts of each class sent since the load was reported
	failures     int
	slowReports  int           // consecutive load reports with a slow step time
	ejectedUntil time.Duration // end of the last ejection
	ejectTime    time.Duration // length of the last ejection, zero if there was none
}

// Table holds the backend servers. It is not safe for concurrent use.
type Table struct {
	region, zone string
	seed         uint64
	rng          *rand.Rand
	rows         map[string]*row
	pools        map[string]*pool
	eligible     []*row // scratch space of one Pick
}

// New returns an empty table for an entry process in a region and availability zone.
func New(region, zone string, seed uint64) *Table {
	return &Table{
		region: region,
		zone:   zone,
		seed:   seed,
		rng:    rand.New(rand.NewPCG(seed, seed)),
		rows:   make(map[string]*row),
		pools:  make(map[string]*pool),
	}
}

// Upsert adds a backend server or replaces its description. A new incarnation resets
// its load and its failures.
func (t *Table) Upsert(b Backend) {
	r, ok := t.rows[b.Instance]
	if ok && r.backend.Incarnation == b.Incarnation && r.backend.Service == b.Service {
		moved := r.backend.Region != b.Region
		r.backend = b
		t.pools[b.Service].stale = t.pools[b.Service].stale || moved
		return
	}
	t.Remove(b.Instance)
	r = &row{backend: b, hash: xxhash.Sum64String(b.Instance)}
	t.rows[b.Instance] = r
	t.poolOf(b.Service).add(r)
}

// Remove removes a backend server.
func (t *Table) Remove(instance string) {
	r, ok := t.rows[instance]
	if !ok {
		return
	}
	delete(t.rows, instance)
	p := t.pools[r.backend.Service]
	p.remove(r)
	if len(p.all) == 0 {
		delete(t.pools, r.backend.Service)
	}
}

// Observe records a load report.
func (t *Table) Observe(now time.Duration, instance string, l Load) {
	r, ok := t.rows[instance]
	if !ok {
		return
	}
	r.load, r.loadAt, r.sent = l, now, [2]int{}
	t.checkSlow(now, r)
}

// Backends returns the backend servers in order of instance.
func (t *Table) Backends() []Backend {
	out := make([]Backend, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r.backend)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
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

// Ejected reports whether an instance is currently ejected.
func (t *Table) Ejected(now time.Duration, instance string) bool {
	r, ok := t.rows[instance]
	return ok && now < r.ejectedUntil
}

func (t *Table) poolOf(service string) *pool {
	p, ok := t.pools[service]
	if !ok {
		p = &pool{}
		t.pools[service] = p
	}
	return p
}
