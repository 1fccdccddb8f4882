package jobs

import (
	"time"

	"github.com/catkinrudder/catkinrudder/internal/intake"
)

const (
	// outputCopies is how many times the output of an item is kept: by its run, and by the table as progress.
	outputCopies = 2
	// roomRetryDelay is the delay after which an item whose output was dropped asks again for room, maxRoomWait the
	// longest time for which it does.
	roomRetryDelay = interruptedRetryDelay
	maxRoomWait    = 5 * time.Second
)

// keepOutput states how much output the item has. It returns an error if the output has been dropped to make room
// for others.
func (u *run) keepOutput(bytes int) error { return u.memory.Keep(outputCopies * int64(bytes)) }

// discardDropped discards the output of an item that neither runs nor has a result, if the budget has dropped it. The
// item starts from the beginning again.
func (u *run) discardDropped(now time.Time) {
	if u.backend != "" || u.result != nil || !u.memory.Dropped() {
		return
	}
	u.memory.Reopen(nil)
	u.progress = u.progress.withoutOutput()
	u.notBefore, u.roomBy = now.Add(roomRetryDelay), now.Add(maxRoomWait)
}

// awaitRoom delays the next run of an item whose output was dropped until there is room, for maxRoomWait at most. A run
// that begins without room is the first to be dropped, as the newest.
func (u *run) awaitRoom(budget *intake.Budget, now time.Time) {
	if u.backend != "" || !now.Before(u.roomBy) || budget.HasRoom() {
		return
	}
	u.notBefore = now.Add(roomRetryDelay)
}

// withoutDropped returns the outcome of a run, which counts as cancelled if its output was dropped meanwhile.
func (u *run) withoutDropped(out outcome) outcome {
	if out.end == runComplete || !u.memory.Dropped() {
		return out
	}
	return outcome{runCancelled, out.progress.withoutOutput(), intake.ErrDropped}
}

// endMemory accounts for the output that an item has after a run. A complete one stays counted until it is stored.
func (u *run) endMemory(end runEnd, now time.Time) {
	if end == runComplete {
		return
	}
	_ = u.keepOutput(len(u.progress.Text)) // the next line discards output that is dropped now
	u.discardDropped(now)
}

// boundOutputs discards the outputs that the budget has dropped, and delays the items that wait for room.
func (r *runner) boundOutputs(now time.Time) {
	for _, u := range r.runs {
		u.discardDropped(now)
		u.awaitRoom(r.s.opts.Memory, now)
	}
}

// openMemory begins to account for the output of an item, of which the log may hold a part.
func (u *run) openMemory(budget *intake.Budget) {
	u.memory = budget.Open(nil)
	_ = u.keepOutput(len(u.progress.Text)) // the next cycle drops it if there is no room
}
