package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// The cost of a candidate is the time that a request is expected to take there until its first byte,
// in milliseconds, beyond that of an idle backend server in the own zone. All terms are in this unit.
const (
	millisecondsPerSecond = 1000.0
	// slotTime is what one more attempt at a backend server of the usual pace costs the others
	// there: their steps take longer, and a slot frees itself later.
	slotTime = 10.0
	// busyShare is the part of the time in which a backend server counts as nearly full.
	busyShare = 1.0 / 3
	// defaultRegionTime is the round trip to another region.
	defaultRegionTime = 60.0
	// defaultZoneTime is the round trip to another zone of the region.
	defaultZoneTime = 3.0
	// defaultZonePrice is what a request that crosses to another zone has to gain a caller.
	defaultZonePrice = 17.0
	// oldLoadTime is the cost of a load in another zone that is known from reports which the
	// gateways of a large region send less often.
	oldLoadTime = 30.0
	// promptTime is the time in which a backend server reads a prompt part.
	promptTime = 10.0
	// ejectedCost is the cost of a backend server that is ejected after failures.
	ejectedCost = 10_000.0
	// recentFailureCost is the cost of each recent failure that any gateway reports.
	recentFailureCost = 30.0
)

// Paths are the costs of sending a request out of its zone.
type Paths struct {
	// ZoneRoundTrip and RegionRoundTrip are the round trips to another zone of the region and to
	// another region.
	ZoneRoundTrip, RegionRoundTrip time.Duration
	// ZonePrice and RegionPrice are how much earlier a caller has to get the first byte so that
	// the bytes that cross are worth their price, beyond the round trip.
	ZonePrice, RegionPrice time.Duration
}

// DefaultPaths returns the costs where an operator has set none.
func DefaultPaths() *Paths {
	return &Paths{
		ZoneRoundTrip: inDuration(defaultZoneTime), RegionRoundTrip: inDuration(defaultRegionTime),
		ZonePrice: inDuration(defaultZonePrice),
	}
}

func inDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return d.Seconds() * millisecondsPerSecond }

// slotValue returns by how much one more attempt at a server of the service of b delays those that
// come later, in milliseconds: the server frees a slot in its attempts' hold time divided by its
// slots, and nearly all slots are in use in a part of the time.
func (t *Table) slotValue(b catalog.Backend) float64 {
	return max(slotTime, inMilliseconds(t.hold(b))/float64(b.Slots)*busyShare)
}

// slowness returns how long work takes at a backend server now, relative to its service.
func (t *Table) slowness(b catalog.Backend, now time.Time) float64 {
	return t.paces.believed(Key(b.ID), now) * t.timings.speed(b.ID)
}

// crossingTime returns what a request costs that crosses to another zone of the region.
func (t *Table) crossingTime() float64 {
	cost := inMilliseconds(t.opts.Paths.ZoneRoundTrip + t.opts.Paths.ZonePrice)
	if t.zoneFirst {
		cost += oldLoadTime
	}
	return cost
}

// regionTime returns what a request costs that crosses to another region.
func (t *Table) regionTime() float64 {
	return inMilliseconds(t.opts.Paths.RegionRoundTrip + t.opts.Paths.RegionPrice)
}

// cost is the cost of a candidate. step is what one more attempt there adds to it.
type cost struct{ total, step float64 }

// cost returns the cost of a candidate: the one place where its terms are added.
func (s *selection) cost(b catalog.Backend, load Counts, reason Reason, ejected bool) cost {
	slowness := s.t.slowness(b, s.now)
	step := slotTime
	if reason == Queued || reason == Overloaded {
		step *= slowness
	}
	total := s.rankStep*float64(reasonRanks[reason]) +
		step*attemptsBefore(b, load, reason) +
		s.workTime(b, slowness) +
		s.pathTime(b) +
		s.healthCost(b, ejected)
	return cost{total: total, step: step}
}

// attemptsBefore returns the attempts at a candidate that a request has beside or before it. If all
// slots are in use, batch attempts do not count, as an online request preempts them.
func attemptsBefore(b catalog.Backend, load Counts, reason Reason) float64 {
	switch reason {
	case FreeSlot:
		return float64(load.total())
	case PreemptsBatch:
		return float64(load.Online + b.Slots)
	}
	return float64(load.Online)
}

// workTime returns how much longer than usual a candidate's own work takes until the first byte, in
// the value that a slot has at the service. It is less if the candidate has read a prompt part of
// the request.
func (s *selection) workTime(b catalog.Backend, slowness float64) float64 {
	total := s.firstByte * (slowness - usualPace) * slotTime / s.t.slotValue(b)
	if s.t.prefix.has(s.req.PromptPart, b.ID, s.now) {
		total -= promptTime * slowness
	}
	return total
}

// pathTime returns the cost of a candidate's distance. The requests that are to leave their zone
// are charged for staying instead.
func (s *selection) pathTime(b catalog.Backend) float64 {
	away := b.Zone != s.t.opts.Zone
	switch {
	case s.t.unknownLoad(b):
		return s.t.regionTime() + slotTime*float64(b.Slots)
	case s.t.otherRegion(b):
		return s.t.regionTime()
	case s.prefersHome && away != s.leaves:
		return s.t.crossingTime()
	}
	return 0
}

// healthCost returns the cost of a candidate's recent failures.
func (s *selection) healthCost(b catalog.Backend, ejected bool) float64 {
	if !s.useHealth {
		return 0
	}
	total := recentFailureCost * s.t.sharedScore(b.ID, s.now)
	if s.req.RunsOnce && s.t.doubtful(b.ID, s.now) {
		total += s.rankStep
	}
	if ejected {
		total += ejectedCost
	}
	return total
}

// rankStep returns the cost that separates the ranks of reasons: more than candidates of one rank
// differ by at the usual pace, unless the bytes that cross cost more than a queue does.
func (t *Table) rankStep(candidates []catalog.Backend) float64 {
	slots := 0
	for _, b := range candidates {
		slots = max(slots, b.Slots)
	}
	return slotTime*float64(2*slots) + inMilliseconds(t.opts.Paths.RegionRoundTrip) + promptTime
}
