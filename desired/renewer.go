package desired

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// Committer appends entries, as commitlog.Stream does.
type Committer interface {
	Commit(ctx context.Context, entries ...commitlog.Entry) (commitlog.Position, error)
}

// Renewer keeps a copy of the version in force in the log. Several processes may
// run one, because renewals of the version in force change nothing.
type Renewer struct {
	Table  *Table
	Stream Committer
	// Interval is the age at which the newest copy is renewed. It must be well
	// below the retention time of the log, so that at all times a copy exists
	// whose Seen is still retained.
	Interval time.Duration
	// Elected reports whether this process renews; nil means always. It only
	// saves appends; a wrong result does no harm.
	Elected func() bool
	// OnError is called with the error of a failed append; it may be nil.
	OnError func(error)
}

// Run renews the version in force until ctx ends.
func (r *Renewer) Run(ctx context.Context) {
	copyAt, _ := r.Table.NewestCopy()
	timer := time.NewTimer(r.Interval)
	defer timer.Stop()
	for {
		changed := r.Table.Changed()
		at, overtaken := r.Table.NewestCopy()
		if at != copyAt {
			copyAt = at
			timer.Reset(r.Interval)
		}
		if overtaken {
			r.renew(ctx)
		}
		select {
		case <-changed:
		case <-timer.C:
			r.renew(ctx)
			timer.Reset(r.Interval)
		case <-ctx.Done():
			return
		}
	}
}

// renew appends one renewal. The table prepares it immediately before the append.
// If the append is delayed, readers that start later ignore the renewal.
func (r *Renewer) renew(ctx context.Context) {
	if r.Elected != nil && !r.Elected() {
		return
	}
	record, ok := r.Table.Renewal()
	if !ok {
		return
	}
	entry, err := commitlog.NewEntry(KindRenewal, record)
	if err != nil {
		r.fail(err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.Interval)
	defer cancel()
	if _, err := r.Stream.Commit(ctx, entry); err != nil {
		r.fail(errors.Wrap(err, "desired: renewal"))
	}
}

func (r *Renewer) fail(err error) {
	if r.OnError != nil {
		r.OnError(err)
	}
}
