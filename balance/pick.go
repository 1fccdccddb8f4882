package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// The terms of a candidate's cost, in slots, and the limits on queues and free slots. A
// candidate of cost 1 is equivalent to one of cost 0 with one more of its slots in use.
const (
	// otherRegionCost is the cost of the network path to another region.
	otherRegionCost = 6.0
	// prefixBonus is subtracted if the backend server has recently processed the
	// prompt part.
	prefixBonus = 1.0
	// jitter is the upper bound of a random cost, which spreads the choices of
	// gateways that have the same information.
	jitter = 0.9
	// ejectedCost is the cost of a backend server that is ejected after failures.
	ejectedCost = 100.0
	// recentFailureCost is the cost of each recent failure that any gateway reports.
	recentFailureCost = 3.0
	// maxQueuedOnline is how many online requests may wait at an engine.
	maxQueuedOnline = 2
	// onlineReserve is how many slots batch attempts leave free at a backend server
	// where online requests use more than half of the slots.
	onlineReserve = 1
)

// Requirements are the criteria of a request for its backend server.
type Requirements struct {
	Class Class
	// PromptPart is the id of the last prompt part that other requests share.
	PromptPart string
	// Exclude lists the backend servers that the request was already sent to.
	Exclude map[string]bool
	// AllowOverload selects the least loaded backend server even if none has free
	// capacity.
	AllowOverload bool
}

// Reason is why a backend server was chosen.
type Reason string

// The reasons of a choice.
const (
	// FreeSlot: the backend server has a free slot.
	FreeSlot Reason = "free_slot"
	// PreemptsBatch: the backend server has no free slot, and the request takes the
	// slot of a batch attempt.
	PreemptsBatch Reason = "preempts_batch"
	// Queued: online requests use all slots, and the request waits at the engine.
	Queued Reason = "queued_at_engine"
	// Overloaded: no candidate had capacity, and Requirements.AllowOverload is set.
	Overloaded Reason = "no_other"
)

// Choice is a chosen backend server, with the load that the choice was based on.
type Choice struct {
	Backend catalog.Backend
	Load    Counts
	Reason  Reason
}

// Pick chooses among candidates and counts the attempt at the chosen server. It
// returns false if no candidate has capacity.
func (t *Table) Pick(candidates []catalog.Backend, req Requirements, now time.Time) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, found := Choice{}, false
	bestRank, bestCost := 0, 0.0
	useHealth := !t.mostEjected(candidates, now)
	for _, b := range candidates {
		if b.State != catalog.Ready || req.Exclude[b.ID] {
			continue
		}
		load := t.load(b.ID, now)
		load.Online += t.unreported(b.ID, now)
		rank, reason, ok := classify(b, load, req)
		if !ok {
			continue
		}
		ejected := useHealth && t.ejected(b.ID, now)
		if ejected && req.Class == Batch {
			continue
		}
		cost := t.cost(b, load, req, now)
		if useHealth {
			cost += recentFailureCost * t.sharedScore(b.ID, now)
		}
		if ejected {
			rank, cost = rankQueue, cost+ejectedCost
		}
		if !found || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestRank, bestCost, found = Choice{b, load, reason}, rank, cost, true
		}
	}
	if found {
		t.countAttempt(best.Backend.ID, req.Class)
		t.prefix.record(req.PromptPart, best.Backend.ID, now)
	}
	return best, found
}

// Availability describes why no candidate had capacity, for a log line.
type Availability struct {
	// Candidates is the number of all candidates. Draining and Excluded count those
	// that cannot be chosen; Ejected counts those that are ejected, which an online
	// request may still be sent to.
	Candidates, Draining, Excluded, Ejected int
	// LeastLoaded is the load of the least loaded candidate that is neither draining
	// nor excluded.
	LeastLoaded Counts
}

// Availability counts the candidates by the reason for which they were not chosen.
func (t *Table) Availability(candidates []catalog.Backend, req Requirements, now time.Time) Availability {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Availability{Candidates: len(candidates)}
	found := false
	for _, b := range candidates {
		switch {
		case b.State != catalog.Ready:
			out.Draining++
			continue
		case req.Exclude[b.ID]:
			out.Excluded++
			continue
		case t.ejected(b.ID, now):
			out.Ejected++
		}
		load := t.load(b.ID, now)
		load.Online += t.unreported(b.ID, now)
		if !found || load.Online < out.LeastLoaded.Online {
			out.LeastLoaded, found = load, true
		}
	}
	return out
}

// The ranks of candidates, best first.
const (
	rankFree = iota
	rankPreempt
	rankQueue
	rankOverload
)

// classify returns how a backend server would admit a request: the rank of the
// candidate, the reason for choosing it, and whether it can be chosen at all.
func classify(b catalog.Backend, load Counts, req Requirements) (int, Reason, bool) {
	switch {
	case req.Class == Batch:
		return rankFree, FreeSlot, load.total()+reserve(b, load) < b.Slots
	case load.total() < b.Slots:
		return rankFree, FreeSlot, true
	case load.Online < b.Slots:
		return rankPreempt, PreemptsBatch, true
	case load.Online < b.Slots+maxQueuedOnline:
		return rankQueue, Queued, true
	case req.AllowOverload:
		return rankOverload, Overloaded, true
	}
	return 0, "", false
}

// reserve returns how many free slots a batch attempt has to leave. Where online
// requests are frequent, a batch attempt that takes the last slot is soon preempted.
func reserve(b catalog.Backend, load Counts) int {
	if load.Online*2 <= b.Slots {
		return 0
	}
	return onlineReserve
}

// cost returns the cost of a candidate in slots; lower is better. If all slots are in
// use, batch attempts do not count, as an online request preempts them.
func (t *Table) cost(b catalog.Backend, load Counts, req Requirements, now time.Time) float64 {
	cost := float64(load.total()) + t.rng.Float64()*jitter
	if load.total() >= b.Slots {
		cost = float64(load.Online) + t.rng.Float64()*jitter
	}
	if b.Zone != t.opts.Zone && t.opts.RegionOf[b.Zone] != t.opts.RegionOf[t.opts.Zone] {
		cost += otherRegionCost
	}
	if t.prefix.has(req.PromptPart, b.ID, now) {
		cost -= prefixBonus
	}
	return cost
}
