package balance

import "time"

// peerTable holds the last reports of peers, and the sums of their counts, so that the
// cost of a choice does not depend on the number of peers.
type peerTable struct {
	ttl   time.Duration
	peers map[string]*storedReport
	sums  map[uint32]Counts
	// unseen is the number of attempts that peers have probably started since their last
	// reports.
	unseen map[startsKey]*unseenStarts
	// nextExpiry is when the oldest report expires; it is undefined without peers.
	nextExpiry time.Time
}

// storedReport is the last report of a peer.
type storedReport struct {
	reportedAt time.Time
	counts     map[uint32]Counts
	failures   map[uint32]uint32
	// rates are the peer's start rates by the key of the service.
	rates       map[uint32]startRate
	otherRegion bool
	otherZone   bool
	// zone is the peer's zone; it is empty if it is not known.
	zone string
}

// zoneOr returns the zone of a peer in the own region.
func (r *storedReport) zoneOr(own string) string {
	if r.otherZone {
		return r.zone
	}
	return own
}

func newPeerTable(ttl time.Duration) peerTable {
	return peerTable{
		ttl: ttl, peers: make(map[string]*storedReport), sums: make(map[uint32]Counts), unseen: make(map[startsKey]*unseenStarts),
	}
}

// set replaces the last report of a peer.
func (p *peerTable) set(name string, r PeerReport, now time.Time) {
	rates := p.updatedRates(name, r.Started, now)
	p.remove(name)
	for key, c := range r.Counts {
		p.add(key, c.Online, c.Batch)
	}
	if len(p.peers) == 0 || now.Add(p.ttl).Before(p.nextExpiry) {
		p.nextExpiry = now.Add(p.ttl)
	}
	for service, rate := range rates {
		p.unseenAt(startsKey{service, r.OtherZone}).add(rate.perSecond, now)
	}
	p.peers[name] = &storedReport{reportedAt: now, counts: r.Counts, failures: r.Failures, rates: rates, otherRegion: r.OtherRegion, otherZone: r.OtherZone, zone: r.Zone}
}

// updatedRates returns the start rates of a peer after a report.
func (p *peerTable) updatedRates(name string, started map[uint32]uint64, now time.Time) map[uint32]startRate {
	var last map[uint32]startRate
	if previous := p.peers[name]; previous != nil {
		last = previous.rates
	}
	rates := make(map[uint32]startRate, len(started))
	for service, count := range started {
		rate, known := last[service]
		if !known || count < rate.started {
			rates[service] = startRate{started: count, at: now}
			continue
		}
		rates[service] = rate.update(count, now)
	}
	return rates
}

// startsKey is the service and the origin of attempts: gateways of the own zone or of
// others.
type startsKey struct {
	service   uint32
	otherZone bool
}

func (p *peerTable) unseenAt(key startsKey) *unseenStarts {
	u := p.unseen[key]
	if u == nil {
		u = &unseenStarts{}
		p.unseen[key] = u
	}
	return u
}

// remove drops the report of a peer.
func (p *peerTable) remove(name string) {
	old := p.peers[name]
	if old == nil {
		return
	}
	for key, c := range old.counts {
		p.add(key, -c.Online, -c.Batch)
	}
	for service, rate := range old.rates {
		p.unseenAt(startsKey{service, old.otherZone}).add(-rate.perSecond, old.reportedAt)
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

// expire drops the reports that are older than ttl.
func (p *peerTable) expire(now time.Time) {
	if len(p.peers) == 0 || !now.After(p.nextExpiry) {
		return
	}
	first := true
	for name, c := range p.peers {
		end := c.reportedAt.Add(p.ttl)
		if now.After(end) {
			p.remove(name)
			continue
		}
		if first || end.Before(p.nextExpiry) {
			p.nextExpiry, first = end, false
		}
	}
}
