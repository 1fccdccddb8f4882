package gateway

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/serving"
)

const (
	// submitTimeout bounds a submission without a deadline.
	submitTimeout = 3500 * time.Millisecond
	// confirmTimeout bounds the check in the store whether a job exists.
	confirmTimeout = 700 * time.Millisecond
)

// SubmitJob accepts a batch job on a route.
func (g *Gateway) SubmitJob(ctx context.Context, job *jobs.Job, route *catalog.Route, r *serving.Request) error {
	deadline := r.ReceivedAt.Add(submitTimeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(deadline) {
		deadline = r.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := g.Jobs.Submit(ctx, job, route.MaxJobTokens)
	g.Metrics.requestEnded(route.Kind.String(), err)
	if err != nil {
		e := errkind.From(err)
		g.Metrics.requestFailed(e.Kind)
		event.Log(g.Log, event.RequestRefused, "request", job.ID, "route", route.Name, "kind", e.Kind, "cause", e,
			"after", time.Since(r.ReceivedAt), "retry_after", e.Response().RetryAfter)
		return err
	}
	g.Metrics.firstByte(route.Kind.String(), time.Since(r.ReceivedAt).Seconds())
	return nil
}

// ListJob returns the results of a job from a position on.
func (g *Gateway) ListJob(ctx context.Context, id string, after int, wait time.Duration) (jobs.Listing, error) {
	if err := g.requireJob(ctx, id); err != nil {
		return jobs.Listing{}, err
	}
	return g.Jobs.List(ctx, id, after, wait)
}

// CancelJob cancels a job.
func (g *Gateway) CancelJob(ctx context.Context, id string) error {
	if err := g.requireJob(ctx, id); err != nil {
		return err
	}
	return g.Jobs.Cancel(ctx, id)
}

// ItemBody returns the body of an item that has no result yet.
func (g *Gateway) ItemBody(ctx context.Context, id, itemID string) ([]byte, error) {
	if err := g.requireJob(ctx, id); err != nil {
		return nil, err
	}
	return g.Jobs.ItemBody(ctx, id, itemID)
}

// requireJob returns nil if the job is known, a not_found error if the store confirms
// that it does not exist, and a log_unavailable error if neither can be determined.
func (g *Gateway) requireJob(ctx context.Context, id string) error {
	if g.Jobs.Table().Known(id) {
		return nil
	}
	if !g.Jobs.Ready() {
		return errkind.New(errkind.LogUnavailable, "jobs are not known yet").WithRetryAfter(time.Second)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	known, err := g.Jobs.Exists(ctx, id)
	switch {
	case known:
		return nil
	case err != nil:
		return errkind.Wrap(err, errkind.LogUnavailable, "batch job %s is not known here", id).WithRetryAfter(time.Second)
	}
	return errkind.New(errkind.NotFound, "no batch job %s", id)
}
