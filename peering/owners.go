package peering

import (
	"time"

	"github.com/catkinrudder/catkinrudder/jobs"
)

const (
	listPath         = "/listing"
	snapshotPath     = "/snapshot"
	submitPath       = "/job"
	bodyPath         = "/body"
	maxResponseBytes = 8 << 20
	// maxStoreAge is the maximum time since a peer's last contact with the store for
	// the peer to count as connected to the store.
	maxStoreAge = 800 * time.Millisecond
)

// OwnerOf implements jobs.Peers. If several peers claim a shard, the one with the
// highest epoch is the owner.
func (p *Peering) OwnerOf(shard int) (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, _ := p.owner(shard)
	if peer == nil {
		return "", false
	}
	return peer.addr.String(), true
}

// ShardReport implements jobs.Peers.
func (p *Peering) ShardReport(shard int) (jobs.ShardReport, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, report := p.owner(shard)
	return report, peer != nil
}

// owner returns the reachable peer that reports the highest epoch of a shard, with its
// report, or nil if no such peer reports the shard. The caller holds the lock.
func (p *Peering) owner(shard int) (*peer, jobs.ShardReport) {
	var best *peer
	var newest jobs.ShardReport
	now := time.Now()
	for _, other := range p.peers {
		if !other.reachable || now.Sub(other.lastReport) > ReportTTL {
			continue
		}
		for _, report := range other.shards {
			if report.Shard == shard && (best == nil || report.Epoch > newest.Epoch) {
				best, newest = other, report
			}
		}
	}
	return best, newest
}

// StoreConnectedPeer implements jobs.Peers. Peers of the own region are preferred.
func (p *Peering) StoreConnectedPeer() (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	far := true
	for _, peer := range p.peers {
		if !peer.reachable || time.Since(peer.lastReport) > ReportTTL || peer.storeAge > maxStoreAge {
			continue
		}
		if !known || far && !peer.far {
			address, known, far = peer.addr.String(), true, peer.far
		}
	}
	return address, known
}

// NearestRTT implements jobs.Peers.
func (p *Peering) NearestRTT() (rtt time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		if !peer.storeConnected() {
			continue
		}
		if !known || peer.storeRTT < rtt {
			rtt, known = peer.storeRTT, true
		}
	}
	return rtt, known
}

// ReachableCount implements jobs.Peers.
func (p *Peering) ReachableCount() int { return len(p.reachableAddresses()) }

// reachableAddresses returns the addresses of the peers whose last report is still
// valid.
func (p *Peering) reachableAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, other := range p.peers {
		if other.reachable && time.Since(other.lastReport) <= ReportTTL {
			addresses = append(addresses, other.addr.String())
		}
	}
	return addresses
}

// OldestFormat implements jobs.Peers.
func (p *Peering) OldestFormat() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := jobs.StoredFormat
	for _, other := range p.peers {
		oldest = min(oldest, other.jobFormat)
	}
	return oldest
}
