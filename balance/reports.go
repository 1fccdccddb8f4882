package balance

import (
	"maps"
	"time"
)

// LocalCounts returns this gateway's attempts by the key of the backend server.
func (t *Table) LocalCounts() map[uint32]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[uint32]Counts, len(t.local))
	for id, counts := range t.local {
		out[Key(id)] = Counts{Online: counts.n[Online], Batch: counts.n[Batch]}
	}
	return out
}

// Started returns how many attempts this gateway has started so far by the key of the
// service.
func (t *Table) Started() map[uint32]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.started)
}

// PeerReport is the report of a peer; its maps are keyed by Key.
type PeerReport struct {
	// Started counts the attempts that the peer has started so far, by service.
	Started map[uint32]uint64
	// Counts are the peer's attempts in progress.
	Counts map[uint32]Counts
	// OtherRegion states that the peer is in another region, OtherZone that it is in another
	// zone of the own region.
	OtherRegion, OtherZone bool
	// Zone is the peer's zone if OtherZone is true.
	Zone string
	// Paces are those that backend servers have stated to the peer.
	Paces map[uint32]Pace
	// Failures are the counts of the peer's recent failures; nil if they are to be
	// ignored.
	Failures map[uint32]uint32
}

// SetPeer replaces the report of a peer. It returns the backend servers that are
// ejected from now on.
func (t *Table) SetPeer(name string, r PeerReport, now time.Time) []Ejection {
	t.mu.Lock()
	defer t.mu.Unlock()
	ejections := t.recordPeerFailures(name, r.Failures, now)
	t.recordPeerPaces(r.Paces, now)
	t.peers.set(name, r, now)
	t.wake()
	return ejections
}

// SetOtherRegionsSilent sets whether the gateways of other regions report their loads too
// rarely for choices.
func (t *Table) SetOtherRegionsSilent(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.otherRegionsSilent = silent
}

// SetZoneFirst sets whether the gateways of other zones of the region report less often than those
// of the own one, so that their loads are known less well.
func (t *Table) SetZoneFirst(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zoneFirst = on
}

// SetRegionSummary replaces the summed counts of the gateways of another region.
func (t *Table) SetRegionSummary(region string, counts map[uint32]Counts, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.set(summaryName(region), PeerReport{Counts: counts, OtherRegion: true}, now)
	t.wake()
}

// HasRegionSummary reports whether the counts of the gateways of another region are known
// from a summary.
func (t *Table) HasRegionSummary(region string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.expire(now)
	return t.peers.peers[summaryName(region)] != nil
}

// summaryName is the name of the peer that stands for all gateways of a region. Names of
// gateways contain no space.
func summaryName(region string) string { return "region " + region }

// RegionCounts returns the summed counts of the gateways of the own region, for a summary.
func (t *Table) RegionCounts(now time.Time) map[uint32]Counts {
	sums := t.LocalCounts()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.expire(now)
	for _, p := range t.peers.peers {
		if p.otherRegion {
			continue
		}
		for key, c := range p.counts {
			sum := sums[key]
			sums[key] = Counts{Online: sum.Online + c.Online, Batch: sum.Batch + c.Batch}
		}
	}
	return sums
}

// RemovePeer drops the report of a peer that has left.
func (t *Table) RemovePeer(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.remove(name)
}
