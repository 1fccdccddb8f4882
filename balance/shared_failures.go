package balance

import (
	"math"
	"time"
)

const (
	// failureMemory is how long an entry goes on telling of failures.
	failureMemory = 10 * time.Second
	// evidenceHalfLife is the time in which failures that peers told of lose half
	// of their weight.
	evidenceHalfLife = 2 * time.Second
	// sharedSuspicion is the number of recent failures at one backend server, of
	// two entries at least, from which on it is avoided.
	sharedSuspicion = 1.5
	// calmTime is how long after a suspicion one more failure is enough, and makes
	// the next one longer.
	calmTime = 8 * time.Second
)

// failureCount counts an entry's own failures at a backend server. Each entry
// sees few of the requests of one backend server; together they see all.
type failureCount struct {
	n    uint32
	last time.Time
}

// evidence is what all entries together know against a backend server.
type evidence struct {
	score float64
	at    time.Time
	// first is the entry that the evidence began with; several says that another
	// has met failures too. An entry alone may have a fault of its own.
	first   string
	several bool
	until   time.Time
	span    time.Duration
}

// ownName stands for this entry among those that give evidence.
const ownName = ""

// add takes in n failures that an entry met. It returns for how long the backend
// server is avoided from now on, 0 if nothing changes.
func (e *evidence) add(from string, n uint32, now time.Time) (avoided time.Duration) {
	e.score = e.weight(now)
	e.at = now
	if e.score < forgottenScore {
		e.first, e.several = from, false
	}
	e.score += float64(n)
	e.several = e.several || from != e.first
	if now.Before(e.until) {
		return 0
	}
	proven := now.Sub(e.until) <= calmTime
	if !proven && (!e.several || e.score < sharedSuspicion) {
		return 0
	}
	if !proven {
		e.span = firstSuspicion
	}
	e.span = nextSpan(e.span)
	e.until = now.Add(e.span)
	e.score = 0
	return e.span
}

// weight returns the recent failures, older ones counting less.
func (e *evidence) weight(now time.Time) float64 {
	return e.score * math.Exp2(-now.Sub(e.at).Seconds()/evidenceHalfLife.Seconds())
}

// nextSpan returns how long a backend server is avoided after the suspicion
// before lasted for span.
func nextSpan(span time.Duration) time.Duration {
	return min(max(2*span, firstSuspicion), longestSuspicion)
}

// Failures returns the numbers of this entry's recent failures by the key of the
// backend server, for reports to other entries. A number grows as long as it is
// told.
func (t *Table) Failures(now time.Time) map[uint32]uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetEvidence(now)
	var out map[uint32]uint32
	for key, f := range t.failures {
		if now.Sub(f.last) > failureMemory {
			delete(t.failures, key)
			continue
		}
		if out == nil {
			out = make(map[uint32]uint32, len(t.failures))
		}
		out[key] = f.n
	}
	return out
}

// Ejection is a backend server, by Key, that is avoided from now on as several
// entries have met failures there.
type Ejection struct {
	Key uint32
	For time.Duration
}

// countFailure notes a failure of this entry itself and returns for how long the
// backend server is avoided as others have met some too. The caller holds mu.
func (t *Table) countFailure(id string, now time.Time) time.Duration {
	key := Key(id)
	f := t.failures[key]
	f.n++
	f.last = now
	t.failures[key] = f
	return t.accuse(key, ownName, 1, now)
}

// hear compares the failures that a peer tells with those that it told before.
// Those of its first report, also after a silence, may be old, or of a time in which
// it was cut off. The caller holds mu.
func (t *Table) hear(name string, failures map[uint32]uint32, now time.Time) []Ejection {
	before := t.peers.peers[name]
	if before == nil || now.Sub(before.at) > t.opts.PeerTTL {
		return nil
	}
	var out []Ejection
	for key, n := range failures {
		old := before.failures[key]
		if n <= old {
			continue
		}
		if span := t.accuse(key, name, n-old, now); span > 0 {
			out = append(out, Ejection{key, span})
		}
	}
	return out
}

func (t *Table) accuse(key uint32, from string, n uint32, now time.Time) time.Duration {
	e := t.evidence[key]
	if e == nil {
		e = &evidence{at: now}
		t.evidence[key] = e
	}
	return e.add(from, n, now)
}

// doubt returns the recent failures that all entries have met at a backend
// server, if it is not suspect by them.
func (t *Table) doubt(id string, now time.Time) float64 {
	if len(t.evidence) == 0 {
		return 0
	}
	if e := t.evidence[Key(id)]; e != nil {
		return e.weight(now)
	}
	return 0
}

// forgetEvidence drops what is old; the caller holds mu.
func (t *Table) forgetEvidence(now time.Time) {
	for key, e := range t.evidence {
		if now.Sub(e.at) > failureMemory && now.Sub(e.until) > calmTime {
			delete(t.evidence, key)
		}
	}
}
