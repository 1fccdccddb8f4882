package peering

import (
	"net/netip"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
)

// summaryInterval returns the time between two summaries of a region: each gateway gets
// those of all other regions.
func summaryInterval(otherRegions int) time.Duration {
	return min(time.Duration(max(otherRegions, 1))*minSummaryInterval, maxSummaryInterval)
}

// maxSummaryInterval is well below ReportTTL, so that a lost summary is no gap.
const (
	minSummaryInterval = 100 * time.Millisecond
	maxSummaryInterval = 400 * time.Millisecond
)

// summaryTargets is the number of gateways of another region that get a summary. The one of
// them that is the reporter of its region passes it on; the others stand in for it.
const summaryTargets = 2

// regionSummary holds the summed loads of the gateways of a region. In a large fleet one
// gateway of each region, its reporter, sends it to the reporters of the other regions, which
// pass it on to their regions, in place of reports of each gateway to each other one.
type regionSummary struct {
	Region string            `cbor:"1,keyasint"`
	Loads  map[uint32][2]int `cbor:"2,keyasint"`
	// PassedOn states that the summary comes from the reporter of the receiver's region.
	PassedOn bool `cbor:"3,keyasint,omitempty"`
}

// isReporter reports whether this gateway sends the summaries of its region.
func (p *Peering) isReporter() bool {
	near := p.nearGateways()
	return slices.MinFunc(near, candidate.compare).name == p.opts.Name
}

// sendSummary sends the summary of the own region to the other regions.
func (p *Peering) sendSummary(now time.Time) {
	if p.isReporter() {
		p.sendDatagram(datagram{Summary: &regionSummary{Region: p.opts.Region, Loads: encodeCounts(p.opts.Table.RegionCounts(now))}}, p.summaryReceivers()...)
	}
}

// otherRegions counts the other regions.
func (p *Peering) otherRegions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	regions := make(map[string]bool)
	for _, other := range p.peers {
		if other.far {
			regions[other.region] = true
		}
	}
	return len(regions)
}

// summaryReceivers returns the first gateways of each other region in the order in which
// they become its reporter.
func (p *Peering) summaryReceivers() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	byRegion := make(map[string][]candidate)
	for name, other := range p.peers {
		if other.far {
			byRegion[other.region] = append(byRegion[other.region], candidate{name, other.addr.String(), other.linkMbps, rankOf(name)})
		}
	}
	var out []netip.AddrPort
	for _, gateways := range byRegion {
		slices.SortFunc(gateways, candidate.compare)
		for _, g := range gateways[:min(summaryTargets, len(gateways))] {
			out = append(out, p.peers[g.name].addr)
		}
	}
	return out
}

// applySummary applies the summary of another region. The reporter passes it on.
func (p *Peering) applySummary(s regionSummary, now time.Time) {
	if s.Region == p.opts.Region {
		return
	}
	p.opts.Table.SetRegionSummary(s.Region, decodeCounts(s.Loads), now)
	if !s.PassedOn && p.isReporter() {
		s.PassedOn = true
		p.sendDatagram(datagram{Summary: &s}, p.nearAddresses()...)
	}
}

func encodeCounts(counts map[uint32]balance.Counts) map[uint32][2]int {
	loads := make(map[uint32][2]int, len(counts))
	for id, c := range counts {
		loads[id] = [2]int{c.Online, c.Batch}
	}
	return loads
}

func decodeCounts(loads map[uint32][2]int) map[uint32]balance.Counts {
	counts := make(map[uint32]balance.Counts, len(loads))
	for id, n := range loads {
		counts[id] = balance.Counts{Online: n[0], Batch: n[1]}
	}
	return counts
}
