package desired

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// reader folds the configuration stream for the length of one command.
type reader struct {
	table  *Table
	stream *commitlog.Stream
	stop   context.CancelFunc
	done   chan struct{}
}

// openReader returns a reader that has folded everything in the log.
func openReader(ctx context.Context, l commitlog.Log, logger *log.Logger, id string) (*reader, error) {
	r := &reader{table: NewTable(Hooks{}), done: make(chan struct{})}
	if err := InitTable(ctx, l, r.table); err != nil {
		return nil, err
	}
	r.stream = commitlog.NewStream(l, Stream, commitlog.Options{
		Writer: id, Fold: r.table, Interval: time.Nanosecond, Logger: logger,
	})
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	r.stop = stop
	go func() {
		defer close(r.done)
		r.stream.Run(run)
	}()
	if err := r.stream.CatchUp(ctx); err != nil {
		r.close()
		return nil, errors.Wrap(err, "desired: read the log")
	}
	return r, nil
}

func (r *reader) close() {
	r.stop()
	<-r.done
}

// InitTable tells an empty table which record is the oldest that the log
// keeps. Call it before the table's stream runs.
func InitTable(ctx context.Context, l commitlog.Log, t *Table) error {
	page, err := l.Read(ctx, Stream, 0, 1, 0)
	if err != nil {
		return errors.Wrap(err, "desired: read the log")
	}
	t.SkipTo(page.First)
	return nil
}

// newID returns an identifier that is unique for ever.
func newID() string { return uuid.NewString() }
