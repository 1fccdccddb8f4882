package event

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// LineLimiter bounds how many ordinary lines a process writes. Refusals, failures and
// changes of what a process believes are never left out.
type LineLimiter struct {
	limiter *rate.Limiter
	left    atomic.Int64
}

// NewLineLimiter returns a budget of ordinary lines a second; a second's worth may be
// written at once.
func NewLineLimiter(linesPerSecond int) *LineLimiter {
	return &LineLimiter{limiter: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond)}
}

// Suppressed returns how many lines were left out.
func (b *LineLimiter) Suppressed() int64 { return b.left.Load() }

func (b *LineLimiter) allow() bool {
	if b.limiter.Allow() {
		return true
	}
	b.left.Add(1)
	return false
}

// budget is the process's budget; nil is no bound.
var budget atomic.Pointer[LineLimiter]

// SetLineLimiter sets the budget of the process; nil for no bound.
func SetLineLimiter(b *LineLimiter) { budget.Store(b) }

// ordinary lists the events that a budget bounds: each request and item has some
// of them when all goes well.
var ordinary = map[ID]bool{
	RequestRouted: true, RequestDone: true, ItemPlaced: true, ItemDone: true, ItemRequeued: true,
	BatchPreempted: true, AttemptAdmitted: true,
}

func allowed(id ID) bool {
	b := budget.Load()
	return b == nil || !ordinary[id] || b.allow()
}
