// Package gateway serves the requests of a platform whose backend servers are
// reached directly: it routes online requests, takes batch jobs and runs their
// items in what online requests leave free. All gateways are equal.
package gateway

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// Gateway answers requests. Its fields are set once.
type Gateway struct {
	Configs  *discovery.ConfigView
	Backends *discovery.Backends
	Table    *balance.Table
	Pool     *upstream.Pool
	Jobs     *jobs.Service
	Log      *log.Logger
	Metrics  *Metrics
	// Draining, when closed, tells that the process is about to stop.
	Draining <-chan struct{}
	// StoreAge returns how long ago the store last confirmed what is known of
	// the backend servers.
	StoreAge func() time.Duration
}

// Ready reports whether the gateway can serve: it knows a configuration and
// backend servers and does not stop. It stays ready while the store is away.
func (g *Gateway) Ready() bool {
	select {
	case <-g.Draining:
		return false
	default:
	}
	return g.Configs.Current() != nil && g.Backends.Len() > 0
}

// learnTime is how long a request waits at a process that has just started and
// knows no configuration or no backend server yet. A caller that is refused twice
// may give up, while one that waits a little may still be served.
const learnTime = time.Second

// AwaitConfig returns the configuration in force, and waits a little for one if
// none is known yet; nil if there is still none.
func (g *Gateway) AwaitConfig(ctx context.Context) *catalog.Config {
	if c := g.Configs.Current(); c != nil {
		return c
	}
	t := time.NewTimer(learnTime)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.Configs.Loaded():
	}
	return g.Configs.Current()
}

// Stopping reports whether the process is about to stop.
func (g *Gateway) Stopping() bool {
	select {
	case <-g.Draining:
		return true
	default:
		return false
	}
}
