package desired

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// reader reads the configuration stream during one command.
type reader struct {
	table  *Table
	stream *commitlog.Stream
	stop   context.CancelFunc
	done   chan struct{}
}

// openReader returns a reader that has applied every record in the log.
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

// InitTable sets the start of an empty table to the oldest record that the log
// retains. Call it before the stream of the table runs.
func InitTable(ctx context.Context, l commitlog.Log, t *Table) error {
	page, err := l.Read(ctx, Stream, 0, 1, 0)
	if err != nil {
		return errors.Wrap(err, "desired: read the log")
	}
	t.SkipTo(page.First)
	return nil
}

// newID returns a globally unique identifier.
func newID() string { return uuid.NewString() }
