package entry

import (
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/routing"
)

// limiter enforces the workspaces' limits on online requests and the retry
// budget. Each entry grants its share of a workspace's limits; this relies on the
// load balancer distributing requests evenly. mu guards the fields below it.
type limiter struct {
	epoch time.Time

	mu         sync.Mutex
	workspaces *routing.Limiter
	retries    *routing.RetryBudget
	limits     map[string]routing.Limit
}

func newLimiter() *limiter {
	return &limiter{
		epoch:      time.Now(),
		workspaces: routing.NewLimiter(0),
		retries:    routing.NewRetryBudget(),
		limits:     make(map[string]routing.Limit),
	}
}

// acquire admits one online request of a workspace, or rejects it at once with
// the time after which to retry. release must be called for every admitted request.
func (l *limiter) acquire(ws desired.Workspace, entries int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Since(l.epoch)
	limit := shareOf(ws.Limits, max(entries, 1))
	if l.limits[ws.Name] != limit {
		l.limits[ws.Name] = limit
		l.workspaces.SetLimit(now, ws.Name, limit)
	}
	ok, wait := l.workspaces.Acquire(now, ws.Name)
	if !ok {
		return errkind.New(errkind.RateLimited, "workspace %q is over its limits", ws.Name).WithRetryAfter(wait)
	}
	l.retries.RecordFirstAttempt()
	return nil
}

func (l *limiter) release(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workspaces.Release(workspace)
}

// retry takes one retry from the budget and reports whether there was one.
func (l *limiter) retry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retries.TakeRetry()
}

// shareOf returns one entry's share of a workspace's limits.
func shareOf(w desired.Limits, entries int) routing.Limit {
	return routing.Limit{
		RequestsPerSecond: w.RequestsPerSecond / float64(entries),
		Burst:             share(w.Burst, entries),
		MaxConcurrent:     share(w.MaxOnline, entries),
	}
}

// share returns one entry's share of total, rounded up, so that it is at least 1
// unless total is zero.
func share(total, entries int) int { return (total + entries - 1) / entries }
