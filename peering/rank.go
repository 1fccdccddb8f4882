package peering

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// seenGateway is a gateway, this one or another, as this one sees it.
type seenGateway struct {
	name, region, zone string
	far, reached       bool
	// leaving states that the gateway is about to stop.
	leaving bool
	// lastReport is when the last report was received.
	lastReport time.Time
}

// eachGateway calls visit for this gateway and the others, except those that are about to stop; if all are, it calls
// visit for all. visit must not call p.
func (p *Peering) eachGateway(now time.Time, visit func(seenGateway)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.gatewaysLocked(now)
	none := !slices.ContainsFunc(all, func(g seenGateway) bool { return !g.leaving })
	for _, g := range all {
		if none || !g.leaving {
			visit(g)
		}
	}
}

// gatewaysLocked returns this gateway and the others. The caller holds mu.
func (p *Peering) gatewaysLocked(now time.Time) []seenGateway {
	farTTL := p.farTTLLocked()
	all := []seenGateway{{name: p.opts.Name, region: p.opts.Region, zone: p.opts.Zone, reached: true, lastReport: now, leaving: p.leaving.Load()}}
	for name, other := range p.peers {
		all = append(all, seenGateway{
			name: name, region: other.region, zone: other.zone, far: other.far, leaving: other.leaving,
			reached: other.reachable && now.Sub(other.lastReport) <= other.ttl(farTTL), lastReport: other.lastReport,
		})
	}
	return all
}

// farTTLLocked returns how long a gateway of another region counts as reached after a report: those of
// large fleets report rarely. The caller holds mu.
func (p *Peering) farTTLLocked() time.Duration {
	return max(ReportTTL, 2*p.farIntervalLocked(false))
}

// ttl returns how long the peer counts as reached after a report, given the time for those of other
// regions.
func (s *peer) ttl(far time.Duration) time.Duration {
	if s.far {
		return far
	}
	return ReportTTL
}

// firstInOrder is the first gateway in an order that depends on a key: the owner of what the key names,
// which all gateways choose alike (rendezvous hashing).
type firstInOrder struct {
	gateway seenGateway
	rank    uint64
	found   bool
}

func (f *firstInOrder) consider(key string, g seenGateway) {
	if rank := xxhash.Sum64String(g.name + "\x00" + key); !f.found || rank < f.rank {
		f.gateway, f.rank, f.found = g, rank, true
	}
}

// hashName returns a number for the name of a gateway.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }
