package event

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// LineLimiter bounds the rate of the routine log lines that a process writes.
// Refusals, failures and changes in the state that a process acts on are never
// suppressed.
type LineLimiter struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

// NewLineLimiter returns a limiter that allows the given number of routine lines
// per second, with a burst of the same size.
func NewLineLimiter(linesPerSecond int) *LineLimiter {
	return &LineLimiter{limiter: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond)}
}

// Suppressed returns the number of lines that were suppressed.
func (l *LineLimiter) Suppressed() int64 { return l.suppressed.Load() }

func (l *LineLimiter) allow() bool {
	if l.limiter.Allow() {
		return true
	}
	l.suppressed.Add(1)
	return false
}

// lineLimiter is the limiter of the process; nil means no limit.
var lineLimiter atomic.Pointer[LineLimiter]

// SetLineLimiter sets the limiter of the process; nil means no limit.
func SetLineLimiter(l *LineLimiter) { lineLimiter.Store(l) }

// rateLimited lists the events that a LineLimiter bounds. Every request and every
// batch item logs some of them in normal operation.
var rateLimited = map[ID]bool{
	RequestRouted: true, RequestDone: true, ItemPlaced: true, ItemDone: true, ItemsHeld: true, ItemRequeued: true,
	BatchPreempted: true, AttemptAdmitted: true,
}

func allowed(id ID) bool {
	l := lineLimiter.Load()
	return l == nil || !rateLimited[id] || l.allow()
}
