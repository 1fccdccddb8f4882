package routing

import (
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
)

// pickBatch chooses the backend server with the most room for batch attempts: one of
// the entry process's region if any has room, otherwise one of another region that runs
// no online attempt. If none has room, it chooses the one with the shortest batch queue.
func (t *Table) pickBatch(now time.Duration, p *pool, q Request) (*row, Reason) {
	if r, ok := t.rows[q.Prefer]; ok && eligible(now, r, q) {
		return r, Resume
	}
	if r := t.mostRoom(now, p.nearSubset, q); r != nil {
		return r, LeastLoaded
	}
	if r := t.mostRoom(now, p.farSubset, q); r != nil {
		return r, Spill
	}
	if r := shortestQueue(now, p.near, q); r != nil {
		return r, LeastLoaded
	}
	return shortestQueue(now, p.far, q), Spill
}

// shortestQueue returns the eligible row with the fewest queued batch attempts, or nil.
func shortestQueue(now time.Duration, rows []*row, q Request) *row {
	var best *row
	least := 0
	for _, r := range rows {
		n := r.load.QueuedBatch + r.sent[admission.Batch]
		if eligible(now, r, q) && (best == nil || n < least) {
			best, least = r, n
		}
	}
	return best
}

// mostRoom returns the eligible row with the most room, or nil if none has any. The
// scan starts at a random row, so that equal rows share the load.
func (t *Table) mostRoom(now time.Duration, rows []*row, q Request) *row {
	var best *row
	most := 0
	if len(rows) == 0 {
		return nil
	}
	first := t.rng.IntN(len(rows))
	for i := range rows {
		r := rows[(first+i)%len(rows)]
		if room := t.roomOf(r); room > most && eligible(now, r, q) {
			best, most = r, room
		}
	}
	return best
}

// roomOf returns how many batch attempts this entry process may send to a row.
// Another region is only worth the traffic between regions while the row runs no online
// attempt.
func (t *Table) roomOf(r *row) int {
	if r.backend.Region != t.region && r.load.RunningOnline+r.load.QueuedOnline > 0 {
		return 0
	}
	return max(r.load.BatchRoom-r.sent[admission.Batch], 0)
}

// BatchRoom returns how many more batch attempts of a service the backend servers
// accept from this entry process.
func (t *Table) BatchRoom(now time.Duration, service string) int {
	p, ok := t.pools[service]
	if !ok {
		return 0
	}
	p.refresh(t.region, t.seed)
	q := Request{Service: service}
	room := 0
	for _, rows := range [2][]*row{p.nearSubset, p.farSubset} {
		for _, r := range rows {
			if eligible(now, r, q) {
				room += t.roomOf(r)
			}
		}
	}
	return room
}
