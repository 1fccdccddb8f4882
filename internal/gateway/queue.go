package gateway

import (
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/waiting"
)

// queue holds the lines of those who wait at this gateway and what is measured of the
// services. Its zero value is empty.
type queue struct {
	mu       sync.Mutex
	services map[string]*serviceQueue
	// limits are those of the callers of each route.
	limits map[string]*waiting.Limits
}

// serviceQueue is the part of a queue that concerns one service.
type serviceQueue struct {
	line    waiting.Line
	pace    waiting.Pace
	returns waiting.Returns
	// hold is how long requests hold a slot, start how long their first byte takes.
	hold, start waiting.Mean
	// released counts the slots that this gateway has freed since a request last tried, and
	// nextChance is when the head may try for others.
	released   int
	nextChance time.Time
	// turns has the channel of each request in the line; see place.turn.
	turns map[*waiting.Waiter]chan struct{}
}

// service returns the part of a service. The caller holds mu.
func (q *queue) service(name string) *serviceQueue {
	if q.services == nil {
		q.services = make(map[string]*serviceQueue)
	}
	s := q.services[name]
	if s == nil {
		s = &serviceQueue{turns: make(map[*waiting.Waiter]chan struct{})}
		q.services[name] = s
	}
	return s
}

// spent returns the time that a caller has probably spent at other gateways before a request
// on a route.
func (q *queue) spent(route string, limit time.Duration, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limits == nil {
		q.limits = make(map[string]*waiting.Limits)
	}
	l := q.limits[route]
	if l == nil {
		l = &waiting.Limits{}
		q.limits[route] = l
	}
	return l.Observe(limit, now)
}

// slotReleased records that this gateway frees a slot of a service. The other gateways do not
// know of it yet.
func (q *queue) slotReleased(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.service(service); s.line.Len() > 0 {
		s.released++
	}
}

// completed records how long a request held its slot and how long its first byte took.
func (q *queue) completed(service string, hold, start time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(service)
	s.hold.Add(hold)
	s.start.Add(start)
}

// waitingByService returns how many requests wait by the key of the service.
func (q *queue) waitingByService(now time.Time) map[uint32]waiting.Count {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out map[uint32]waiting.Count
	for name, s := range q.services {
		if n := s.line.Count(now, s.start.Bound()); n.All > 0 {
			if out == nil {
				out = make(map[uint32]waiting.Count)
			}
			out[balance.Key(name)] = n
		}
	}
	return out
}

// head returns the request that goes first. The caller holds the queue's lock.
func (s *serviceQueue) head(now time.Time) *waiting.Waiter {
	return s.line.Head(now, s.start.Bound())
}

// passTurn wakes the head of the line. The caller holds the queue's lock.
func (s *serviceQueue) passTurn(now time.Time) {
	if head := s.head(now); head != nil {
		select {
		case s.turns[head] <- struct{}{}:
		default:
		}
	}
}
