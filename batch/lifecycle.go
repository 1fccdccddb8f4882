package batch

import (
	"context"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
)

// Status is a job's state in its lifecycle.
type Status string

// The statuses of a job in the API.
const (
	Validating Status = "validating"
	InProgress Status = "in_progress"
	Finalizing Status = "finalizing"
	Completed  Status = "completed"
	FailedJob  Status = "failed"
	Cancelling Status = "cancelling"
	Cancelled  Status = "cancelled"
	Expired    Status = "expired"
)

// Terminal reports whether a job of this status never changes again.
func (s Status) Terminal() bool {
	switch s {
	case Completed, FailedJob, Cancelled, Expired:
		return true
	}
	return false
}

type trigger string

const (
	trigStart    trigger = "start"
	trigFail     trigger = "fail"
	trigAllDone  trigger = "all_done"
	trigCancel   trigger = "cancel"
	trigComplete trigger = "complete"
	trigExpire   trigger = "expire"
	trigStop     trigger = "stop"
)

var errNoRow = errors.New("batch: job lifecycle has no current row")

// lifecycle is the state machine that all jobs share; row is the current job. It
// is guarded by the mutex of the table.
type lifecycle struct {
	machine *stateless.StateMachine
	row     *jobRow
}

func newLifecycle() *lifecycle {
	l := &lifecycle{}
	l.machine = stateless.NewStateMachineWithExternalStorage(l.load, l.store, stateless.FiringImmediate)
	l.machine.Configure(Validating).
		Permit(trigStart, InProgress).
		Permit(trigFail, FailedJob).
		Permit(trigCancel, Cancelling).
		Permit(trigExpire, Expired)
	l.machine.Configure(InProgress).
		Permit(trigAllDone, Finalizing).
		Permit(trigCancel, Cancelling).
		Permit(trigExpire, Expired)
	l.machine.Configure(Finalizing).
		Permit(trigCancel, Cancelling).
		Permit(trigComplete, Completed).
		Permit(trigExpire, Expired)
	l.machine.Configure(Cancelling).
		Permit(trigStop, Cancelled)
	return l
}

func (l *lifecycle) load(context.Context) (stateless.State, error) {
	if l.row == nil {
		return nil, errNoRow
	}
	return l.row.status, nil
}

func (l *lifecycle) store(_ context.Context, s stateless.State) error {
	status, ok := s.(Status)
	if !ok {
		return errors.Errorf("batch: invalid job state %v", s)
	}
	l.row.status = status
	return nil
}

// advance moves a job as far as the facts folded so far allow. Facts only
// accumulate, so the result does not depend on how often advance is called.
func (l *lifecycle) advance(r *jobRow) error {
	l.row = r
	defer func() { l.row = nil }()
	for {
		t := nextTrigger(r)
		if t == "" {
			return nil
		}
		if err := l.machine.Fire(t); err != nil {
			return errors.Wrap(err, "batch: advance job lifecycle")
		}
	}
}

// nextTrigger returns the trigger that follows from the row's facts, or none.
func nextTrigger(r *jobRow) trigger {
	if r.status.Terminal() {
		return ""
	}
	switch {
	case r.status == Cancelling:
		if r.ended {
			return trigStop
		}
		return ""
	case r.cancelledAt != 0:
		return trigCancel
	case r.status == Validating && r.failedAt != 0:
		return trigFail
	case r.ended && r.expired:
		return trigExpire
	case r.status == Validating && r.startedAt != 0:
		return trigStart
	case r.status == InProgress && r.done() == r.total:
		return trigAllDone
	case r.status == Finalizing && r.ended:
		return trigComplete
	}
	return ""
}
