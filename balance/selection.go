package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// selection is what one choice needs to know about all candidates. The holder of the
// table's lock uses it.
type selection struct {
	t   *Table
	req Requirements
	now time.Time
	// useHealth states that failures of single candidates count.
	useHealth bool
	// ownZoneFirst states that backend servers of other zones cost more.
	ownZoneFirst bool
	// rankStep is the cost that separates the ranks of reasons.
	rankStep float64
	// unseenPerServer is the number of attempts that a backend server of the own region
	// probably holds without this gateway's knowledge.
	unseenPerServer float64
}

func (t *Table) newSelection(candidates []catalog.Backend, req Requirements, now time.Time) selection {
	t.peers.expire(now)
	return selection{
		t: t, req: req, now: now,
		useHealth: !t.mostEjected(candidates, now), ownZoneFirst: t.ownZoneFirst(candidates, req),
		rankStep: rankStep(candidates), unseenPerServer: t.unseenPerServer(candidates, now),
	}
}

// evaluate returns how the request would be sent to a candidate and at what cost, or false
// if it can't be sent there.
func (s *selection) evaluate(b catalog.Backend) (Choice, float64, bool) {
	if b.State != catalog.Ready || s.req.excludes(b) || s.t.denied(b.ID, s.req.Class, s.now) || s.req.Class == Batch && s.t.unknownLoad(b) {
		return Choice{}, 0, false
	}
	if s.req.OwnRegion && s.t.otherRegion(b) {
		return Choice{}, 0, false
	}
	ejected := s.useHealth && s.t.ejected(b.ID, s.now)
	if ejected && s.req.Class == Batch {
		return Choice{}, 0, false
	}
	load := s.t.load(b.ID, s.now)
	load.Online += s.t.unreported(b.ID, s.now)
	reason, ok := classify(b, load, s.req, s.t.batchHeadroom(b, s.unseenPerServer))
	if !ok {
		return Choice{}, 0, false
	}
	cost := s.rankStep*float64(reasonRanks[reason]) + s.loadCost(b, load, reason) + s.pathCost(b) + s.healthCost(b, ejected)
	return Choice{b, load, reason}, cost, true
}

// loadCost returns the cost of a candidate's load. If all slots are in use, batch attempts do
// not count, as an online request preempts them. A candidate that has processed the
// request's prompt part costs less.
func (s *selection) loadCost(b catalog.Backend, load Counts, reason Reason) float64 {
	cost := float64(load.Online)
	switch reason {
	case FreeSlot:
		cost += float64(load.Batch)
	case PreemptsBatch:
		cost += float64(b.Slots)
	}
	if s.t.prefix.has(s.req.PromptPart, b.ID, s.now) {
		cost -= prefixBonus
	}
	return cost
}

// pathCost returns the cost of a candidate's distance.
func (s *selection) pathCost(b catalog.Backend) float64 {
	switch {
	case s.t.unknownLoad(b):
		return otherRegionCost + float64(b.Slots)
	case s.t.otherRegion(b):
		return otherRegionCost
	case s.ownZoneFirst && b.Zone != s.t.opts.Zone:
		return otherZoneCost
	}
	return 0
}

// healthCost returns the cost of a candidate's recent failures.
func (s *selection) healthCost(b catalog.Backend, ejected bool) float64 {
	if !s.useHealth {
		return 0
	}
	cost := recentFailureCost * s.t.sharedScore(b.ID, s.now)
	if s.req.RunsOnce && s.t.doubtful(b.ID, s.now) {
		cost += s.rankStep
	}
	if ejected {
		cost += ejectedCost
	}
	return cost
}
