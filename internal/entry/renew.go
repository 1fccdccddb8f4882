package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrudder/catkinrudder/batch"
	"github.com/catkinrudder/catkinrudder/claim"
	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
)

const (
	// configRenewals is how many copies of the configuration the log holds at
	// any time; the oldest is about to expire.
	configRenewals = 4
	// claimRenewalsPerSecond limits the rate of appends that renew claims.
	claimRenewalsPerSecond = 2
	caughtUpRetry          = time.Second
)

// renew appends records again that must outlive the log's retention. Rendezvous
// hashing selects the entry that does it; two entries doing it at once is harmless.
func (e *Server) renew(ctx context.Context) {
	retention := e.settings.Platform.LogRetention.Std()
	var g errgroup.Group
	g.Go(func() error {
		r := desired.Renewer{
			Table:    e.config,
			Stream:   e.configLog,
			Interval: retention / configRenewals,
			Elected:  func() bool { return e.fleet.owns(renewConfiguration) },
			OnError:  func(err error) { event.Log(e.logger, event.RenewalFailed, "stream", desired.Stream, "err", err) },
		}
		r.Run(ctx)
		return nil
	})
	g.Go(func() error {
		if !waitCaughtUp(ctx, e.claims.stream) {
			return nil
		}
		source := ownedSource{
			source: claim.NewRenewals(e.claims.stream, e.claims.fold),
			owned:  func() bool { return e.fleet.owns(renewClaims) },
		}
		commitlog.NewRenewer(e.claims.stream, source, retention, claimRenewalsPerSecond).Run(ctx)
		return nil
	})
	g.Go(func() error {
		batch.NewRenewer(batch.RenewerOptions{
			Shards:       e.batches.shards,
			Owner:        func(shard int) bool { return e.fleet.owns(batchTask(shard)) },
			LogRetention: retention,
			Logger:       e.logger,
		}).Run(ctx)
		return nil
	})
	_ = g.Wait()
}

// catchUp records when everything that the log held at startup has been folded.
// Until then, an id that is not found may still exist.
func (e *Server) catchUp(ctx context.Context) {
	for _, s := range append(slices.Clone(e.batches.streams), e.configLog, e.claims.stream) {
		if !waitCaughtUp(ctx, s) {
			return
		}
	}
	e.caughtUp.Store(true)
}

// writeStoredError sends the error of a request for a stored object. Until
// everything has been folded, no object can be reported as missing.
func (e *Server) writeStoredError(c *app.RequestContext, err error) {
	if errkind.Is(err, errkind.NotFound) && !e.caughtUp.Load() {
		err = errkind.Wrap(err, errkind.LogUnavailable, "this entry has not read the log to its end yet")
	}
	e.writeError(c, err)
}

// waitCaughtUp blocks until s has caught up. It returns false if ctx is done first.
func waitCaughtUp(ctx context.Context, s *commitlog.Stream) bool {
	for s.CatchUp(ctx) != nil {
		select {
		case <-time.After(caughtUpRetry):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// ownedSource returns renewals only while this entry owns the task.
type ownedSource struct {
	source commitlog.RenewalSource
	owned  func() bool
}

// Renewals implements commitlog.RenewalSource.
func (s ownedSource) Renewals(ctx context.Context, before commitlog.Offset, limit int) ([]commitlog.Entry, error) {
	if !s.owned() {
		return nil, nil
	}
	return s.source.Renewals(ctx, before, limit)
}
