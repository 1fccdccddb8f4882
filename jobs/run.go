package jobs

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/intake"
)

// itemRef identifies an item.
type itemRef struct {
	job  string
	item int
}

// run is the state of an item that this process runs or has run.
type run struct {
	ref      itemRef
	progress Progress
	// checkpointed is the progress that was last passed to the shard's writer, without its text.
	checkpointed Progress
	// backend is the id of the backend server that runs the item, empty if none
	// does.
	backend string
	cancel  context.CancelFunc
	// answered states that the backend server has sent a response head in this run, stopping
	// that it was stopped for online requests.
	answered, stopping bool
	// placedBeside is the number of online requests at the backend server when the run began.
	placedBeside int
	// route is the name of the item's route; due is when its result is due.
	route string
	due   time.Time
	// suspects are the ids of the prompt parts that the item shares with others, and that of the item itself.
	suspects []string
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
	// emptyRuns is how many runs have ended as complete without any event.
	emptyRuns int
	// wait is why the item was not started when the runner last looked at it, in the cycle lookedIn, and
	// suspect is what the quarantine held then.
	wait     WaitReason
	lookedIn uint64
	suspect  string
	// request is the item's id. began is when the run in progress began, and lastEvent the time from then to
	// its last event, in nanoseconds.
	request   string
	began     time.Time
	lastEvent atomic.Int64
	// originWaitSince is when the item first found no slot at the software that has begun it;
	// zero if it does not wait for one.
	originWaitSince time.Time
	// memory is what is kept of the item's output. When it is dropped, the run is cancelled.
	memory *intake.Account
	// roomBy is until when the item waits for room after its output was dropped.
	roomBy time.Time
	// result is set once the item is done. It was passed to the shard's writer under
	// epoch, and is passed again under a later epoch if it was lost in between.
	result *Result
	epoch  int64
}

// beginRun records that a run begins.
func (u *run) beginRun(now time.Time) {
	u.began = now
	u.lastEvent.Store(0)
}

// recordEvent records that the run in progress has received an event.
func (u *run) recordEvent() { u.lastEvent.Store(int64(time.Since(u.began))) }

// lastEventAt returns when the run in progress has received its last event, or when it began.
func (u *run) lastEventAt() time.Time { return u.began.Add(time.Duration(u.lastEvent.Load())) }
