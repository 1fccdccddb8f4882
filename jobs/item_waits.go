package jobs

import (
	"sync"
	"time"
)

const (
	// surveyInterval is the time between two surveys of the open items, which is also how exactly
	// the beginning of a wait is known.
	surveyInterval = 500 * time.Millisecond
	// firstWaitLine is the age at which a wait is first logged; each further line comes at twice the age
	// of the last one.
	firstWaitLine = 5 * time.Second
	// maxWaitLines bounds the lines of one reason in a survey; those of the oldest waits are written.
	maxWaitLines = 2
)

// itemWait is the wait of one item.
type itemWait struct {
	reason WaitReason
	// since is when the item began to wait for reason, idle since when it has had no run.
	since, idle time.Time
	// lineAt and idleLineAt are the ages, by since and idle, at which the next line is due.
	lineAt, idleLineAt time.Duration
	// survey is the survey that has last found the item waiting.
	survey uint64
}

// due reports whether a log line is due.
func (w itemWait) due(now time.Time) bool {
	return now.Sub(w.since) >= w.lineAt || now.Sub(w.idle) >= w.idleLineAt
}

// logged returns the wait after a line.
func (w itemWait) logged(now time.Time) itemWait {
	w.lineAt = nextLine(w.lineAt, now.Sub(w.since))
	w.idleLineAt = nextLine(w.idleLineAt, now.Sub(w.idle))
	return w
}

// nextLine returns the age at which the line after that at an age is due.
func nextLine(at, age time.Duration) time.Duration {
	for at <= age {
		at *= 2
	}
	return at
}

// waits follows why open items have no run. The runner's lock guards it, except for work.
type waits struct {
	// survey is the number of the last survey, surveyed its time.
	survey   uint64
	surveyed time.Time
	items    map[itemRef]itemWait
	// lines are the oldest waits of each reason whose log lines are due in this survey, current is what it
	// has found.
	lines   [silentRun + 1][]waitLine
	current Work

	// mu guards work, which is what the last complete survey has found.
	mu   sync.Mutex
	work Work
}

func newWaits() *waits { return &waits{items: make(map[itemRef]itemWait)} }

// begin begins a survey unless the last one is recent.
func (w *waits) begin(now time.Time) bool {
	if !w.surveyed.IsZero() && now.Sub(w.surveyed) < surveyInterval {
		return false
	}
	w.survey++
	w.surveyed, w.current = now, Work{}
	return true
}

// end forgets the items that no longer wait, and publishes what the survey has found.
func (w *waits) end() {
	for ref, wait := range w.items {
		if wait.survey != w.survey {
			delete(w.items, ref)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work = w.current
}

// published returns what the last survey has found.
func (w *waits) published() Work {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.work
}

// found records that the survey has found an item waiting. It returns the wait, and whether a line is due.
func (w *waits) found(ref itemRef, reason WaitReason, now time.Time) (wait itemWait, due bool) {
	wait, known := w.items[ref]
	if !known {
		wait = itemWait{idle: now, idleLineAt: firstWaitLine}
	}
	if wait.reason != reason {
		wait.reason, wait.since, wait.lineAt = reason, now, firstWaitLine
	}
	wait.survey = w.survey
	w.items[ref] = wait
	w.current.addWait(reason, wait.since)
	return wait, wait.due(now)
}

// silent records that a run has received nothing since lastEvent. It returns the wait for its next event,
// and whether a line is due.
func (w *waits) silent(ref itemRef, lastEvent, now time.Time) (wait itemWait, due bool) {
	wait, known := w.items[ref]
	if !known || wait.reason != silentRun || !wait.since.Equal(lastEvent) {
		wait = itemWait{reason: silentRun, since: lastEvent, idle: lastEvent, lineAt: firstWaitLine, idleLineAt: firstWaitLine}
	}
	wait.survey = w.survey
	w.items[ref] = wait
	return wait, wait.due(now)
}
