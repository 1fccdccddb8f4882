package peering

import "time"

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
	// In a region of at least largeRegion gateways, reports go to the gateways of the own
	// zone and to the owners of shards, which stop batch items for online requests. The
	// others get one every wideInterval. The reports of a gateway then do not exceed
	// largeReportsPerSecond.
	largeRegion           = 40
	wideInterval          = 300 * time.Millisecond
	largeReportsPerSecond = 500
	// quietInterval is the least time between two reports to the other zones of a smaller region
	// about attempts that do not concern them.
	quietInterval = 60 * time.Millisecond
	// idleInterval is the time between reports without a change.
	idleInterval = 250 * time.Millisecond
)

// interval returns the least time until the next report after one that went to receivers
// peers of the own region.
func (p *Peering) interval(receivers int, large bool) time.Duration {
	if large {
		return largeInterval(receivers)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return interval(len(p.peers))
}

// interval returns the least time between two reports to n peers.
func interval(n int) time.Duration {
	return min(minInterval+time.Duration(n*n)*intervalPerPair, maxInterval)
}

// largeInterval returns the least time between two reports to n peers in a large region.
func largeInterval(n int) time.Duration {
	return max(interval(n), time.Duration(n)*time.Second/largeReportsPerSecond)
}

// inLargeRegion reports whether the own region has at least largeRegion gateways.
func (p *Peering) inLargeRegion() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, other := range p.peers {
		if !other.far {
			n++
		}
	}
	return n >= largeRegion
}

// farReportInterval returns the least time between two reports to other regions.
func (p *Peering) farReportInterval(owner bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.farIntervalLocked(owner)
}

// farIntervalLocked is farReportInterval for callers that hold mu.
func (p *Peering) farIntervalLocked(owner bool) time.Duration {
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
