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
	// any time, the oldest about to expire.
	configRenewals = 4
	// claimRenewalsPerSecond bounds the appends that restate claims.
	claimRenewalsPerSecond = 2
	caughtUpRetry          = time.Second
)

// renew appends again what must outlive the log's retention. Which entry does
// it is found by rendezvous hashing; two at once are harmless.
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
		source := chosenSource{
			source: claim.NewRenewals(e.claims.stream, e.claims.fold),
			chosen: func() bool { return e.fleet.owns(renewClaims) },
		}
		commitlog.NewRenewer(e.claims.stream, source, retention, claimRenewalsPerSecond).Run(ctx)
		return nil
	})
	g.Go(func() error {
		batch.NewRenewer(batch.RenewerOptions{
			Shards:       e.batches.shards,
			Owner:        func(shard int) bool { return e.fleet.owns(batchDuty(shard)) },
			LogRetention: retention,
			Logger:       e.logger,
		}).Run(ctx)
		return nil
	})
	_ = g.Wait()
}

// catchUp notes when everything kept at the start has been folded. Until then
// an id that is not found may still turn up.
func (e *Server) catchUp(ctx context.Context) {
	for _, s := range append(slices.Clone(e.batches.streams), e.configLog, e.claims.stream) {
		if !waitCaughtUp(ctx, s) {
			return
		}
	}
	e.caughtUp.Store(true)
}

// failKept answers a request for something kept. Before everything has been
// folded nothing can be said not to exist.
func (e *Server) failKept(c *app.RequestContext, err error) {
	if errkind.Is(err, errkind.NotFound) && !e.caughtUp.Load() {
		err = errkind.Wrap(err, errkind.LogUnavailable, "this entry has not read the log to its end yet")
	}
	e.fail(c, err)
}

// waitCaughtUp returns false if ctx ended first.
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

// chosenSource renews only while this entry is chosen.
type chosenSource struct {
	source commitlog.RenewalSource
	chosen func() bool
}

// Renewals implements commitlog.RenewalSource.
func (s chosenSource) Renewals(ctx context.Context, before commitlog.Offset, limit int) ([]commitlog.Entry, error) {
	if !s.chosen() {
		return nil, nil
	}
	return s.source.Renewals(ctx, before, limit)
}
