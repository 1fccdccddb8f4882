package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/waiting"
)

// recheckInterval is the time after which a request that waits behind others is judged again.
const recheckInterval = 100 * time.Millisecond

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
func (q *queue) waitingByService() map[uint32]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out map[uint32]int
	for name, s := range q.services {
		if n := s.line.Len(); n > 0 {
			if out == nil {
				out = make(map[uint32]int)
			}
			out[balance.Key(name)] = n
		}
	}
	return out
}

// place is the place of one request in the queue of its service.
type place struct {
	q       *queue
	service *serviceQueue
	claim   waiting.Claim
	metrics *Metrics
	name    string
	// w is nil until the request waits.
	w *waiting.Waiter
	// turn receives a token when the request has become the head of the line.
	turn chan struct{}
}

func (q *queue) place(service string, c waiting.Claim, m *Metrics) *place {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &place{q: q, service: q.service(service), claim: c, metrics: m, name: service, turn: make(chan struct{}, 1)}
}

// mayTry reports whether the request goes before all that wait for the service. If others
// wait, it joins them.
func (p *place) mayTry(now time.Time) bool {
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	if p.w == nil && p.service.line.Len() == 0 {
		return true
	}
	p.join(now)
	if p.service.head(now) == p.w {
		return true
	}
	p.service.passTurn(now)
	return false
}

// hasChance reports whether the request tries for a slot now, of free ones that other
// gateways see as well.
func (p *place) hasChance(free int, elsewhere waiting.Elsewhere, now time.Time) bool {
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	s := p.service
	chance := waiting.Chance(free, elsewhere)
	switch {
	case chance >= 1:
		s.released = 0
		return true
	case s.released > 0:
		s.released--
		return true
	case now.Before(s.nextChance):
		return false
	}
	s.nextChance = now.Add(waiting.ChanceInterval)
	return rand.Float64() < chance
}

// wait makes the request wait in the line.
func (p *place) wait(now time.Time) {
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	p.join(now)
}

// join adds the request to the line. The caller holds the queue's lock.
func (p *place) join(now time.Time) {
	if p.w != nil {
		return
	}
	p.w = p.service.line.Join(p.claim)
	p.service.turns[p.w] = p.turn
	p.service.pace.Observe(true, now)
	p.metrics.waitingNow(p.name, p.service.line.Len())
}

// served records that the request was sent to a backend server.
func (p *place) served(now time.Time) {
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	p.service.line.Served(p.claim.Workspace, now)
	if p.w != nil {
		p.service.pace.Granted(now)
	}
}

// leave ends the wait; the next request gets its turn.
func (p *place) leave() {
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	if p.w == nil {
		return
	}
	now := time.Now()
	p.service.line.Leave(p.w)
	delete(p.service.turns, p.w)
	p.w = nil
	p.service.pace.Observe(p.service.line.Len() > 0, now)
	p.metrics.waitingNow(p.name, p.service.line.Len())
	p.service.passTurn(now)
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

// engineQueueCut returns by how many the number of requests that may wait at an engine is lowered.
func (p *place) engineQueueCut() int {
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	return balance.MaxQueuedOnline - waiting.EngineQueue(balance.MaxQueuedOnline, p.service.hold, p.claim.Objective)
}

// judgement is what was decided about a request that found no slot.
type judgement struct {
	reason   waiting.Reason
	forecast waiting.Forecast
	// until is until when the request waits if reason is waiting.None.
	until time.Time
}

// judge decides whether the request goes on waiting for one of slots.
func (p *place) judge(slots int, elsewhere waiting.Elsewhere, serversRefused bool, now time.Time) judgement {
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	s := p.service
	ahead := s.line.Len()
	if p.w != nil {
		ahead = s.line.Ahead(p.w, now, s.start.Bound())
	}
	f := waiting.Expect(ahead, waiting.Slots{Count: slots, Hold: s.hold, Start: s.start}, &s.pace, elsewhere, now)
	reason, until := waiting.Decide(p.claim, f, serversRefused, now)
	return judgement{reason: reason, forecast: f, until: until}
}

// comeBack returns when the caller of a refused request should come back.
func (p *place) comeBack(j judgement, now time.Time) time.Duration {
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	return p.service.returns.After(p.claim, j.reason, j.forecast, now, rand.Float64())
}

// await waits until the request should try again: the head of the line after each change of
// the balance table, the others once they have become the head.
func (p *place) await(ctx context.Context, changed <-chan struct{}, until time.Time) {
	p.q.mu.Lock()
	head := p.service.head(time.Now()) == p.w
	p.q.mu.Unlock()
	longest := recheckInterval
	if head {
		longest = refusedRetryDelay
	} else {
		changed = nil
	}
	t := time.NewTimer(min(time.Until(until), longest) + time.Millisecond)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-p.turn:
	case <-t.C:
	}
}
