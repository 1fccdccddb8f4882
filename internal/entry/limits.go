package entry

import (
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/routing"
)

// limiter enforces the workspaces' limits on live requests and the budget for
// retries. Each entry allows its share of a workspace's limits, the balancer
// spreading requests evenly. mu guards the rest.
type limiter struct {
	epoch time.Time

	mu      sync.Mutex
	spaces  *routing.Limiter
	retries *routing.RetryBudget
	limits  map[string]routing.Limit
}

func newLimiter() *limiter {
	return &limiter{
		epoch:   time.Now(),
		spaces:  routing.NewLimiter(0),
		retries: routing.NewRetryBudget(),
		limits:  make(map[string]routing.Limit),
	}
}

// enter takes one live request of a workspace in, or refuses it at once with
// when to come back. leave must be called for every request taken in.
func (l *limiter) enter(ws desired.Workspace, entries int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Since(l.epoch)
	limit := shareOf(ws.Limits, max(entries, 1))
	if l.limits[ws.Name] != limit {
		l.limits[ws.Name] = limit
		l.spaces.SetLimit(now, ws.Name, limit)
	}
	ok, wait := l.spaces.Acquire(now, ws.Name)
	if !ok {
		return errkind.New(errkind.RateLimited, "workspace %q is over its limits", ws.Name).WithRetryAfter(wait)
	}
	l.retries.RecordFirstAttempt()
	return nil
}

func (l *limiter) leave(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spaces.Release(workspace)
}

// retry takes one retry from the budget.
func (l *limiter) retry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retries.TakeRetry()
}

// shareOf is one entry's part of a workspace's limits.
func shareOf(w desired.Limits, entries int) routing.Limit {
	return routing.Limit{
		RequestsPerSecond: w.RequestsPerSecond / float64(entries),
		Burst:             share(w.Burst, entries),
		MaxConcurrent:     share(w.MaxOnline, entries),
	}
}

// share is one entry's part of a whole number, at least one unless it is zero.
func share(whole, entries int) int { return (whole + entries - 1) / entries }
