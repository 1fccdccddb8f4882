package jobs

import "time"

// Work is what a process does with the open items of its shards.
type Work struct {
	// Runs counts the runs in progress, OldestEvent is the earliest time of the last events of those
	// runs; the start of a run counts as an event.
	Runs        int
	OldestEvent time.Time
	// OwnedShards counts the shards that this process owns, ClaimedShards those that it takes over.
	OwnedShards, ClaimedShards int

	waiting [waitReasonsEnd]int
	oldest  [waitReasonsEnd]time.Time
}

// Waiting returns how many items wait for a reason.
func (w *Work) Waiting(reason WaitReason) int { return w.waiting[reason] }

// OldestSince returns since when the item waits that has waited for a reason for the longest time; zero if
// there is none.
func (w *Work) OldestSince(reason WaitReason) time.Time { return w.oldest[reason] }

func (w *Work) addWait(reason WaitReason, since time.Time) {
	w.waiting[reason]++
	w.oldest[reason] = earliest(w.oldest[reason], since)
}

func (w *Work) addRun(lastEvent time.Time) {
	w.Runs++
	w.OldestEvent = earliest(w.OldestEvent, lastEvent)
}

// earliest returns the earlier one of two times, of which a may be zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
