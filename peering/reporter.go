package peering

import (
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinrudder/catkinrudder/event"
)

// reporter decides which peers get a report at what time.
type reporter struct {
	p   *Peering
	seq uint64
	// lastFar, lastWide and lastSummary are when a report was last sent to other regions and
	// to other zones of a large region, and when a summary was last sent.
	lastFar, lastWide, lastSummary time.Time
}

// sendDue sends a report to the peers for which one is due. It returns the least time until
// the next one.
func (r *reporter) sendDue(now time.Time) time.Duration {
	p := r.p
	r.seq++
	rep := p.report(r.seq)
	owner := len(rep.Shards) > 0
	large := p.inLargeRegion()
	silent := p.farReportInterval(false) > ownerInterval
	p.opts.Table.SetZoneFirst(large)
	p.opts.Table.SetOtherRegionsSilent(silent)
	receivers := p.send(rep, recipients{
		far:        due(&r.lastFar, now, p.farReportInterval(owner)),
		otherZones: r.otherZonesDue(large, owner, now),
		ownersWait: !large,
	})
	if silent && due(&r.lastSummary, now, summaryInterval(p.otherRegions())) {
		p.sendSummary(now)
	}
	return p.interval(receivers, large)
}

// otherZonesDue reports whether the gateways of other zones of the region get a report. In a large
// region that depends on the time and on whether this gateway owns shards, else on whether they need
// to know at once what has changed.
func (r *reporter) otherZonesDue(large, owner bool, now time.Time) bool {
	interval, urgent := wideInterval, owner
	if !large {
		interval, urgent = quietInterval, r.p.opts.Table.TakeChangeElsewhere() || r.p.leaving.Load()
	}
	if urgent {
		interval = 0
	}
	return due(&r.lastWide, now, interval)
}

// due reports whether interval has passed since last, and sets last to now if it has.
func due(last *time.Time, now time.Time, interval time.Duration) bool {
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// recipients are the groups of peers that a report goes to, in addition to those of the own
// zone and, unless ownersWait is true, to the owners of shards in the own region.
type recipients struct{ far, otherZones, ownersWait bool }

// send sends a report and returns how many peers of the own region have got it.
func (p *Peering) send(r report, to recipients) (near int) {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return 0
	}
	now := time.Now()
	p.mu.Lock()
	var addresses []netip.AddrPort
	farTTL := p.farTTLLocked()
	for name, other := range p.peers {
		if other.reachable && now.Sub(other.lastReport) > other.ttl(farTTL) {
			other.reachable = false
			event.Log(p.opts.Logger, event.PeerGone, "peer", name, "silent_for", now.Sub(other.lastReport))
		}
		if now.Sub(other.lastReport) > removeAfter {
			delete(p.peers, name)
			p.opts.Table.RemovePeer(name)
			continue
		}
		switch {
		case other.far && !to.far, other.otherZone && !to.otherZones && (len(other.shards) == 0 || to.ownersWait):
			continue
		case !other.far:
			near++
		}
		addresses = append(addresses, other.addr)
	}
	p.mu.Unlock()
	for _, addr := range addresses {
		// A datagram that cannot be sent counts as lost.
		_, _ = p.opts.Conn.WriteTo(raw, net.UDPAddrFromAddrPort(addr))
	}
	return near
}
