package balance

import (
	"math"
	"time"
)

const (
	// failureRetention is how long after its last failure at a backend server a
	// gateway keeps reporting its failure count there.
	failureRetention = 10 * time.Second
	// failureHalfLife is the time in which reported failures lose half of their
	// weight.
	failureHalfLife = 2 * time.Second
	// sharedEjectScore is the number of recent failures at one backend server,
	// reported by at least two gateways, that ejects it.
	sharedEjectScore = 1.5
	// relapseWindow is the time after an ejection in which a single further failure
	// ejects the backend server again, for longer.
	relapseWindow = 8 * time.Second
)

// failureCount counts a gateway's own failures at a backend server. Gateways exchange
// these counts, since each of them sends only few of the requests to one backend server.
type failureCount struct {
	n    uint32
	last time.Time
}

// sharedFailures holds the failures that all gateways report at one backend server.
type sharedFailures struct {
	// score is the number of recent failures as of at; decayedScore returns its
	// present value.
	score float64
	at    time.Time
	// firstReporter is the gateway that reported the first of the failures;
	// multipleReporters is set once another gateway has reported failures too. The
	// failures of a single gateway may come from a fault of its own.
	firstReporter     string
	multipleReporters bool
	ejectedUntil      time.Time
	ejectTime         time.Duration
}

// localReporter identifies this gateway among those that report failures.
const localReporter = ""

// add records n failures that a gateway reports. It returns how long the backend
// server is ejected from now on, or 0 if its state does not change.
func (s *sharedFailures) add(from string, n uint32, now time.Time) (ejectedFor time.Duration) {
	s.score = s.decayedScore(now)
	s.at = now
	if s.score < negligibleScore {
		s.firstReporter, s.multipleReporters = from, false
	}
	s.score += float64(n)
	s.multipleReporters = s.multipleReporters || from != s.firstReporter
	if now.Before(s.ejectedUntil) {
		return 0
	}
	relapsed := now.Sub(s.ejectedUntil) <= relapseWindow
	if !relapsed && (!s.multipleReporters || s.score < sharedEjectScore) {
		return 0
	}
	if !relapsed {
		s.ejectTime = minEjectTime
	}
	s.ejectTime = nextEjectTime(s.ejectTime)
	s.ejectedUntil = now.Add(s.ejectTime)
	s.score = 0
	return s.ejectTime
}

// decayedScore returns the recent failures, weighted by their age.
func (s *sharedFailures) decayedScore(now time.Time) float64 {
	return s.score * math.Exp2(-now.Sub(s.at).Seconds()/failureHalfLife.Seconds())
}

// nextEjectTime returns the length of the ejection that follows one of the given
// length.
func nextEjectTime(last time.Duration) time.Duration {
	return min(max(2*last, minEjectTime), maxEjectTime)
}

// Failures returns the counts of this gateway's recent failures by the key of the
// backend server, for reports to other gateways. A count only grows for as long as
// it is reported.
func (t *Table) Failures(now time.Time) map[uint32]uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireFailures(now)
	var out map[uint32]uint32
	for key, f := range t.failures {
		if now.Sub(f.last) > failureRetention {
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

// Ejection is a backend server, given by its Key, that is ejected from now on
// because several gateways have reported failures there.
type Ejection struct {
	Key uint32
	For time.Duration
}

// recordLocalFailure counts a failure of this gateway and returns how long the
// backend server is ejected if other gateways have reported failures too. The caller
// holds mu.
func (t *Table) recordLocalFailure(id string, now time.Time) time.Duration {
	key := Key(id)
	f := t.failures[key]
	f.n++
	f.last = now
	t.failures[key] = f
	return t.recordSharedFailures(key, localReporter, 1, now)
}

// recordPeerFailures compares the failure counts in a peer's report with those in
// its previous one. The counts of its first report, or of the first after a gap in
// its reports, are ignored: they may be old or date from a time in which the peer
// was partitioned. The caller holds mu.
func (t *Table) recordPeerFailures(name string, failures map[uint32]uint32, now time.Time) []Ejection {
	previous := t.peers.peers[name]
	if previous == nil || now.Sub(previous.reportedAt) > t.opts.PeerTTL {
		return nil
	}
	var out []Ejection
	for key, n := range failures {
		oldCount := previous.failures[key]
		if n <= oldCount {
			continue
		}
		if ejectedFor := t.recordSharedFailures(key, name, n-oldCount, now); ejectedFor > 0 {
			out = append(out, Ejection{key, ejectedFor})
		}
	}
	return out
}

func (t *Table) recordSharedFailures(key uint32, from string, n uint32, now time.Time) time.Duration {
	s := t.shared[key]
	if s == nil {
		s = &sharedFailures{at: now}
		t.shared[key] = s
	}
	return s.add(from, n, now)
}

// sharedScore returns the decayed score of the failures that all gateways report at a
// backend server. An ejection for them resets the score to 0.
func (t *Table) sharedScore(id string, now time.Time) float64 {
	if len(t.shared) == 0 {
		return 0
	}
	if s := t.shared[Key(id)]; s != nil {
		return s.decayedScore(now)
	}
	return 0
}

// expireFailures drops the shared failures of backend servers that have had no failure
// for failureRetention and are past their relapseWindow. The caller holds mu.
func (t *Table) expireFailures(now time.Time) {
	for key, s := range t.shared {
		if now.Sub(s.at) > failureRetention && now.Sub(s.ejectedUntil) > relapseWindow {
			delete(t.shared, key)
		}
	}
}
