// Package quarantine finds the parts of prompts under which backend servers crash one after the
// other, and holds back the requests that carry them.
//
// Every request with such a part ends the server that begins to answer it, so a part is innocent
// as soon as any run with it completes. A part is suspected if servers end under runs with it
// several times and no gateway has seen a run with it complete.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/recent"
)

const (
	// minCrashes is how often servers must have ended under runs with a part before it is held.
	minCrashes = 3
	// crashSpacing is the least time between two crashes that count: servers that end together
	// have a common cause, such as a lost rack, and say nothing about the requests.
	crashSpacing = 250 * time.Millisecond
	// sameCrash is the time in which reports on one server are about the same crash. A server
	// takes longer to start again.
	sameCrash = 1500 * time.Millisecond
	// evidenceWindow is how long a crash counts.
	evidenceWindow = time.Minute
	// completionMemory is how long a complete run speaks for its parts.
	completionMemory = 30 * time.Second
	// minObservation is the time after its start in which a process holds no part: it has not
	// seen enough runs complete.
	minObservation = 5 * time.Second
	// holdTime is the time after which one request with a held part is tried. It doubles with
	// each try that ends a server, up to maxHoldTime.
	holdTime    = 5 * time.Minute
	maxHoldTime = time.Hour
	// trialTimeout is the time after which another request may be tried if the outcome of the
	// last one is not known.
	trialTimeout = time.Minute
	// maxParts bounds the memory for parts of each kind.
	maxParts = 1 << 14
)

// Table holds what is known about prompt parts. It is safe for concurrent use.
type Table struct {
	startedAt time.Time

	mu        sync.Mutex
	completed *recent.Map[string, struct{}]
	crashes   *recent.Map[string, evidence]
	held      map[string]*hold
}

// evidence are the crashes under runs with one part that count.
type evidence []crash

// crash is the end of a backend server, which is given by the hash of its id.
type crash struct {
	server uint32
	at     time.Time
}

// covers reports whether the end of a server adds nothing to the evidence.
func (e evidence) covers(server uint32, now time.Time) bool {
	return slices.ContainsFunc(e, func(c crash) bool {
		age := now.Sub(c.at)
		return age < crashSpacing || c.server == server && age < sameCrash
	})
}

// hold is the state of a held part.
type hold struct {
	since    time.Time
	duration time.Duration
	// triedAt is when a request was last tried; zero if none was.
	triedAt time.Time
}

// NewTable returns an empty table of a process that has started at startedAt.
func NewTable(startedAt time.Time) *Table {
	return &Table{
		startedAt: startedAt,
		completed: recent.New[string, struct{}](completionMemory, maxParts),
		crashes:   recent.New[string, evidence](evidenceWindow, maxParts),
		held:      make(map[string]*hold),
	}
}

// RecordCompleted records a complete run, here or at another gateway. It returns the parts that
// are no longer held.
func (t *Table) RecordCompleted(parts []string, now time.Time) (released []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		t.completed.Put(part, struct{}{}, now)
		t.crashes.Delete(part)
		if t.held[part] != nil {
			delete(t.held, part)
			released = append(released, part)
		}
	}
	return released
}

// RecordCrash records that a backend server, given by the hash of its id, ended under runs with
// these parts.
func (t *Table) RecordCrash(server uint32, parts []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if h := t.held[part]; h != nil {
			h.failTrial(now)
			continue
		}
		e, _ := t.crashes.Get(part, now)
		if len(e) < minCrashes && !e.covers(server, now) {
			t.crashes.Put(part, append(slices.Clone(e), crash{server, now}), now)
		}
	}
}

// failTrial extends the hold if a request with the part was being tried.
func (h *hold) failTrial(now time.Time) {
	if h.triedAt.IsZero() {
		return
	}
	*h = hold{since: now, duration: min(2*h.duration, maxHoldTime)}
}

// Completed returns those of the parts with which a run has completed a short time ago.
func (t *Table) Completed(parts []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(parts), func(part string) bool { return !t.completedLately(part, now) })
}

func (t *Table) completedLately(part string, now time.Time) bool {
	_, found := t.completed.Get(part, now)
	return found
}

// HoldSuspects holds those of the parts that are proved to crash servers, and returns them.
func (t *Table) HoldSuspects(parts []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.startedAt) < minObservation {
		return nil
	}
	var out []string
	for _, part := range parts {
		e, _ := t.crashes.Get(part, now)
		if len(e) < minCrashes || t.held[part] != nil || t.completedLately(part, now) {
			continue
		}
		t.held[part] = &hold{since: now, duration: holdTime}
		out = append(out, part)
	}
	return out
}

// Hold holds a part that another gateway has found, and reports whether it was not held yet.
func (t *Table) Hold(part string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held[part] != nil {
		return false
	}
	t.held[part] = &hold{since: now, duration: holdTime}
	return true
}

// Release stops holding a part, and reports whether it was held.
func (t *Table) Release(part string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.held[part] != nil
	delete(t.held, part)
	return found
}

// Held returns the first of the parts that is held. After its hold time, one request is let
// through at the gateway for which mayTry returns true.
func (t *Table) Held(parts []string, mayTry func(part string) bool, now time.Time) (part string, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.held) == 0 {
		return "", false
	}
	for _, part := range parts {
		if h := t.held[part]; h != nil && !h.startTrial(part, mayTry, now) {
			return part, true
		}
	}
	return "", false
}

// startTrial reports whether the request that carries the part is tried.
func (h *hold) startTrial(part string, mayTry func(string) bool, now time.Time) bool {
	if now.Sub(h.since) < h.duration || now.Sub(h.triedAt) < trialTimeout || !mayTry(part) {
		return false
	}
	h.triedAt = now
	return true
}

// Suspected reports whether servers have ended under runs with one of the parts more than once.
// Such a request is not sent to a further server after its own run has broken off.
func (t *Table) Suspected(parts []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(parts, func(part string) bool {
		e, _ := t.crashes.Get(part, now)
		return len(e) >= minCrashes-1 && !t.completedLately(part, now)
	})
}
