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

// JobCall is a caller's call about a batch job that was submitted before.
type JobCall struct {
	Caller serving.Identity
	// RequestID is the id of the call, which may be empty, JobID that of the job.
	RequestID string
	JobID     string
}

// SubmitJob accepts a batch job on a route.
func (g *Gateway) SubmitJob(ctx context.Context, job *jobs.Job, route *catalog.Route, r *serving.Request) error {
	if r.Identity.Checked && g.Jobs.Table().Known(jobs.UnscopedID(r.ID)) {
		return nil // sent again after it was accepted while there were no workspaces
	}
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
		g.Metrics.workspaceRefused(job.Workspace, e.Kind)
		event.Log(g.Log, event.RequestRefused, "request", r.ID, "workspace", job.Workspace, "route", route.Name, "kind", e.Kind, "outcome", e.Response().Outcome, "cause", e,
			"after", time.Since(r.ReceivedAt), "retry_after", e.Response().RetryAfter)
		return err
	}
	g.Metrics.firstByte(route.Kind.String(), time.Since(r.ReceivedAt).Seconds())
	return nil
}

// ListJob returns the results of a job from a position on.
func (g *Gateway) ListJob(ctx context.Context, c JobCall, after int, wait time.Duration) (jobs.Listing, error) {
	id, err := g.findJob(ctx, c)
	if err != nil {
		return jobs.Listing{}, err
	}
	return g.Jobs.List(ctx, id, after, wait)
}

// CancelJob cancels a job.
func (g *Gateway) CancelJob(ctx context.Context, c JobCall) error {
	id, err := g.findJob(ctx, c)
	if err != nil {
		return err
	}
	return g.Jobs.Cancel(ctx, id)
}

// ItemBody returns the body of an item that has no result yet.
func (g *Gateway) ItemBody(ctx context.Context, c JobCall, itemID string) ([]byte, error) {
	id, err := g.findJob(ctx, c)
	if err != nil {
		return nil, err
	}
	return g.Jobs.ItemBody(ctx, id, itemID)
}

// findJob returns the id of a caller's job in this system, a not_found error if the store confirms
// that the caller's workspace has no such job, and a log_unavailable error if neither can be
// determined.
func (g *Gateway) findJob(ctx context.Context, c JobCall) (string, error) {
	scoped := jobs.ScopedID(c.Caller, c.JobID)
	if id, known := g.knownJob(scoped, c.JobID); known {
		return id, nil
	}
	if !g.Jobs.Ready() {
		return "", errkind.New(errkind.LogUnavailable, "jobs are not known yet").WithRetryAfter(time.Second)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := g.Jobs.Exists(ctx, scoped)
	if id, known := g.knownJob(scoped, c.JobID); known {
		return id, nil
	}
	if err != nil {
		return "", errkind.Wrap(err, errkind.LogUnavailable, "batch job %s is not known here", c.JobID).WithRetryAfter(time.Second)
	}
	return "", g.refuseCall(c, errkind.New(errkind.NotFound, "no batch job %s", c.JobID))
}

// knownJob returns the id of a job that is known: that of the caller's workspace, or that of one
// which was accepted while there were no workspaces.
func (g *Gateway) knownJob(scoped, id string) (string, bool) {
	if g.Jobs.Table().Known(scoped) {
		return scoped, true
	}
	unscoped := jobs.UnscopedID(id)
	return unscoped, g.Jobs.Table().Known(unscoped)
}

// refuseCall records that a call about a job is refused.
func (g *Gateway) refuseCall(c JobCall, err *errkind.Error) error {
	g.Metrics.requestFailed(err.Kind)
	g.Metrics.workspaceRefused(c.Caller.Workspace, err.Kind)
	event.Log(g.Log, event.RequestRefused, "request", c.RequestID, "workspace", c.Caller.Workspace, "job", c.JobID, "kind", err.Kind, "cause", err)
	return err
}
