// Package egress bounds what a process holds for callers that read slowly or not at all.
//
// A caller that takes nothing of a response for a while is cut off. If the responses that callers
// have not taken yet exceed a bound together, the callers that have taken nothing for the longest
// time are cut off first: one that reads slowly keeps its response longer than one that does not
// read.
package egress

import (
	"cmp"
	"slices"
	"time"
)

// Limits bound the responses of a process that their callers have not taken yet.
type Limits struct {
	// Stall is how long a caller may take nothing of a response while bytes wait for it.
	Stall time.Duration
	// Bytes bounds the bytes that wait for all callers together.
	Bytes int64
	// MinStall is how long a caller must have taken nothing before it may be cut off for Bytes.
	MinStall time.Duration
}

// ID identifies a response.
type ID uint64

// waiting is a response of which bytes wait for the caller.
type waiting struct {
	bytes int64
	// takenAt is when the caller last took bytes, or when the first ones began to wait.
	takenAt time.Time
}

// Ledger records the bytes that wait for callers. It answers a load of many callers at once that
// take long responses slowly. It is not safe for concurrent use.
type Ledger struct {
	limits    Limits
	total     int64
	responses map[ID]waiting
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, responses: make(map[ID]waiting)}
}

// Wait records that n more bytes of a response wait for the caller.
func (l *Ledger) Wait(id ID, n int64, now time.Time) {
	w, known := l.responses[id]
	if !known {
		w.takenAt = now
	}
	w.bytes += n
	l.total += n
	l.responses[id] = w
}

// Take records that the caller has taken n of the bytes.
func (l *Ledger) Take(id ID, n int64, now time.Time) {
	w, known := l.responses[id]
	if !known {
		return
	}
	n = min(n, w.bytes)
	l.total -= n
	if w.bytes -= n; w.bytes == 0 {
		delete(l.responses, id)
		return
	}
	w.takenAt = now
	l.responses[id] = w
}

// Remove forgets a response that has ended.
func (l *Ledger) Remove(id ID) {
	l.total -= l.responses[id].bytes
	delete(l.responses, id)
}

// Total returns the bytes that wait for all callers.
func (l *Ledger) Total() int64 { return l.total }

// Excess returns the responses to cut off so that the bytes of the others meet the bound, the one
// whose caller has taken nothing for the longest time first.
func (l *Ledger) Excess(now time.Time) []ID {
	if l.total <= l.limits.Bytes {
		return nil
	}
	var stalled []ID
	for id, w := range l.responses {
		if now.Sub(w.takenAt) >= l.limits.MinStall {
			stalled = append(stalled, id)
		}
	}
	slices.SortFunc(stalled, func(a, b ID) int {
		return cmp.Or(l.responses[a].takenAt.Compare(l.responses[b].takenAt), cmp.Compare(a, b))
	})
	excess := l.total - l.limits.Bytes
	for i, id := range stalled {
		if excess -= l.responses[id].bytes; excess <= 0 {
			return stalled[:i+1]
		}
	}
	return stalled
}
