package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

const (
	// firstSuspicion is how long a backend server is avoided after failures; the
	// time doubles with each further suspicion, up to longestSuspicion.
	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 4 * time.Second
	// A failure adds one to a backend server's score and a success multiplies it
	// by scoreDecay; from suspectScore on it is avoided, so that two failures
	// with one success between them are enough and one never is.
	scoreDecay   = 0.6
	suspectScore = 1.5
	// forgottenScore is what counts as none.
	forgottenScore = 0.1
)

// health is what the outcomes of this entry's own attempts say of a backend
// server. Its answers to health checks are not asked for: they may be false.
type health struct {
	score float64
	until time.Time
	span  time.Duration
}

// RecordSuccess notes a whole answer of a backend server.
func (t *Table) RecordSuccess(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.health[id]
	if h == nil {
		return
	}
	h.score *= scoreDecay
	if h.score < forgottenScore {
		delete(t.health, id)
	}
}

// RecordFailure notes a failed attempt. unreachable says that the backend server could
// not be reached at all, which is reason enough to avoid it. It returns for how
// long the backend server is avoided from now on, 0 if nothing changes.
func (t *Table) RecordFailure(id string, unreachable bool, now time.Time) (avoided time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shared := t.countFailure(id, now)
	h := t.health[id]
	if h == nil {
		h = &health{}
		t.health[id] = h
	}
	h.score++
	if !unreachable && h.score < suspectScore || now.Before(h.until) {
		return shared
	}
	h.span = nextSpan(h.span)
	h.until = now.Add(h.span)
	return max(h.span, shared)
}

func (t *Table) suspect(id string, now time.Time) bool {
	if h := t.health[id]; h != nil && now.Before(h.until) {
		return true
	}
	if len(t.evidence) == 0 {
		return false
	}
	e := t.evidence[Key(id)]
	return e != nil && now.Before(e.until)
}

// mostSuspect reports whether more than half of the candidates are suspect. The
// fault is then more likely on this side or in the requests, and to avoid them
// would only crowd the others.
func (t *Table) mostSuspect(candidates []catalog.Backend, now time.Time) bool {
	n := 0
	for _, b := range candidates {
		if t.suspect(b.ID, now) {
			n++
		}
	}
	return 2*n > len(candidates)
}
