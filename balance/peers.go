package balance

import "time"

// peerTable holds the counts that peers have reported, and their sums, so that a
// choice costs the same whatever the number of peers.
type peerTable struct {
	ttl   time.Duration
	peers map[string]*peerCounts
	sums  map[uint32]Counts
	// next is when the oldest report expires; it is meaningless without peers.
	next time.Time
}

type peerCounts struct {
	at       time.Time
	counts   map[uint32]Counts
	failures map[uint32]uint32
}

func newPeerTable(ttl time.Duration) peerTable {
	return peerTable{ttl: ttl, peers: make(map[string]*peerCounts), sums: make(map[uint32]Counts)}
}

// set replaces what a peer has told.
func (p *peerTable) set(name string, r PeerReport, now time.Time) {
	p.forget(name)
	for key, c := range r.Counts {
		p.add(key, c.Online, c.Batch)
	}
	if len(p.peers) == 0 || now.Add(p.ttl).Before(p.next) {
		p.next = now.Add(p.ttl)
	}
	p.peers[name] = &peerCounts{at: now, counts: r.Counts, failures: r.Failures}
}

// forget drops the counts of a peer.
func (p *peerTable) forget(name string) {
	old := p.peers[name]
	if old == nil {
		return
	}
	for key, c := range old.counts {
		p.add(key, -c.Online, -c.Batch)
	}
	delete(p.peers, name)
}

func (p *peerTable) add(key uint32, online, batch int) {
	sum := p.sums[key]
	sum.Online += online
	sum.Batch += batch
	if sum == (Counts{}) {
		delete(p.sums, key)
		return
	}
	p.sums[key] = sum
}

// expire drops the counts of peers that were last heard more than ttl ago.
func (p *peerTable) expire(now time.Time) {
	if len(p.peers) == 0 || !now.After(p.next) {
		return
	}
	first := true
	for name, c := range p.peers {
		end := c.at.Add(p.ttl)
		if now.After(end) {
			p.forget(name)
			continue
		}
		if first || end.Before(p.next) {
			p.next, first = end, false
		}
	}
}
