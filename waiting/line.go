package waiting

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Line holds the requests that wait for a service at one gateway, in one order:
//
//  1. the priority;
//  2. those that can still be in time before those that can't;
//  3. a fair turn between workspaces: the one that was served least of late goes first;
//  4. those that come back before new ones;
//  5. the order of arrival.
//
// The zero value is empty.
type Line struct {
	waiters []*Waiter
	shares  shares
	joined  uint64
}

// Waiter is a request in a line.
type Waiter struct {
	Claim
	// number counts the requests that have joined the line.
	number uint64
}

// Len returns how many requests wait.
func (l *Line) Len() int { return len(l.waiters) }

// Count returns how many requests wait as of now.
func (l *Line) Count(now time.Time, start time.Duration) Count {
	c := Count{All: len(l.waiters)}
	for _, w := range l.waiters {
		if w.CanBeInTime(now, start) {
			c.InTime++
		}
	}
	return c
}

// Join adds a request.
func (l *Line) Join(c Claim) *Waiter {
	l.joined++
	w := &Waiter{Claim: c, number: l.joined}
	l.waiters = append(l.waiters, w)
	return w
}

// Leave removes a request.
func (l *Line) Leave(w *Waiter) {
	if i := slices.Index(l.waiters, w); i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
	}
}

// Served records that a request of a workspace was sent to a backend server, whether it has
// waited or not.
func (l *Line) Served(workspace string, now time.Time) { l.shares.add(workspace, now) }

// Head returns the request that is served next, or nil. start is the time from sending a
// request until its first byte.
func (l *Line) Head(now time.Time, start time.Duration) *Waiter {
	var head position
	for _, w := range l.waiters {
		if p := l.position(w, now, start); head.w == nil || p.compare(head) < 0 {
			head = p
		}
	}
	return head.w
}

// Ahead returns how many requests go before w as of now, if workspaces take turns.
func (l *Line) Ahead(w *Waiter, now time.Time, start time.Duration) int {
	own := l.position(w, now, start)
	ahead, turn := 0, 0
	others := make(map[string]int)
	for _, other := range l.waiters {
		p := l.position(other, now, start)
		switch c := p.compareClass(own); {
		case c < 0:
			ahead++
		case c > 0 || other == w:
		case other.Workspace != w.Workspace:
			others[other.Workspace]++
		case p.compareWithinWorkspace(own) < 0:
			turn++
		}
	}
	for workspace, n := range others {
		turns := math.Ceil(own.share + float64(turn) - l.shares.of(workspace, now))
		ahead += min(max(int(turns), 0), n)
	}
	return ahead + turn
}

// position is what the place of a request follows from.
type position struct {
	w    *Waiter
	late bool
	// share is what the workspace was served of late.
	share float64
}

func (l *Line) position(w *Waiter, now time.Time, start time.Duration) position {
	return position{w: w, late: !w.CanBeInTime(now, start), share: l.shares.of(w.Workspace, now)}
}

// compare orders positions; the first one is served first.
func (p position) compare(q position) int {
	return cmp.Or(p.compareClass(q), cmp.Compare(p.share, q.share), p.compareWithinWorkspace(q))
}

// compareClass orders requests between which workspaces take no turns.
func (p position) compareClass(q position) int {
	return cmp.Or(cmp.Compare(p.w.Priority, q.w.Priority), compareFlags(q.late, p.late))
}

// compareWithinWorkspace orders the requests of one workspace.
func (p position) compareWithinWorkspace(q position) int {
	return cmp.Or(compareFlags(p.w.Returned, q.w.Returned), cmp.Compare(p.w.number, q.w.number))
}

// compareFlags orders what is set before what is not.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
