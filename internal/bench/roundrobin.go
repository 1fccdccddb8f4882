package bench

import (
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/routing"
)

// roundRobin picks the backend servers of each service in rotation.
type roundRobin struct {
	services map[string]*backendRing
	start    int // position at which each rotation starts; differs between entries
}

// backendRing holds the backend servers of one service.
type backendRing struct {
	rows []routing.Backend
	room []int // batch room of each row
	next int
}

// Upsert implements router.
func (t *roundRobin) Upsert(b routing.Backend) {
	r, ok := t.services[b.Service]
	if !ok {
		r = &backendRing{next: t.start}
		t.services[b.Service] = r
	}
	r.rows, r.room = append(r.rows, b), append(r.room, 0)
}

// Observe implements router.
func (t *roundRobin) Observe(_ time.Duration, instance string, l routing.Load) {
	for _, r := range t.services {
		for i := range r.rows {
			if r.rows[i].Instance == instance {
				r.room[i] = l.BatchRoom
			}
		}
	}
}

// RecordResult implements router.
func (t *roundRobin) RecordResult(time.Duration, string, routing.Result) bool { return false }

// Pick implements router. A batch item goes to the next backend server that has
// room.
func (t *roundRobin) Pick(_ time.Duration, q routing.Request) (routing.Decision, bool) {
	r, ok := t.services[q.Service]
	if !ok {
		return routing.Decision{}, false
	}
	for range r.rows {
		r.next++
		i := r.next % len(r.rows)
		if q.Class == admission.Batch {
			if r.room[i] <= 0 {
				continue
			}
			r.room[i]--
		}
		return routing.Decision{Backend: r.rows[i], Reason: routing.LeastLoaded}, true
	}
	return routing.Decision{}, false
}

// BatchRoom implements router.
func (t *roundRobin) BatchRoom(_ time.Duration, service string) int {
	n := 0
	if r, ok := t.services[service]; ok {
		for _, room := range r.room {
			n += max(room, 0)
		}
	}
	return n
}
