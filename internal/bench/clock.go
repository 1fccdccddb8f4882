package bench

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with an event queue. Events with the same time run in
// the order in which they were scheduled.
type clock struct {
	now   time.Duration
	seq   uint64
	queue eventQueue
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	n := len(old) - 1
	x := old[n]
	old[n] = event{}
	*q = old[:n]
	return x
}

// after schedules run at the time d from now.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + d, seq: c.seq, run: run})
}

// runUntil runs events in order until the clock reaches end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		ev := heap.Pop(&c.queue).(event)
		c.now = ev.at
		ev.run()
	}
	c.now = end
}
