package peering

import (
	"sync"
	"time"
)

const (
	// linkPerCore is the bandwidth, in Mbit/s, that a gateway uses with the processor time of one
	// core. A gateway whose link has less counts as one with fewer cores.
	linkPerCore = 200.0
	// usualLateness is how late a timer may fire on a machine that has all of its processor
	// time, and latenessWeight the weight of a new sample in the moving average of the lateness.
	usualLateness  = 10 * time.Millisecond
	latenessWeight = 0.02
	// maxLateness bounds a sample: a machine that was suspended once lacks no processor time.
	maxLateness = 100 * time.Millisecond
)

// StatedCapacity returns the capacity of a gateway in cores, by its settings: its part of a core,
// or less if its link has less bandwidth than goes with that. It is 0 if cores is not set.
func StatedCapacity(cores, linkMbps float64) float64 {
	if linkMbps <= 0 {
		return cores
	}
	return min(cores, linkMbps/linkPerCore)
}

// measuredCapacity is what a gateway can do at present: its stated capacity, less what its timers
// say that it lacks of it.
type measuredCapacity struct {
	stated float64

	mu       sync.Mutex
	lateness time.Duration
}

// record adds how much later than due a timer has fired.
func (c *measuredCapacity) record(late time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateness += time.Duration(latenessWeight * float64(min(max(late, 0), maxLateness)-c.lateness))
}

func (c *measuredCapacity) now() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stated * float64(usualLateness) / float64(max(c.lateness, usualLateness))
}

// Capacity returns the capacity of a gateway in cores as its settings state it, 0 if it is not
// known. All gateways that have read the directory know the same, so that a share in proportion
// to it is the same for all.
func (p *Peering) Capacity(name string) float64 {
	if name == p.opts.Name {
		return p.opts.Capacity
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.peers[name]; other != nil {
		return other.capacity
	}
	return 0
}

// Capacities implements jobs.Peers: the present capacity of this gateway, and those of the
// reachable peers that have a connection to the store, which answers them within maxRTT.
func (p *Peering) Capacities(maxRTT time.Duration) (own float64, peers []float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.peers {
		if other.storeConnected() && other.storeRTT <= maxRTT && !other.leaving {
			peers = append(peers, other.presentCapacity)
		}
	}
	return p.measured.now(), peers
}

// storeConnected reports whether the peer is reachable and has recently had a response from the
// store, whose round-trip time it knows.
func (s *peer) storeConnected() bool {
	return s.reachable && time.Since(s.lastReport) <= ReportTTL && s.storeAge <= maxStoreAge && s.storeRTT > 0
}
