package peering

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/delay"
)

const (
	// The least time between two reports of a gateway grows from minInterval by
	// perPair for the square of the number of peers, as all of them report to all
	// others, up to maxInterval.
	minInterval = 2 * time.Millisecond
	perPair     = 10 * time.Microsecond
	maxInterval = 300 * time.Millisecond
	// farInterval is the least time between two reports to other regions. It grows
	// by perFarPair for each pair of gateways of the two sides, as the reports of all
	// share one link. From ownersInterval on only owners of shards report there, at
	// that interval, as the others need to find them; all others only remind of
	// themselves each helloInterval.
	farInterval    = 100 * time.Millisecond
	perFarPair     = 500 * time.Microsecond
	ownersInterval = 400 * time.Millisecond
	helloInterval  = 20 * time.Second
	// quietInterval is the time between reports without a change.
	quietInterval = 250 * time.Millisecond
)

// interval returns the least time between two reports to n peers.
func interval(n int) time.Duration {
	return min(minInterval+time.Duration(n*n)*perPair, maxInterval)
}

// farPause returns the least time between two reports to other regions.
func (p *Peering) farPause(owner bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	near, far := 1, 0
	for _, known := range p.peers {
		if known.far {
			far++
		} else {
			near++
		}
	}
	return farPause(near, far, owner)
}

func farPause(near, far int, owner bool) time.Duration {
	d := max(farInterval, time.Duration(near*far)*perFarPair)
	switch {
	case d <= ownersInterval:
		return d
	case owner:
		return ownersInterval
	}
	return helloInterval
}

// pause waits for the least time between two reports, which grows with the
// number of peers.
func (p *Peering) pause(ctx context.Context) {
	p.mu.Lock()
	n := len(p.peers)
	p.mu.Unlock()
	delay.Wait(ctx, interval(n))
}
