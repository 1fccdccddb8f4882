package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/waiting"
)

// recheckInterval is the time after which a request that waits behind others is judged again.
const recheckInterval = 100 * time.Millisecond

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
	late := !p.claim.CanBeInTime(now, s.start.Bound())
	chance := waiting.Chance(free, late, elsewhere)
	switch {
	case chance >= 1:
		s.released = 0
		return true
	case s.released > 0 && (!late || elsewhere.InTimeAt == 0):
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

// refusalReason returns why the request is refused if it can't go on waiting.
func (p *place) refusalReason() waiting.Reason {
	if p.w == nil {
		return waiting.AtArrival
	}
	return waiting.AfterWait
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
