package balance

import "time"

const (
	// firstSuspicion is how long a backend server is avoided after a failure;
	// the time doubles with each further one, up to longestSuspicion.
	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 4 * time.Second
	// failuresToSuspect is how many failures in a row make a backend server
	// suspect, if they do not show that it is unreachable.
	failuresToSuspect = 3
)

// health is what the outcomes of this entry's own attempts say of a backend
// server.
type health struct {
	failures int
	until    time.Time
	span     time.Duration
}

// Succeeded notes a whole answer of a backend server.
func (t *Table) Succeeded(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.health, id)
}

// Failed notes a failed attempt. unreachable says that the backend server could
// not be reached at all, which is reason enough to avoid it.
func (t *Table) Failed(id string, unreachable bool, now time.Time) (avoided time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.health[id]
	if h == nil {
		h = &health{}
		t.health[id] = h
	}
	h.failures++
	if !unreachable && h.failures < failuresToSuspect {
		return 0
	}
	if now.Before(h.until) {
		return 0
	}
	h.span = min(max(2*h.span, firstSuspicion), longestSuspicion)
	h.until = now.Add(h.span)
	return h.span
}

func (t *Table) suspect(id string, now time.Time) bool {
	h := t.health[id]
	return h != nil && now.Before(h.until)
}
