package routing

import (
	"time"

	"github.com/catkinrudder/catkinrudder/quota"
)

// Limit bounds the usage of one workspace. A zero field is unlimited.
type Limit struct {
	// RequestsPerSecond and Burst are the rate and the size of the token bucket.
	RequestsPerSecond float64
	Burst             int
	// MaxConcurrent bounds the requests that run at the same time.
	MaxConcurrent int
}

// Limiter admits the requests of workspaces by their limits, and by fair shares
// while the whole capacity is in use. It uses no clock of its own, and is not safe
// for concurrent use.
type Limiter struct {
	capacity   int
	running    int
	workspaces map[string]*workspaceState
}

type workspaceState struct {
	limit      Limit
	bucket     quota.Bucket
	refilledAt time.Duration
	running    int
}

// retryDelay is the time after which a workspace that exceeds its concurrency limit or
// its fair share may retry.
const retryDelay = time.Second

// NewLimiter returns a limiter that shares a capacity of concurrent requests. A
// capacity of zero is unlimited.
func NewLimiter(capacity int) *Limiter {
	return &Limiter{capacity: capacity, workspaces: make(map[string]*workspaceState)}
}

// SetCapacity changes the number of concurrent requests that workspaces share.
func (l *Limiter) SetCapacity(n int) { l.capacity = n }

// SetLimit applies the limit of a workspace.
func (l *Limiter) SetLimit(now time.Duration, workspace string, limit Limit) {
	s := l.workspace(now, workspace)
	s.refill(now)
	if s.limit == (Limit{}) {
		s.bucket.Level = limit.burst()
	}
	s.limit = limit
	s.bucket.Level = min(s.bucket.Level, limit.burst())
}

// Remove drops the limit of a workspace.
func (l *Limiter) Remove(workspace string) {
	if s, ok := l.workspaces[workspace]; ok {
		s.limit = Limit{}
		l.removeUnused(workspace, s)
	}
}

// Acquire admits a request, which the caller must end with Release. If it rejects
// the request, it returns the time after which a retry may succeed.
func (l *Limiter) Acquire(now time.Duration, workspace string) (ok bool, retryAfter time.Duration) {
	s := l.workspace(now, workspace)
	s.refill(now)
	defer l.removeUnused(workspace, s)
	if s.limit.MaxConcurrent > 0 && s.running >= s.limit.MaxConcurrent {
		return false, retryDelay
	}
	if l.capacity > 0 && l.running >= l.capacity && s.running >= l.share(s) {
		return false, retryDelay
	}
	if rate := s.limit.RequestsPerSecond; rate > 0 && !s.bucket.Take() {
		return false, s.bucket.UntilNext(rate)
	}
	s.running++
	l.running++
	return true, 0
}

// Release ends a request that Acquire admitted.
func (l *Limiter) Release(workspace string) {
	s, ok := l.workspaces[workspace]
	if !ok || s.running == 0 {
		return
	}
	s.running--
	l.running--
	l.removeUnused(workspace, s)
}

// share returns the fair share of a workspace: the capacity divided by the number of
// workspaces that run requests, including this one.
func (l *Limiter) share(s *workspaceState) int {
	active := 0
	for _, x := range l.workspaces {
		if x == s || x.running > 0 {
			active++
		}
	}
	return max(l.capacity/active, 1)
}

func (l *Limiter) workspace(now time.Duration, workspace string) *workspaceState {
	s, ok := l.workspaces[workspace]
	if !ok {
		s = &workspaceState{refilledAt: now}
		l.workspaces[workspace] = s
	}
	return s
}

// removeUnused drops a workspace that has no limit and runs no requests.
func (l *Limiter) removeUnused(workspace string, s *workspaceState) {
	if s.running == 0 && s.limit == (Limit{}) {
		delete(l.workspaces, workspace)
	}
}

func (s *workspaceState) refill(now time.Duration) {
	s.bucket.Refill(s.limit.RequestsPerSecond, s.limit.burst(), now-s.refilledAt)
	s.refilledAt = now
}

// burst returns the size of the token bucket, which is at least one request.
func (l Limit) burst() float64 { return float64(max(l.Burst, 1)) }
