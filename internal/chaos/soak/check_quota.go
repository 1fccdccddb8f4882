package soak

import (
	"time"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/platform"
)

const (
	// Calls that may run once are those of a workspace with a quota, in requests a second; three
	// times as many arrive.
	quotaRate, quotaBurst = 2, 2
	limitedWorkspace      = "limited"
)

// quotaBounds state how far the quota may be exceeded.
var quotaBounds = platform.QuotaSettings{Window: 3 * time.Second, Overshoot: 0.1, Slack: 3}

// checkQuota checks how many requests of the workspace with a quota ran in any window.
func (c *checker) checkQuota() {
	if !c.plan.Workspaces {
		return
	}
	var at []time.Time
	for _, r := range c.history.Records {
		if runs := c.started(r.Op.ID); r.Op.Kind == UnsafeCall && len(runs) > 0 {
			at = append(at, runs[0].At)
		}
	}
	allowed := (quotaRate*quotaBounds.Window.Seconds()+quotaBurst)*(1+quotaBounds.Overshoot) + quotaBounds.Slack
	if n := mostWithin(at, quotaBounds.Window); float64(n) > allowed {
		c.verdict.AddFinding(chaos.QuotaExceeded, "%d requests ran in %s, %v are allowed", n, quotaBounds.Window, allowed)
	}
}
