package discovery

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// startMemory is how long a start of a backend server is remembered after its last sign. The store may execute a write of
// the server seconds late, when the registration has long gone.
const startMemory = time.Minute

// start is what is known of one start of a backend server. It outlives the registration, which older records could
// bring back otherwise.
type start struct {
	// startedMs distinguishes the start from others under the same id; see catalog.Backend.
	startedMs int64
	// seq is the highest number of a record of this start.
	seq int64
	// drains states that the server has said that it drains, in a record or a response. It ends after that.
	drains bool
	// lastSign is when a record or a response of this start last came that was not outdated, or its registration
	// disappeared.
	lastSign time.Time
}

// follows reports whether this start is known by a later record, or is a later start, than that of b.
func (s start) follows(b catalog.Backend) bool {
	return b.StartedMs < s.startedMs || b.StartedMs == s.startedMs && b.Seq < s.seq
}

// starts holds the newest known start of each backend server by its id. It is not safe for concurrent use.
type starts map[string]start

// outdated reports whether a record is older than what is known of the server, so that it was executed or read late. A
// server whose records seem older for longer than any is late has another clock, or numbers its records anew.
func (t starts) outdated(b catalog.Backend, now time.Time) bool {
	known, ok := t[b.ID]
	return ok && known.follows(b) && now.Sub(known.lastSign) < startMemory
}

// record adds what a record that is not outdated says, and reports whether its server drains.
func (t starts) record(b catalog.Backend, now time.Time) (drains bool) {
	known := t[b.ID]
	if known.startedMs != b.StartedMs {
		known = start{startedMs: b.StartedMs}
	}
	known.seq, known.lastSign = b.Seq, now
	known.drains = known.drains || b.State == catalog.Draining
	t[b.ID] = known
	return known.drains
}

// setDrains records that a start has said in a response that it drains, and reports whether that is new. A start that is
// followed by another one no longer matters.
func (t starts) setDrains(id string, startedMs int64, now time.Time) bool {
	known, ok := t[id]
	switch {
	case ok && startedMs < known.startedMs:
		return false
	case !ok || startedMs > known.startedMs:
		known = start{startedMs: startedMs}
	}
	isNew := !known.drains
	known.drains, known.lastSign = true, now
	t[id] = known
	return isNew
}

// sign records a sign of the known start of a server.
func (t starts) sign(id string, now time.Time) {
	if known, ok := t[id]; ok {
		known.lastSign = now
		t[id] = known
	}
}

// gone records that the registration of a server has gone. A start of which it is unknown when it began is forgotten with it.
func (t starts) gone(id string, now time.Time) {
	if t[id].startedMs == 0 {
		delete(t, id)
		return
	}
	t.sign(id, now)
}

// forget drops the starts that have given no sign for startMemory, other than those that are kept.
func (t starts) forget(now time.Time, kept func(id string) bool) {
	for id, s := range t {
		if now.Sub(s.lastSign) >= startMemory && !kept(id) {
			delete(t, id)
		}
	}
}
