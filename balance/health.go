package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

const (
	// minEjectTime is how long a backend server is ejected after failures. The time
	// doubles with each further ejection, up to maxEjectTime.
	minEjectTime = 500 * time.Millisecond
	maxEjectTime = 4 * time.Second
	// A failure adds one to a backend server's score and a success multiplies the
	// score by scoreDecay. A server is ejected once its score reaches ejectScore: two
	// failures with one success between them suffice, and one failure never does.
	scoreDecay = 0.6
	ejectScore = 1.5
	// negligibleScore is the score below which a server counts as free of failures.
	negligibleScore = 0.1
)

// health is the state of a backend server according to the outcomes of this
// gateway's own attempts. Health checks are not used, as their results may be false.
type health struct {
	score        float64       // see scoreDecay
	ejectedUntil time.Time     // end of the last ejection
	ejectTime    time.Duration // length of the last ejection
}

// RecordSuccess records a complete response of a backend server.
func (t *Table) RecordSuccess(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.health[id]
	if h == nil {
		return
	}
	h.score *= scoreDecay
	if h.score < negligibleScore {
		delete(t.health, id)
	}
}

// RecordFailure records a failed attempt. unreachable states that no connection to
// the backend server was possible, which alone ejects it. RecordFailure returns how
// long the backend server is ejected from now on, or 0 if its state does not change.
func (t *Table) RecordFailure(id string, unreachable bool, now time.Time) (ejectedFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shared := t.recordLocalFailure(id, now)
	h := t.health[id]
	if h == nil {
		h = &health{}
		t.health[id] = h
	}
	h.score++
	if !unreachable && h.score < ejectScore || now.Before(h.ejectedUntil) {
		return shared
	}
	h.ejectTime = nextEjectTime(h.ejectTime)
	h.ejectedUntil = now.Add(h.ejectTime)
	return max(h.ejectTime, shared)
}

func (t *Table) ejected(id string, now time.Time) bool {
	if h := t.health[id]; h != nil && now.Before(h.ejectedUntil) {
		return true
	}
	if len(t.shared) == 0 {
		return false
	}
	s := t.shared[Key(id)]
	return s != nil && now.Before(s.ejectedUntil)
}

// doubtful reports whether a backend server has failed a short time ago, according to any
// gateway. Requests that may run only once go to other servers while any have capacity.
// Those that can be repeated or resumed stay, and show when the server is well again.
func (t *Table) doubtful(id string, now time.Time) bool {
	if h := t.health[id]; h != nil && h.score >= negligibleScore {
		return true
	}
	s := t.shared[Key(id)]
	return s != nil && (s.decayedScore(now) >= negligibleScore || now.Sub(s.ejectedUntil) <= relapseWindow)
}

// mostEjected reports whether more than half of the candidates are ejected. The
// fault is then more likely on this side or in the requests, and avoiding these
// servers would only overload the others.
func (t *Table) mostEjected(candidates []catalog.Backend, now time.Time) bool {
	n := 0
	for _, b := range candidates {
		if t.ejected(b.ID, now) {
			n++
		}
	}
	return 2*n > len(candidates)
}
