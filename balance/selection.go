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
	// prefersHome states that backend servers of other zones cost more, and leaves that the
	// request is one of those that leave the own zone: then those of the own zone do.
	prefersHome, leaves bool
	// rankStep is the cost that separates the ranks of reasons.
	rankStep float64
	// firstByte is the usual time until the first byte of the service in milliseconds.
	firstByte float64
	// unseenPerServer is the number of attempts that a backend server of the own region
	// probably holds without this gateway's knowledge.
	unseenPerServer float64
}

func (t *Table) newSelection(candidates []catalog.Backend, req Requirements, now time.Time) selection {
	t.peers.expire(now)
	s := selection{
		t: t, req: req, now: now,
		useHealth: !t.mostEjected(candidates, now), rankStep: t.rankStep(candidates),
		firstByte: t.timings.firstByte(candidates[0].Service), unseenPerServer: t.unseenPerServer(candidates, now),
	}
	if req.Class == Online {
		plan := t.zonePlan(candidates, now)
		s.prefersHome = plan.prefersHome
		s.leaves = plan.prefersHome && plan.leaves(t.rng.Float64)
	}
	return s
}

// evaluate returns how the request would be sent to a candidate and at what cost, or false
// if it can't be sent there.
func (s *selection) evaluate(b catalog.Backend) (Choice, cost, bool) {
	if b.State != catalog.Ready || s.req.excludes(b) || s.t.denied(b.ID, s.req.Class, s.now) || s.req.Class == Batch && s.t.unknownLoad(b) {
		return Choice{}, cost{}, false
	}
	if s.req.OwnRegion && s.t.otherRegion(b) {
		return Choice{}, cost{}, false
	}
	ejected := s.useHealth && s.t.ejected(b.ID, s.now)
	if ejected && s.req.Class == Batch {
		return Choice{}, cost{}, false
	}
	load := s.t.load(b.ID, s.now)
	load.Online += s.t.unreported(b.ID, s.now)
	reason, ok := classify(b, load, s.req, s.t.batchHeadroom(b, s.unseenPerServer))
	if !ok {
		return Choice{}, cost{}, false
	}
	return Choice{Backend: b, Load: load, Reason: reason}, s.cost(b, load, reason, ejected), true
}
