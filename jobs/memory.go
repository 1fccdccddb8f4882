package jobs

import (
	"time"

	"github.com/catkinrudder/catkinrudder/internal/intake"
)

const (
	// outputCopies is how many times the output of an item is kept: by its run, and by the table as progress.
	outputCopies = 2
	// maxRoomWait is how long an item whose output was dropped waits for room.
	maxRoomWait = 5 * time.Second
)

// keepOutput states how much output the item has. It returns an error if the output has been dropped to make room
// for others.
func (u *run) keepOutput(bytes int) error { return u.memory.Keep(outputCopies * int64(bytes)) }

// dropOutput drops the output of an item that does not run and has no result, if too much is kept of all. The
// item starts from the beginning again.
func (u *run) dropOutput(now time.Time) {
	if u.backend != "" || u.result != nil || !u.memory.Dropped() {
		return
	}
	u.memory.Reopen(nil)
	u.progress = u.progress.withoutOutput()
	u.notBefore, u.roomBy = now.Add(interruptedRetryDelay), now.Add(maxRoomWait)
}

// awaitRoom puts off the next run of an item whose output was dropped, until there is room or for maxRoomWait: then
// it is tried anyway. As the newest, it takes room from no other.
func (u *run) awaitRoom(budget *intake.Budget, now time.Time) {
	if u.backend != "" || !now.Before(u.roomBy) || budget.HasRoom() {
		return
	}
	u.notBefore = now.Add(interruptedRetryDelay)
}

// explainDrop returns the outcome of a run of which the output may have been dropped meanwhile.
func (u *run) explainDrop(out outcome) outcome {
	if out.end == runComplete || !u.memory.Dropped() {
		return out
	}
	return outcome{runCancelled, out.progress.withoutOutput(), intake.ErrDropped}
}

// endMemory accounts for the output that an item has after a run. A complete one is kept until it is stored.
func (u *run) endMemory(end runEnd, now time.Time) {
	if end == runComplete {
		return
	}
	_ = u.keepOutput(len(u.progress.Text)) // output that is dropped now goes with the next line
	u.dropOutput(now)
}

// openMemory begins to account for the output of an item, of which the log may hold a part.
func (u *run) openMemory(budget *intake.Budget) {
	u.memory = budget.Open(nil)
	_ = u.keepOutput(len(u.progress.Text)) // the next cycle drops it if there is no room
}
