package gateway

import (
	"sync"
	"time"
)

const (
	// queueTimeFraction is the fraction of its remaining time for which a request waits for
	// a free slot. Callers honour a Retry-After of up to a third of their time, so one that
	// is refused then can still be served by another gateway.
	queueTimeFraction = 1.0 / 3
	// refusedWaitFactor is the fraction of the route's FirstByteObjective for which a
	// request that backend servers have refused is tried again: they are fuller than this
	// gateway knows, and another gateway may know better.
	refusedWaitFactor = 0.2
)

// queueUntil returns until when a request waits for a free slot. It answers bursts that
// exceed the slots for less than a second or two: a caller that is refused returns later
// than the next slot becomes free.
func queueUntil(received, deadline time.Time, objective time.Duration, refused bool) time.Time {
	if refused {
		return received.Add(time.Duration(float64(objective) * refusedWaitFactor))
	}
	return received.Add(time.Duration(float64(deadline.Sub(received)) * queueTimeFraction))
}

// queue orders the requests that wait for a free slot. While a service has waiting requests
// that can still be answered within their objective, those that can't yield to them, so
// that a burst makes few requests late instead of all. Its zero value is empty.
type queue struct {
	mu sync.Mutex
	// inTime counts the waiting requests by service that can meet their objective.
	inTime map[string]int
}

// waiter is the place of one request in a queue.
type waiter struct {
	queue   *queue
	service string
	// objective is the time until which an answer is in time.
	objective time.Time
	counted   bool
}

func (q *queue) waiter(service string, objective time.Time) *waiter {
	return &waiter{queue: q, service: service, objective: objective}
}

// yields reports whether other requests go first.
func (w *waiter) yields(now time.Time) bool {
	if now.Before(w.objective) {
		return false
	}
	w.leave()
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	return w.queue.inTime[w.service] > 0
}

// join makes the request wait in the queue.
func (w *waiter) join(now time.Time) {
	if w.counted || !now.Before(w.objective) {
		return
	}
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.queue.inTime == nil {
		w.queue.inTime = make(map[string]int)
	}
	w.queue.inTime[w.service]++
	w.counted = true
}

// leave ends the wait.
func (w *waiter) leave() {
	if !w.counted {
		return
	}
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	w.counted = false
	if w.queue.inTime[w.service]--; w.queue.inTime[w.service] == 0 {
		delete(w.queue.inTime, w.service)
	}
}
