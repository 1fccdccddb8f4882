package gateway

import (
	"context"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/quota"
)

// Quotas admits the online requests of workspaces within their quotas.
type Quotas interface {
	// Admit returns the permit of a request, which is nil if the workspace has no limit, a
	// *quota.Refusal, or the error of ctx.
	Admit(ctx context.Context, workspace string, limit quota.Limit, version int64) (*quota.Permit, error)
}

// QuotaOf returns the quota of a workspace in a configuration, which may be nil.
func QuotaOf(c *catalog.Config, workspace string) (l quota.Limit, version int64, known bool) {
	if c == nil {
		return quota.Limit{}, 0, false
	}
	w := c.Workspaces()[workspace]
	if w == nil {
		return quota.Limit{}, c.Version, false
	}
	return quota.Limit{RequestsPerSecond: w.RequestsPerSecond, Burst: w.Burst}, c.Version, true
}

// runWithinQuota runs the request if the quota of its workspace has room for it. All attempts of one
// request use one permit. It is given back if the request has not run.
func (o *onlineRequest) runWithinQuota(ctx context.Context) error {
	permit, err := o.admitToQuota(ctx)
	if err != nil {
		return err
	}
	err = o.run(ctx)
	if outcomeOf(err) == outcomeNotRun {
		permit.Return()
	}
	return err
}

func (o *onlineRequest) admitToQuota(ctx context.Context) (*quota.Permit, error) {
	workspace := o.r.Identity.Workspace
	if o.g.Quotas == nil || workspace == "" {
		return nil, nil
	}
	limit, version, _ := QuotaOf(o.g.Configs.Current(), workspace)
	permit, err := o.g.Quotas.Admit(ctx, workspace, limit, version)
	if err == nil {
		return permit, nil
	}
	var refusal *quota.Refusal
	if !errors.As(err, &refusal) {
		return nil, o.expiredError(ctx)
	}
	o.g.Metrics.quotaRefused(workspace)
	event.Log(o.g.Log, event.QuotaRefused, "request", o.r.ID, "workspace", workspace, "by", refusal.By, "owner", refusal.Owner,
		"rate", limit.RequestsPerSecond, "burst", limit.Burst, "config", version, "retry_after", refusal.Wait)
	return nil, errkind.Wrap(refusal, errkind.RateLimited, "the workspace has used up its quota").WithRetryAfter(refusal.Wait)
}
