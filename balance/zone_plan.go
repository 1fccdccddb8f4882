package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

const (
	// planInterval is the least time between two looks at the loads of all zones for a service.
	planInterval = 50 * time.Millisecond
	// minZoneSlots is the number of slots of a zone's backend servers from which on its requests
	// prefer them: a few slots do not even out the variation of a zone's requests.
	minZoneSlots = 32
	// initialHold is how long an attempt holds its slot, for each slot of a backend server, until
	// a service has shown it.
	initialHold = 10 * time.Millisecond
)

// zonePlan is the decision of how many requests for a service leave the own zone.
type zonePlan struct {
	madeAt  time.Time
	leaving leaving
	// prefersHome states that the own zone's backend servers are preferred at all.
	prefersHome bool
	// silent holds the other zones of the region that no gateway has reported from for a while.
	// They may be cut off, so no share of requests is planned for them.
	silent map[string]bool
}

// leaves reports whether the next request is one of those that leave the own zone.
func (p *zonePlan) leaves(random func() float64) bool {
	share := p.leaving.current()
	return share > 0 && random() < share
}

// zonePlan returns the present plan for the service of the candidates. The caller holds mu.
func (t *Table) zonePlan(candidates []catalog.Backend, now time.Time) *zonePlan {
	service := candidates[0].Service
	p := t.plans[service]
	if p == nil {
		p = &zonePlan{}
		t.plans[service] = p
	}
	if p.madeAt.IsZero() || now.Sub(p.madeAt) >= planInterval {
		t.updatePlan(p, candidates, now)
	}
	return p
}

func (t *Table) updatePlan(p *zonePlan, candidates []catalog.Backend, now time.Time) {
	p.madeAt = now
	p.silent = t.silentZones(candidates, now)
	zones := t.zoneLoads(candidates, now)
	home := zones[t.opts.Zone]
	q := zoneQuestion{home: home, hold: t.hold(candidates[0]), crossing: t.crossingTime()}
	for zone, load := range zones {
		if zone != t.opts.Zone && !p.silent[zone] {
			q.other.add(load)
			q.others++
		}
	}
	q.other.divide(float64(max(q.others, 1)))
	p.prefersHome = home.slots >= minZoneSlots
	p.leaving.update(q.leavingShare(), now)
}

// add adds the load of another zone.
func (z *zoneLoad) add(other zoneLoad) {
	z.demand += other.demand
	z.slots += other.slots
	z.servers += other.servers
}

// divide divides the sum of the loads of n zones.
func (z *zoneLoad) divide(n float64) {
	z.demand /= n
	z.slots /= n
	z.servers /= n
}

// zoneLoads returns the loads of the zones of the own region. Backend servers that are leaving,
// avoided or at a limit have no slots.
func (t *Table) zoneLoads(candidates []catalog.Backend, now time.Time) map[string]zoneLoad {
	zones := make(map[string]zoneLoad)
	zoneOf := make(map[uint32]string, len(candidates))
	for _, b := range candidates {
		if t.otherRegion(b) {
			continue
		}
		zoneOf[Key(b.ID)] = b.Zone
		if b.State != catalog.Ready || t.ejected(b.ID, now) || t.denied(b.ID, Online, now) {
			continue
		}
		z := zones[b.Zone]
		z.add(zoneLoad{slots: float64(b.Slots) / t.slowness(b, now), servers: 1})
		zones[b.Zone] = z
	}
	t.addDemand(zones, zoneOf)
	return zones
}

// addDemand adds the online attempts in progress at the backend servers in zoneOf.
func (t *Table) addDemand(zones map[string]zoneLoad, zoneOf map[uint32]string) {
	add := func(zone string, n int) {
		z := zones[zone]
		z.demand += float64(n)
		zones[zone] = z
	}
	for id, counts := range t.local {
		if _, known := zoneOf[Key(id)]; known {
			add(t.opts.Zone, counts.n[Online])
		}
	}
	for _, p := range t.peers.peers {
		for key, c := range p.counts {
			zone, known := zoneOf[key]
			if !known {
				continue
			}
			if !p.otherRegion {
				zone = p.zoneOr(t.opts.Zone)
			}
			add(zone, c.Online)
		}
	}
}

// silentZones returns the other zones of the region that have backend servers but no gateway that
// reports. One that is back counts again when its reports have come for as long as one is valid:
// by then its attempts are known.
func (t *Table) silentZones(candidates []catalog.Backend, now time.Time) map[string]bool {
	heard := make(map[string]bool)
	for _, p := range t.peers.peers {
		if p.otherZone {
			heard[p.zone] = true
		}
	}
	for zone := range t.heardSince {
		if !heard[zone] {
			delete(t.heardSince, zone)
		}
	}
	silent := make(map[string]bool)
	for _, b := range candidates {
		if b.Zone == t.opts.Zone || t.otherRegion(b) {
			continue
		}
		since, known := t.heardSince[b.Zone]
		if !known && heard[b.Zone] {
			t.heardSince[b.Zone], since, known = now, now, true
		}
		silent[b.Zone] = !known || now.Sub(since) < t.opts.PeerTTL
	}
	return silent
}

// hold returns how long an online attempt at the service of b holds its slot.
func (t *Table) hold(b catalog.Backend) time.Duration {
	if h := t.holds[b.Service]; h != nil && h.mean > 0 {
		return h.mean
	}
	return initialHold * time.Duration(b.Slots)
}

const (
	// holdWindow is the time over which a hold time is measured, and holdWeight the weight of a
	// new one. A window with fewer than minHoldStarts attempts is extended.
	holdWindow    = time.Second
	holdWeight    = 0.3
	minHoldStarts = 5
)

// holdTime measures how long the attempts of this gateway hold their slots: by Little's law, the mean
// number in progress divided by the rate at which they start.
type holdTime struct {
	inProgress int
	mean       time.Duration
	// attemptTime is the sum over all attempts of their time in progress since begin, as of at.
	attemptTime time.Duration
	starts      int
	begin, at   time.Time
}

// started counts an attempt that starts.
func (h *holdTime) started(now time.Time) {
	if h.begin.IsZero() {
		h.begin, h.at = now, now
	}
	h.attemptTime += time.Duration(h.inProgress) * max(now.Sub(h.at), 0)
	h.at = now
	h.inProgress++
	h.starts++
	if now.Sub(h.begin) < holdWindow || h.starts < minHoldStarts {
		return
	}
	measured := h.attemptTime / time.Duration(h.starts)
	if h.mean == 0 {
		h.mean = measured
	}
	h.mean += time.Duration(holdWeight * float64(measured-h.mean))
	h.attemptTime, h.starts, h.begin = 0, 0, now
}
