// Package gateway serves the requests of a platform whose backend servers are
// directly reachable: it routes online requests, accepts batch jobs, and runs their
// items on the capacity that online requests leave free. All gateways are equal.
package gateway

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/quarantine"
	"github.com/catkinrudder/catkinrudder/upstream"
	"github.com/catkinrudder/catkinrudder/waiting"
)

// Gateway serves requests. Its fields are set once, before the first request.
type Gateway struct {
	Configs  *discovery.ConfigView
	Backends *discovery.Backends
	Software *discovery.SoftwareHistory
	Table    *balance.Table
	Pool     *upstream.Pool
	Jobs     *jobs.Service
	Log      *log.Logger
	Metrics  *Metrics
	// Draining is closed when the process is about to stop.
	Draining <-chan struct{}
	// Shutdown ends the requests that are not answered when the process has to end.
	Shutdown *Shutdown
	// StoreAge returns the time since the store last responded to a call of this process.
	StoreAge func() time.Duration
	// RegistrationAge returns the time for which the view of the backend servers may have missed
	// a registration, and false if it has never been complete.
	RegistrationAge func() (age time.Duration, known bool)
	// ConfirmRegistrations returns once the view holds all registrations that the store held when it
	// was called.
	ConfirmRegistrations func(ctx context.Context) error
	Origins              Origins
	// Quarantine holds back requests that crash backend servers.
	Quarantine *quarantine.Guard
	// Revocation bounds how long withdrawn keys can be in use.
	Revocation Revocation
	// Quotas admits the requests of workspaces; it may be nil.
	Quotas Quotas

	// Crowd holds what waits at other gateways; nil if none reports it.
	Crowd *waiting.Crowd

	queue queue
}

// Waiting returns how many requests wait at this gateway by the key of their service.
func (g *Gateway) Waiting() map[uint32]waiting.Count { return g.queue.waitingByService(time.Now()) }

// Origins knows which software began the streams of callers, also of those whose callers
// reached other gateways. A stream is named by the id of the caller's attempt that brought its
// first event.
type Origins interface {
	// AnnounceOrigin records the software that began a stream.
	AnnounceOrigin(id string, s catalog.Software)
	// FindOrigin returns the software that began a stream, if it is known anywhere.
	FindOrigin(ctx context.Context, id string) (s catalog.Software, known bool)
}

// Ready reports whether the gateway can serve: it has a configuration and backend
// servers, and it is not stopping. It stays ready while the store is unavailable, unless
// Revocation forbids to serve callers.
func (g *Gateway) Ready() bool {
	select {
	case <-g.Draining:
		return false
	default:
	}
	config := g.Configs.Current()
	if config == nil || config.HasWorkspaces() && g.Revocation.Check() != nil {
		return false
	}
	return g.Backends.Len() > 0
}

// startupWait is how long a request waits at a process that has just started and has
// no configuration or no backend server yet. A caller that is refused twice may give
// up, while one that waits a little may still be served.
const startupWait = time.Second

// AwaitConfig returns the current configuration. If there is none yet, it waits up
// to startupWait for one, and returns nil if there is still none.
func (g *Gateway) AwaitConfig(ctx context.Context) *catalog.Config {
	if c := g.Configs.Current(); c != nil {
		return c
	}
	t := time.NewTimer(startupWait)
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
