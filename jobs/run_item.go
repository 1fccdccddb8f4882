package jobs

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/eventstream"
	"github.com/catkinrudder/catkinrudder/internal/ejection"
	"github.com/catkinrudder/catkinrudder/serving"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// end is how a run of an item ended.
type end uint8

const (
	// endComplete: the whole output is there.
	endComplete end = iota + 1
	// endStopped: this process stopped the run.
	endStopped
	// endNotRun: the backend server refused or was not reached.
	endNotRun
	// endBroken: the answer broke off.
	endBroken
	// endFailed: the backend server answered with an error.
	endFailed
	// endImpossible: the backend server said that the item can't ever be done.
	endImpossible
)

// outcome is the end of a run with what the item has produced so far.
type outcome struct {
	end      end
	progress Progress
	cause    error
}

// itemSilence is how long an item's backend server may send nothing.
const itemSilence = 8 * time.Second

// runItem sends an item to a backend server and gathers its events after those
// in p. report is told of progress now and then.
func (s *Service) runItem(ctx context.Context, r *serving.Request, b catalog.Backend, p Progress, report func(Progress)) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(itemSilence, func() { cancel(errSilent) })
	defer silent.Stop()
	answer, err := s.opts.Pool.Do(ctx, r, serving.Attempt{BackendID: b.ID, Address: b.Address, ResumeAfter: p.LastEvent})
	if err != nil {
		return s.noAnswer(ctx, b, p, err)
	}
	defer answer.Close()
	switch {
	case answer.Info.NotRun:
		answer.Discard()
		return outcome{endNotRun, p, errors.Errorf("refused with %d", answer.Status)}
	case answer.Status == http.StatusUnprocessableEntity:
		return outcome{endImpossible, p, nil}
	case answer.Status != http.StatusOK:
		answer.Discard()
		return outcome{endFailed, p, errors.Errorf("answered %d", answer.Status)}
	}
	return s.gather(ctx, answer, b, p, silent, report)
}

// reportEvents is the number of events between two reports of progress.
const reportEvents = 8

var errSilent = errors.New("jobs: backend server is silent")

func (s *Service) noAnswer(ctx context.Context, b catalog.Backend, p Progress, err error) outcome {
	if stopped(ctx) {
		return outcome{endStopped, p, ctx.Err()}
	}
	unreachable := errors.Is(err, upstream.ErrNotSent)
	s.ejector().RecordFailure(b, unreachable)
	if unreachable {
		return outcome{endNotRun, p, err}
	}
	return outcome{endBroken, p, err}
}

func (s *Service) ejector() ejection.Ejector {
	return ejection.Ejector{Table: s.opts.Table, Pool: s.opts.Pool, Log: s.opts.Logger}
}

// stopped reports whether this process ended the run for a reason of its own.
func stopped(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent)
}

// gather adds the events of an answer to p.
func (s *Service) gather(ctx context.Context, answer *upstream.Response, b catalog.Backend, p Progress, silent *time.Timer, report func(Progress)) outcome {
	events := eventstream.NewReader(answer)
	text := append([]byte(nil), p.Text...)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			s.opts.Table.RecordSuccess(b.ID)
			return outcome{endComplete, p, nil}
		}
		if err != nil {
			if stopped(ctx) {
				return outcome{endStopped, p, ctx.Err()}
			}
			s.ejector().RecordFailure(b, false)
			return outcome{endBroken, p, err}
		}
		silent.Reset(itemSilence)
		id := e.ID()
		if !eventstream.Follows(p.LastEvent, id) {
			return outcome{endBroken, p, errors.Errorf("event %q follows %q", id, p.LastEvent)}
		}
		grown := text
		if p.Events > 0 {
			grown = append(grown, '\n')
		}
		grown, found := e.Data(grown)
		if !found {
			continue // a comment, which keeps the connection alive
		}
		text = grown
		p.Text, p.LastEvent = text, id
		p.Events++
		if p.Events%reportEvents == 0 {
			report(p)
		}
	}
}
