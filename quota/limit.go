// Package quota keeps the online requests that all gateways together run for a workspace within
// the quota of the workspace.
//
// In each region one gateway, the owner, hands out the permits of a workspace; all gateways of the
// region choose the same one by the name of the workspace. The owners of the regions tell each
// other what they have handed out, so that each of them knows the whole use a moment later. See
// docs/design/quotas.md.
package quota

import "time"

// Limit is the quota of a workspace.
type Limit struct {
	// RequestsPerSecond and Burst are the rate and the size of its token bucket. A rate of 0 is
	// unlimited.
	RequestsPerSecond float64
	Burst             float64
}

// size returns the size of the token bucket, which is at least one request.
func (l Limit) size() float64 { return max(l.Burst, 1) }

// scaled returns a part of the limit.
func (l Limit) scaled(share float64) Limit {
	return Limit{RequestsPerSecond: l.RequestsPerSecond * share, Burst: l.Burst * share}
}

// Bounds state how far the requests of a workspace may exceed its quota: in any Window by the part
// Overshoot of it and Slack requests more.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// margin returns by how many requests a limit may be exceeded in a window.
func (b Bounds) margin(l Limit) float64 {
	return b.Overshoot*(l.RequestsPerSecond*b.Window.Seconds()+l.Burst) + b.Slack
}

// The margin is spent on four things: a quarter of it on what the owners of several regions hand out
// before they know of each other, an eighth on larger buckets at these owners, and what is left of these
// on the permits with which owners start that don't know what was handed out before them, or on requests
// whose owner doesn't answer. Owners start, and owners don't answer, when permits have not been handed
// out for a while.
const (
	unseenPart   = 0.25
	startPart    = 0.75
	sizePart     = 0.125
	fallbackPart = 0.5
)
