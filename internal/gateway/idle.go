package gateway

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

const (
	// idleTimeoutFactor is the multiple of the route's FirstByteObjective for which an
	// idempotent request waits for a response head or the next event before it is retried
	// elsewhere. It waits for minIdleTimeout at least.
	idleTimeoutFactor = 2
	minIdleTimeout    = 600 * time.Millisecond
)

// startIdleTimer starts a timer that fires once the backend server has sent nothing for
// too long. It cancels an attempt that may be repeated. Other attempts continue, because
// a missing response does not prove that the request did not run; instead it counts as a
// failure of the backend server, unless the server is known to be full and the request
// waits for a slot.
func (o *onlineRequest) startIdleTimer(b catalog.Backend, cancel context.CancelFunc) *idleTimer {
	limit := max(idleTimeoutFactor*o.route.FirstByteObjective, minIdleTimeout)
	if !o.route.Idempotent || o.attempts+1 >= o.route.MaxAttempts {
		recordFailure := func() {
			if !o.g.Table.Full(b, time.Now()) {
				o.reportFailure(b, false)
			}
		}
		return &idleTimer{timer: time.AfterFunc(limit, recordFailure), limit: limit}
	}
	return &idleTimer{timer: time.AfterFunc(limit, cancel), limit: limit}
}

// idleTimer is the idle timer of an attempt.
type idleTimer struct {
	timer *time.Timer
	limit time.Duration
}

// Stop stops the timer.
func (t *idleTimer) Stop() { t.timer.Stop() }

// Reset restarts the timer after data was received.
func (t *idleTimer) Reset() { t.timer.Reset(t.limit) }
