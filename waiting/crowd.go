package waiting

import (
	"sync"
	"time"
)

// Crowd holds how many requests wait at the other gateways, by the key of the service, as
// they report it. It is safe for concurrent use.
type Crowd struct {
	ttl time.Duration

	mu      sync.Mutex
	reports map[string]crowdReport
}

// Count is how many requests wait for a service at a gateway.
type Count struct {
	// All counts all of them, InTime those that can still be in time.
	All, InTime int
}

type crowdReport struct {
	waiting map[uint32]Count
	far     bool
	at      time.Time
}

// NewCrowd returns a Crowd in which a report holds for ttl.
func NewCrowd(ttl time.Duration) *Crowd {
	return &Crowd{ttl: ttl, reports: make(map[string]crowdReport)}
}

// Set replaces the report of a gateway; far states that it is in another region.
func (c *Crowd) Set(gateway string, far bool, waiting map[uint32]Count, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[gateway] = crowdReport{waiting, far, now}
}

// Elsewhere is how many requests wait for a service at other gateways.
type Elsewhere struct {
	// Gateways is the number of other gateways that report, WaitingAt that of those where
	// requests wait, and Waiting that of these requests.
	Gateways, WaitingAt, Waiting int
	// InTimeAt is the number of other gateways where requests wait that can still be in time.
	InTimeAt int
	// Far states that some of these requests wait in another region.
	Far bool
}

// Of returns what waits for a service elsewhere.
func (c *Crowd) Of(service uint32, now time.Time) Elsewhere { return c.count(service, false, now) }

// InRegion returns what waits for a service elsewhere in the own region.
func (c *Crowd) InRegion(service uint32, now time.Time) Elsewhere {
	return c.count(service, true, now)
}

func (c *Crowd) count(service uint32, near bool, now time.Time) Elsewhere {
	c.mu.Lock()
	defer c.mu.Unlock()
	var e Elsewhere
	for gateway, r := range c.reports {
		if now.Sub(r.at) > c.ttl {
			delete(c.reports, gateway)
			continue
		}
		if near && r.far {
			continue
		}
		e.Gateways++
		n := r.waiting[service]
		if n.InTime > 0 {
			e.InTimeAt++
		}
		if n.All > 0 {
			e.WaitingAt++
			e.Waiting += n.All
			e.Far = e.Far || r.far
		}
	}
	return e
}
