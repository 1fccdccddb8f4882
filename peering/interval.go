package peering

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/delay"
)

const (
	// The least time between two reports of a gateway is minInterval plus
	// intervalPerPair times the square of the number of peers, since all of them
	// report to each other, and at most maxInterval.
	minInterval     = 2 * time.Millisecond
	intervalPerPair = 10 * time.Microsecond
	maxInterval     = 300 * time.Millisecond
	// minFarInterval is the least time between two reports to other regions. In large
	// regions the interval is longer: farIntervalPerPair for each pair of a gateway of
	// this region and one of another, as the reports of all gateways share one link.
	// Once the interval exceeds ownerInterval, the owners of shards still report at
	// ownerInterval, so that gateways of other regions can find them. All other
	// gateways only send a report every keepaliveInterval, so that they are not removed.
	minFarInterval     = 100 * time.Millisecond
	farIntervalPerPair = 500 * time.Microsecond
	ownerInterval      = 400 * time.Millisecond
	keepaliveInterval  = 20 * time.Second
	// idleInterval is the time between reports without a change.
	idleInterval = 250 * time.Millisecond
)

// interval returns the least time between two reports to n peers.
func interval(n int) time.Duration {
	return min(minInterval+time.Duration(n*n)*intervalPerPair, maxInterval)
}

// farReportInterval returns the least time between two reports to other regions.
func (p *Peering) farReportInterval(owner bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	near, far := 1, 0
	for _, other := range p.peers {
		if other.far {
			far++
		} else {
			near++
		}
	}
	return farReportInterval(near, far, owner)
}

func farReportInterval(near, far int, owner bool) time.Duration {
	d := max(minFarInterval, time.Duration(near*far)*farIntervalPerPair)
	switch {
	case d <= ownerInterval:
		return d
	case owner:
		return ownerInterval
	}
	return keepaliveInterval
}

// pause waits for the least time between two reports, which grows with the number of
// peers.
func (p *Peering) pause(ctx context.Context) {
	p.mu.Lock()
	n := len(p.peers)
	p.mu.Unlock()
	delay.Wait(ctx, interval(n))
}
