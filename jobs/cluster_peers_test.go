package jobs_test

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/quarantine"
)

// guardPeers implements quarantine.Peers over the other processes of a cluster.
type guardPeers struct{ self *node }

func (p guardPeers) others() []*node {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	others := maps.Clone(p.self.cluster.nodes)
	delete(others, p.self.name)
	return slices.Collect(maps.Values(others))
}

func (p guardPeers) BroadcastCrash(r quarantine.CrashReport) {
	for _, n := range p.others() {
		p.self.guard.PeerCompleted(n.guard.PeerCrash(r))
	}
}

func (p guardPeers) BroadcastHeld(suspects []string) {
	for _, n := range p.others() {
		n.guard.PeerHeld(suspects)
	}
}

func (p guardPeers) BroadcastCompleted(suspects []string) {
	for _, n := range p.others() {
		n.guard.PeerCompleted(suspects)
	}
}

func (p guardPeers) BroadcastHolds(states []quarantine.HoldState) {
	for _, n := range p.others() {
		n.guard.PeerHolds(states)
	}
}

// Priority gives each process another place.
func (p guardPeers) Priority(string) uint64 { return uint64(balance.Key(p.self.name)) }

// clusterPeers implements jobs.Peers over the other processes of a cluster.
type clusterPeers struct{ self *node }

func (p clusterPeers) owner(shard int) (*node, jobs.ShardReport) {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	var best *node
	var newest jobs.ShardReport
	for _, n := range p.self.cluster.nodes {
		if n == p.self || n.isolated.Load() || p.self.isolated.Load() {
			continue
		}
		for _, r := range n.Reports() {
			if r.Shard == shard && (best == nil || r.Epoch > newest.Epoch) {
				best, newest = n, r
			}
		}
	}
	return best, newest
}

func (p clusterPeers) OwnerOf(shard int) (string, bool) {
	n, _ := p.owner(shard)
	if n == nil {
		return "", false
	}
	return n.name, true
}

func (p clusterPeers) ShardReport(shard int) (jobs.ShardReport, bool) {
	n, r := p.owner(shard)
	return r, n != nil
}

func (p clusterPeers) StoreConnectedPeer() (string, bool) {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	for name, n := range p.self.cluster.nodes {
		if n != p.self && !n.disconnected.Load() {
			return name, true
		}
	}
	return "", false
}

func (p clusterPeers) NearestRTT() (time.Duration, bool) {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	nearest, known := time.Duration(0), false
	for _, n := range p.self.cluster.nodes {
		if rtt := n.StoreRTT(); n != p.self && rtt > 0 && (!known || rtt < nearest) {
			nearest, known = rtt, true
		}
	}
	return nearest, known
}

func (p clusterPeers) Capacities(time.Duration) (own float64, peers []float64) {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	for _, n := range p.self.cluster.nodes {
		if n != p.self && !n.disconnected.Load() {
			peers = append(peers, n.capacity)
		}
	}
	return p.self.capacity, peers
}

func (p clusterPeers) ReachableCount() int {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	return len(p.self.cluster.nodes) - 1
}

func (p clusterPeers) OldestFormat() int {
	if p.self.cluster.olderRelease {
		return jobs.StoredFormat - 1
	}
	return jobs.StoredFormat
}

func (p clusterPeers) Submit(ctx context.Context, address string, job *jobs.Job, quota int64) error {
	p.self.cluster.mu.Lock()
	n := p.self.cluster.nodes[address]
	p.self.cluster.mu.Unlock()
	return n.SubmitLocal(ctx, job, quota)
}

func (p clusterPeers) ItemBody(_ context.Context, address, id, itemID string) ([]byte, bool, error) {
	p.self.cluster.mu.Lock()
	n := p.self.cluster.nodes[address]
	p.self.cluster.mu.Unlock()
	body, err := n.ItemBodyLocal(id, itemID)
	if errkind.Is(err, errkind.NotFound) {
		return nil, false, nil
	}
	return body, err == nil, err
}

func (p clusterPeers) List(ctx context.Context, address, id string, after int, wait time.Duration) (jobs.Listing, error) {
	p.self.cluster.mu.Lock()
	n := p.self.cluster.nodes[address]
	p.self.cluster.mu.Unlock()
	if n == nil {
		return jobs.Listing{}, errkind.New(errkind.LogUnavailable, "%s is not running", address)
	}
	return n.ListLocal(ctx, id, after, wait)
}
