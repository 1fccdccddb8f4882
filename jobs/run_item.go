package jobs

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/eventstream"
	"github.com/catkinrudder/catkinrudder/internal/ejection"
	"github.com/catkinrudder/catkinrudder/serving"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// runEnd is how a run of an item ended.
type runEnd uint8

const (
	// runComplete: the whole output was received.
	runComplete runEnd = iota + 1
	// runCancelled: this process cancelled the run.
	runCancelled
	// runNotStarted: the backend server refused the item or was unreachable.
	runNotStarted
	// runInterrupted: the response was interrupted.
	runInterrupted
	// runFailed: the backend server responded with an error.
	runFailed
	// runRejected: the item can never succeed: the backend server has reported that, or the item can't be sent.
	runRejected
	// runPanicked: a fault of this process ended the run.
	runPanicked
)

// outcome is the end of a run with the item's output so far.
type outcome struct {
	end      runEnd
	progress Progress
	cause    error
}

// itemIdleTimeout is the maximum time between two events of an item.
const itemIdleTimeout = 8 * time.Second

// maxOutputBytes bounds the output of an item.
const maxOutputBytes = 4 << 20

// runObserver follows a run while it is in progress.
type runObserver struct {
	// answered is called once the backend server that runs the item has sent a response
	// head.
	answered func()
	// event is called for every event of the output.
	event func()
	// keep is called with the length of the output before an event is added. An error ends the run
	// without output.
	keep func(bytes int) error
	// progressed is called with the progress after every progressInterval events.
	progressed func(Progress)
}

// runItem sends an item to a backend server and appends the received events to
// those in p.
func (s *Service) runItem(ctx context.Context, r *serving.Request, b catalog.Backend, p Progress, o runObserver) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(itemIdleTimeout, func() { cancel(errIdle) })
	defer idle.Stop()
	response, err := s.opts.Pool.Do(ctx, r, serving.Attempt{BackendID: b.ID, StartedMs: b.StartedMs, Address: b.Address, Batch: true, ResumeAfter: p.LastEvent})
	if err != nil {
		return s.noResponse(ctx, b, p, err)
	}
	defer response.Close()
	if response.Info.NotRun {
		if response.Info.Misdirected {
			s.ejector().RecordFailure(b, true)
		}
		response.Discard()
		return outcome{runNotStarted, p, errors.Errorf("backend server refused the item with status %d", response.Status)}
	}
	o.answered()
	switch {
	case response.Status == http.StatusUnprocessableEntity:
		return outcome{runRejected, p, nil}
	case response.Status != http.StatusOK:
		response.Discard()
		return outcome{runFailed, p, errors.Errorf("backend server responded with status %d", response.Status)}
	}
	return s.collectEvents(ctx, response, b, p, idle, o)
}

// progressInterval is the number of events between two reports of progress.
const progressInterval = 8

var errOutputTooLong = errors.New("jobs: the output of the item is too long")

var errIdle = errors.New("jobs: no event from the backend server in time")

// noResponse returns the outcome of a run that ended without a response.
func (s *Service) noResponse(ctx context.Context, b catalog.Backend, p Progress, err error) outcome {
	if cancelledHere(ctx) {
		return outcome{runCancelled, p, ctx.Err()}
	}
	if errors.Is(err, upstream.ErrMalformed) {
		return outcome{runRejected, p, err}
	}
	if errors.Is(err, upstream.ErrNoPermit) {
		return outcome{runNotStarted, p, err}
	}
	unreachable := errors.Is(err, upstream.ErrNotSent)
	s.ejector().RecordFailure(b, unreachable)
	if unreachable {
		return outcome{runNotStarted, p, err}
	}
	return outcome{runInterrupted, p, err}
}

func (s *Service) ejector() ejection.Ejector {
	return ejection.Ejector{Table: s.opts.Table, Pool: s.opts.Pool, Log: s.opts.Logger}
}

// reportOutOfOrder reports an event of an item that does not follow the one before it.
func (s *Service) reportOutOfOrder(item string, b catalog.Backend, err error) {
	var violation *eventstream.OrderError
	if !errors.As(err, &violation) {
		return
	}
	if s.opts.OutOfOrder != nil {
		s.opts.OutOfOrder(violation.Reason)
	}
	event.Log(s.opts.Logger, event.EventOutOfOrder, "kind", "item", "request", item, "backend", b.ID, "service", b.Service, "version", b.Version,
		"reason", violation.Reason, "last_event", violation.Last, "came", violation.ID)
}

// cancelledHere reports whether this process cancelled the run for a reason of its own.
func cancelledHere(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errIdle)
}

// continuable returns the progress after which another run can go on: events without numbers are
// dropped, as no run can be asked to go on after them.
func continuable(p Progress) Progress {
	if p.Events > 0 && p.LastEvent == "" {
		return p.withoutOutput()
	}
	return p
}

// collectEvents appends the events of a response to p.
func (s *Service) collectEvents(ctx context.Context, response *upstream.Response, b catalog.Backend, p Progress, idle *time.Timer, o runObserver) outcome {
	events := eventstream.NewReader(response, response.Keep)
	sequence := eventstream.After(p.LastEvent)
	text := append([]byte(nil), p.Text...)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if evidence := s.examineEnd(ctx, response, b, p); !evidence.Proves() {
				return s.endUnproved(ctx, b, continuable(p), evidence)
			}
			s.opts.Table.RecordSuccess(b.ID)
			return outcome{runComplete, p, nil}
		}
		if err != nil {
			if cancelledHere(ctx) {
				return outcome{runCancelled, continuable(p), ctx.Err()}
			}
			s.ejector().RecordFailure(b, false)
			return outcome{runInterrupted, continuable(p), err}
		}
		id := e.ID()
		if err := sequence.Accept(id, e.HasData()); err != nil {
			s.reportOutOfOrder(response.Info.RequestID, b, err)
			return outcome{runInterrupted, continuable(p), err}
		}
		extended := text
		if p.Events > 0 {
			extended = append(extended, '\n')
		}
		extended, found := e.Data(extended)
		if !found {
			continue // a comment, which keeps the connection alive but is no progress
		}
		idle.Reset(itemIdleTimeout)
		if len(extended) > maxOutputBytes {
			s.ejector().RecordFailure(b, false)
			return outcome{runInterrupted, p.withoutOutput(), errOutputTooLong}
		}
		if err := o.keep(len(extended)); err != nil {
			return outcome{runCancelled, p.withoutOutput(), err}
		}
		text = extended
		p.Text, p.LastEvent = text, id
		p.Service, p.Version = b.Service, b.Version
		p.Events++
		o.event()
		if p.Events%progressInterval == 0 && !sequence.Unnumbered() {
			o.progressed(p)
		}
	}
}
