package gateway

import (
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
)

// Revocation bounds how long this process may serve callers by a configuration that the store has
// not confirmed, because a key may have been withdrawn in the meantime.
type Revocation struct {
	// Limit is the longest time since the last confirmation; 0 is unlimited.
	Limit time.Duration
	// ConfirmedAge returns the time since the store was last asked for a newer configuration, of
	// the questions that it has answered. It returns false if it has answered none.
	ConfirmedAge func() (time.Duration, bool)
}

// unconfirmedRetryAfter is the Retry-After of a request that another process may serve.
const unconfirmedRetryAfter = 300 * time.Millisecond

// Check returns an error if callers that need a key must not be served.
func (r Revocation) Check() error {
	if r.Limit <= 0 {
		return nil
	}
	age, known := r.ConfirmedAge()
	if known && age <= r.Limit {
		return nil
	}
	return errkind.New(errkind.LogUnavailable, "the store has not confirmed for %s that no key was withdrawn", r.Limit).
		WithOutcome(errkind.NotRun).WithRetryAfter(unconfirmedRetryAfter)
}

// RefuseUnidentified records that a request is refused because of what is known of its caller.
func (g *Gateway) RefuseUnidentified(requestID, route string, receivedAt time.Time, err error) {
	e := errkind.From(err)
	g.Metrics.requestFailed(e.Kind)
	g.Metrics.workspaceRefused("", e.Kind)
	event.Log(g.Log, event.RequestRefused, "request", requestID, "workspace", "", "route", route, "kind", e.Kind, "cause", e,
		"after", time.Since(receivedAt), "retry_after", e.Response().RetryAfter)
}
