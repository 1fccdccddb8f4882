package routing

import "time"

// Limit bounds what one workspace may use; zero is unlimited.
type Limit struct {
	// PerSecond and Burst shape the token bucket of requests.
	RequestsPerSecond float64
	Burst             int
	// MaxRunning bounds the requests that run at once.
	MaxConcurrent int
}

// Limiter admits the requests of workspaces by their limits, and by fair
// shares while the capacity is in use. It is pure, and not safe for concurrent
// use.
type Limiter struct {
	capacity int
	running  int
	spaces   map[string]*space
}

type space struct {
	limit   Limit
	tokens  float64
	filled  time.Duration
	running int
}

// shareWait is what a workspace beyond its fair share is told to wait.
const shareWait = time.Second

// NewLimiter returns a limiter that shares a capacity of concurrent requests;
// zero is unlimited.
func NewLimiter(capacity int) *Limiter {
	return &Limiter{capacity: capacity, spaces: make(map[string]*space)}
}

// SetCapacity changes the capacity.
func (l *Limiter) SetCapacity(n int) { l.capacity = n }

// SetLimit puts a workspace's limit in force.
func (l *Limiter) SetLimit(now time.Duration, workspace string, limit Limit) {
	s := l.space(now, workspace)
	s.refill(now)
	if s.limit == (Limit{}) {
		s.tokens = limit.burst()
	}
	s.limit = limit
	s.tokens = min(s.tokens, limit.burst())
}

// Remove forgets the limit of a workspace.
func (l *Limiter) Remove(workspace string) {
	if s, ok := l.spaces[workspace]; ok {
		s.limit = Limit{}
		l.forget(workspace, s)
	}
}

// Acquire admits a request, which Release must end, or says after what time a
// retry helps.
func (l *Limiter) Acquire(now time.Duration, workspace string) (ok bool, retryAfter time.Duration) {
	s := l.space(now, workspace)
	s.refill(now)
	defer l.forget(workspace, s)
	if s.limit.MaxConcurrent > 0 && s.running >= s.limit.MaxConcurrent {
		return false, shareWait
	}
	if l.capacity > 0 && l.running >= l.capacity && s.running >= l.share(s) {
		return false, shareWait
	}
	if s.limit.RequestsPerSecond > 0 {
		if s.tokens < 1 {
			return false, time.Duration((1 - s.tokens) / s.limit.RequestsPerSecond * float64(time.Second))
		}
		s.tokens--
	}
	s.running++
	l.running++
	return true, 0
}

// Release ends a request that Acquire admitted.
func (l *Limiter) Release(workspace string) {
	s, ok := l.spaces[workspace]
	if !ok || s.running == 0 {
		return
	}
	s.running--
	l.running--
	l.forget(workspace, s)
}

// share is the fair share of a workspace: the capacity over the workspaces
// that run requests, itself included.
func (l *Limiter) share(s *space) int {
	users := 0
	for _, x := range l.spaces {
		if x == s || x.running > 0 {
			users++
		}
	}
	return max(l.capacity/users, 1)
}

func (l *Limiter) space(now time.Duration, workspace string) *space {
	s, ok := l.spaces[workspace]
	if !ok {
		s = &space{filled: now}
		l.spaces[workspace] = s
	}
	return s
}

// forget drops a workspace without limit that runs nothing.
func (l *Limiter) forget(workspace string, s *space) {
	if s.running == 0 && s.limit == (Limit{}) {
		delete(l.spaces, workspace)
	}
}

func (s *space) refill(now time.Duration) {
	s.tokens = min(s.tokens+(now-s.filled).Seconds()*s.limit.RequestsPerSecond, s.limit.burst())
	s.filled = now
}

// burst is the size of the token bucket, at least one request.
func (l Limit) burst() float64 { return float64(max(l.Burst, 1)) }
