package routing

import (
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
)

// pickBatch chooses the backend server with the most room for batch, in the
// region if there is any, in another region if that one is idle. If none has
// room it chooses the shortest queue.
func (t *Table) pickBatch(now time.Duration, p *pool, q Request) (*row, Reason) {
	if r, ok := t.rows[q.Prefer]; ok && fit(now, r, q) {
		return r, Resume
	}
	if r := t.roomiest(now, p.local, q); r != nil {
		return r, LeastLoaded
	}
	if r := t.roomiest(now, p.remote, q); r != nil {
		return r, Spill
	}
	if r := shortestQueue(now, p.near, q); r != nil {
		return r, LeastLoaded
	}
	return shortestQueue(now, p.far, q), Spill
}

// shortestQueue returns the fit row with the least batch queued, or nil.
func shortestQueue(now time.Duration, rows []*row, q Request) *row {
	var best *row
	least := 0
	for _, r := range rows {
		n := r.load.QueuedBatch + r.sent[admission.Batch]
		if fit(now, r, q) && (best == nil || n < least) {
			best, least = r, n
		}
	}
	return best
}

// roomiest returns the fit row with the most room, or nil if none has any. The
// scan starts at random, so that equal rows share the work.
func (t *Table) roomiest(now time.Duration, rows []*row, q Request) *row {
	var best *row
	most := 0
	if len(rows) == 0 {
		return nil
	}
	first := t.rng.IntN(len(rows))
	for i := range rows {
		r := rows[(first+i)%len(rows)]
		if room := t.roomOf(r); room > most && fit(now, r, q) {
			best, most = r, room
		}
	}
	return best
}

// roomOf is how many batch attempts this entry may send to a row. Another
// region is worth its bytes only while it runs no online attempt.
func (t *Table) roomOf(r *row) int {
	if r.backend.Region != t.region && r.load.RunningOnline+r.load.QueuedOnline > 0 {
		return 0
	}
	return max(r.load.BatchRoom-r.sent[admission.Batch], 0)
}

// BatchRoom is how many more batch attempts of a service the backend servers
// want from this entry.
func (t *Table) BatchRoom(now time.Duration, service string) int {
	p, ok := t.pools[service]
	if !ok {
		return 0
	}
	p.refresh(t.region, t.seed)
	q := Request{Service: service}
	room := 0
	for _, rows := range [2][]*row{p.local, p.remote} {
		for _, r := range rows {
			if fit(now, r, q) {
				room += t.roomOf(r)
			}
		}
	}
	return room
}
