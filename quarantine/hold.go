package quarantine

import "time"

// hold is the state of a held suspect.
type hold struct {
	since                 time.Time
	duration, maxDuration time.Duration
	// triedAt is when a request was last tried; zero if none was.
	triedAt time.Time
}

// failTrial extends the hold if a request with the suspect was being tried.
func (h *hold) failTrial(now time.Time) {
	if h.triedAt.IsZero() {
		return
	}
	*h = hold{since: now, duration: min(2*h.duration, h.maxDuration), maxDuration: h.maxDuration}
}

// startTrial reports whether the request that carries the suspect is tried.
func (h *hold) startTrial(suspect string, mayTry func(string) bool, now time.Time) bool {
	if now.Sub(h.since) < h.duration || now.Sub(h.triedAt) < trialTimeout || !mayTry(suspect) {
		return false
	}
	h.triedAt = now
	return true
}
