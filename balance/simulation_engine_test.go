package balance_test

import (
	"container/heap"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
)

type engine struct {
	running int
	queue   []*attempt
	// phases are the ends of the spans in which the engine is at one pace: the usual one and the
	// slow one by turns.
	phases []time.Time
}

type attempt struct {
	gateway, engine int
	class           balance.Class
	arrived         time.Time
	started         time.Time // zero until it has a slot
	ended           bool
	choice          balance.Choice
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// pace returns the pace of an engine at a time, and until when it stays.
func (s *sim) pace(e *engine, at time.Time) (pace float64, until time.Time) {
	i, _ := slices.BinarySearchFunc(e.phases, at, func(end, at time.Time) int {
		if end.After(at) {
			return 1
		}
		return -1
	})
	if i >= len(e.phases) {
		return 1, at.Add(time.Hour)
	}
	if i%2 == 0 {
		return 1, e.phases[i]
	}
	return s.slowPace, e.phases[i]
}

// timeFor returns how long an engine takes for work that begins now.
func (s *sim) timeFor(e *engine, work time.Duration) time.Duration {
	at := s.now
	for {
		pace, until := s.pace(e, at)
		needed := time.Duration(float64(work) * pace)
		if left := until.Sub(at); needed > left {
			work -= time.Duration(float64(left) / pace)
			at = until
			continue
		}
		return at.Add(needed).Sub(s.now)
	}
}

// random returns a random duration below d.
func (s *sim) random(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

func (s *sim) until(end time.Duration) {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.After(time.Unix(0, 0).Add(end)) {
			return
		}
		s.now = e.at
		e.run()
	}
}

func (s *sim) admit(e *engine) {
	for e.running < simSlots && len(e.queue) > 0 {
		a := e.queue[0]
		e.queue = e.queue[1:]
		if a.ended {
			continue
		}
		a.started = s.now
		e.running++
		duration := s.batchTime
		if a.class == balance.Online {
			pace, _ := s.pace(e, s.now)
			first := time.Duration(float64(s.firstByte) * pace)
			if regions := s.regionOf(); regions[s.zoneOf(a.gateway)] != regions[s.zoneOf(a.engine)] {
				first += regionRoundTrip
			}
			s.waits = append(s.waits, s.now.Add(first).Sub(a.arrived))
			s.gateways[a.gateway].ObserveFirstByte(a.choice, s.now.Add(first).Sub(a.arrived), s.now.Add(first))
			duration = s.onlineTime/2 + s.random(s.onlineTime)
		}
		if pace, _ := s.pace(e, s.now); s.statesPace {
			s.gateways[a.gateway].ObservePace(s.backends[a.engine].ID, pace, s.now)
			s.report(a.gateway)
		}
		s.after(s.timeFor(e, duration), func() { s.end(a) })
	}
}

func (s *sim) end(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	if !a.started.IsZero() {
		s.engines[a.engine].running--
		s.busy += s.now.Sub(a.started)
	}
	s.gateways[a.gateway].Release(s.backends[a.engine].ID, a.class)
	s.report(a.gateway)
	s.admit(s.engines[a.engine])
}
