package bench

import (
	"sort"
	"time"

	"github.com/catkinrudder/catkinrudder/routing"
)

// leastWorkRow is the state of one backend server in leastWorkTable.
type leastWorkRow struct {
	backend         routing.Backend
	load            routing.Load
	sentSinceReport int // attempts sent since the last load report
	failures        int
	ejectedUntil    time.Duration
}

// leastWorkTable is the first routing policy of this project, kept as a
// baseline. It picks the backend server with the least outstanding work,
// regardless of zone and region.
type leastWorkTable struct {
	rows map[string]*leastWorkRow
}

func newLeastWorkTable() *leastWorkTable {
	return &leastWorkTable{rows: make(map[string]*leastWorkRow)}
}

// Upsert adds a backend server or updates its address and incarnation. A new
// incarnation resets load and failures.
func (t *leastWorkTable) Upsert(b routing.Backend) {
	r, ok := t.rows[b.Instance]
	if !ok || r.backend.Incarnation != b.Incarnation {
		t.rows[b.Instance] = &leastWorkRow{backend: b}
		return
	}
	r.backend = b
}

// Observe records a load report.
func (t *leastWorkTable) Observe(_ time.Duration, instance string, l routing.Load) {
	if r, ok := t.rows[instance]; ok {
		r.load, r.sentSinceReport = l, 0
	}
}

// RecordResult records the result of an attempt. It reports whether that result
// ejected the backend server.
func (t *leastWorkTable) RecordResult(now time.Duration, instance string, res routing.Result) bool {
	r, ok := t.rows[instance]
	if !ok {
		return false
	}
	if res != routing.Failed {
		r.failures = 0
		return false
	}
	r.failures++
	if r.failures < leastWorkEjectAfter {
		return false
	}
	r.failures = 0
	r.ejectedUntil = now + leastWorkEjectFor
	return true
}

const (
	leastWorkEjectAfter = 3
	leastWorkEjectFor   = 2 * time.Second
)

// Pick chooses a backend server; ok is false if none is eligible.
func (t *leastWorkTable) Pick(now time.Duration, q routing.Request) (routing.Decision, bool) {
	var best *leastWorkRow
	for _, r := range t.sorted() {
		if !t.eligible(now, r, q) {
			continue
		}
		if best == nil || r.work() < best.work() {
			best = r
		}
	}
	if best == nil {
		return routing.Decision{}, false
	}
	best.sentSinceReport++
	return routing.Decision{Backend: best.backend, Reason: routing.LeastLoaded}, true
}

// BatchRoom returns how many more batch attempts of a service would start at
// once.
func (t *leastWorkTable) BatchRoom(now time.Duration, service string) int {
	room := 0
	for _, r := range t.rows {
		if r.backend.Service == service && t.eligible(now, r, routing.Request{Service: service}) {
			room += max(r.load.BatchRoom-r.sentSinceReport, 0)
		}
	}
	return room
}

func (t *leastWorkTable) sorted() []*leastWorkRow {
	out := make([]*leastWorkRow, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].backend.Instance < out[j].backend.Instance })
	return out
}

func (t *leastWorkTable) eligible(now time.Duration, r *leastWorkRow, q routing.Request) bool {
	if r.backend.Service != q.Service || r.backend.Incarnation == "" || r.load.Draining || now < r.ejectedUntil {
		return false
	}
	for _, x := range q.Exclude {
		if x == r.backend.Instance {
			return false
		}
	}
	return true
}

func (r *leastWorkRow) work() int {
	return r.load.RunningOnline + r.load.RunningBatch + r.load.QueuedOnline + r.load.QueuedBatch + r.sentSinceReport
}
