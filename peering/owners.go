package peering

import (
	"time"

	"github.com/catkinrudder/catkinrudder/jobs"
)

const (
	listPath       = "/listing"
	snapshotPath   = "/snapshot"
	submitPath     = "/job"
	bodyPath       = "/body"
	maxAnswerBytes = 8 << 20
	// storeFresh is the age up to which a peer counts as reaching the store.
	storeFresh = 800 * time.Millisecond
)

// OwnerOf implements jobs.Peers: of several that call themselves the owner, the
// one with the highest epoch is.
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

// owner returns the peer that was heard of late and reports the highest epoch
// of a shard. The caller holds the lock.
func (p *Peering) owner(shard int) (*peer, jobs.ShardReport) {
	var best *peer
	var newest jobs.ShardReport
	now := time.Now()
	for _, known := range p.peers {
		if !known.alive || now.Sub(known.heard) > ReportTTL {
			continue
		}
		for _, report := range known.shards {
			if report.Shard == shard && (best == nil || report.Epoch > newest.Epoch) {
				best, newest = known, report
			}
		}
	}
	return best, newest
}

// StoreConnected implements jobs.Peers. Peers of the own region go first.
func (p *Peering) StoreConnected() (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	far := true
	for _, peer := range p.peers {
		if !peer.alive || time.Since(peer.heard) > ReportTTL || peer.storeAge > storeFresh {
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
		if !peer.alive || time.Since(peer.heard) > ReportTTL || peer.storeAge > storeFresh || peer.storeRTT <= 0 {
			continue
		}
		if !known || peer.storeRTT < rtt {
			rtt, known = peer.storeRTT, true
		}
	}
	return rtt, known
}

// ReachableCount implements jobs.Peers.
func (p *Peering) ReachableCount() int { return len(p.alive()) }

// alive returns the addresses of the peers that were heard of late.
func (p *Peering) alive() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, known := range p.peers {
		if known.alive && time.Since(known.heard) <= ReportTTL {
			addresses = append(addresses, known.addr.String())
		}
	}
	return addresses
}
