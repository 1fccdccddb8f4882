package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// The parts of a candidate's cost, in slots: a candidate of cost 1 is as good
// as one of cost 0 with one more of its slots taken.
const (
	// otherRegionCost weighs the way to another region.
	otherRegionCost = 6.0
	// prefixGain weighs prompt parts that the backend server has read before.
	prefixGain = 1.0
	// jitter spreads the choices of entries that know the same.
	jitter = 0.9
	// suspectCost sets back a backend server that has just failed.
	suspectCost = 100.0
	// doubtCost weighs each recent failure of any entry.
	doubtCost = 3.0
	// onlineQueue is how many online requests may wait at an engine.
	onlineQueue = 2
	// busyReserve is how many slots batch leaves free at a backend server that
	// is more than half taken by online requests.
	busyReserve = 1
)

// Requirements is what a request asks of a backend server.
type Requirements struct {
	Class Class
	// Part is the id of the last prompt part that other requests share.
	PromptPart string
	// Exclude lists backend servers that were tried before.
	Exclude map[string]bool
	// Insist takes the least loaded backend server though none has room.
	AllowOverload bool
}

// Reason says why a backend server was chosen.
type Reason string

// The reasons.
const (
	FreeSlot      Reason = "free_slot"
	PreemptsBatch Reason = "preempts_batch"
	Queued        Reason = "queued_at_engine"
	Overloaded    Reason = "no_other"
)

// Choice is a chosen backend server, with the load that decided.
type Choice struct {
	Backend catalog.Backend
	Load    Counts
	Reason  Reason
}

// Pick chooses among candidates and counts the attempt. It returns false if
// none has room.
func (t *Table) Pick(candidates []catalog.Backend, need Requirements, now time.Time) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, found := Choice{}, false
	bestRank, bestCost := 0, 0.0
	heed := !t.mostSuspect(candidates, now)
	for _, b := range candidates {
		if b.State != catalog.Ready || need.Exclude[b.ID] {
			continue
		}
		load := t.load(b.ID, now)
		load.Online += t.hidden(b.ID, now)
		rank, reason, ok := rankOf(b, load, need)
		if !ok {
			continue
		}
		suspect := heed && t.suspect(b.ID, now)
		if suspect && need.Class == Batch {
			continue
		}
		cost := t.cost(b, load, need, now)
		if heed {
			cost += doubtCost * t.doubt(b.ID, now)
		}
		if suspect {
			rank, cost = rankQueue, cost+suspectCost
		}
		if !found || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestRank, bestCost, found = Choice{b, load, reason}, rank, cost, true
		}
	}
	if found {
		t.begin(best.Backend.ID, need.Class)
		t.prefix.note(need.PromptPart, best.Backend.ID, now)
	}
	return best, found
}

// Availability describes why candidates had no room, for a log line.
type Availability struct {
	Candidates, Draining, Excluded, Ejected int
	// Least is the load of the least loaded of the others.
	LeastLoaded Counts
}

// Availability counts candidates by what kept them from being chosen.
func (t *Table) Availability(candidates []catalog.Backend, need Requirements, now time.Time) Availability {
	t.mu.Lock()
	defer t.mu.Unlock()
	room := Availability{Candidates: len(candidates)}
	found := false
	for _, b := range candidates {
		switch {
		case b.State != catalog.Ready:
			room.Draining++
			continue
		case need.Exclude[b.ID]:
			room.Excluded++
			continue
		case t.suspect(b.ID, now):
			room.Ejected++
		}
		load := t.load(b.ID, now)
		load.Online += t.hidden(b.ID, now)
		if !found || load.Online < room.LeastLoaded.Online {
			room.LeastLoaded, found = load, true
		}
	}
	return room
}

// The ranks of candidates, best first.
const (
	rankFree = iota
	rankPreempt
	rankQueue
	rankInsist
)

// rankOf says how a request would be taken in.
func rankOf(b catalog.Backend, load Counts, need Requirements) (int, Reason, bool) {
	switch {
	case need.Class == Batch:
		return rankFree, FreeSlot, load.total()+reserve(b, load) < b.Slots
	case load.total() < b.Slots:
		return rankFree, FreeSlot, true
	case load.Online < b.Slots:
		return rankPreempt, PreemptsBatch, true
	case load.Online < b.Slots+onlineQueue:
		return rankQueue, Queued, true
	case need.AllowOverload:
		return rankInsist, Overloaded, true
	}
	return 0, "", false
}

// reserve returns how many free slots a batch attempt has to leave: where online
// requests are frequent, one that takes the last slot is soon stopped again.
func reserve(b catalog.Backend, load Counts) int {
	if load.Online*2 <= b.Slots {
		return 0
	}
	return busyReserve
}

func (t *Table) cost(b catalog.Backend, load Counts, need Requirements, now time.Time) float64 {
	cost := float64(load.total()) + t.rng.Float64()*jitter
	if load.total() >= b.Slots {
		cost = float64(load.Online) + t.rng.Float64()*jitter
	}
	if b.Zone != t.opts.Zone && t.opts.RegionOf[b.Zone] != t.opts.RegionOf[t.opts.Zone] {
		cost += otherRegionCost
	}
	if t.prefix.has(need.PromptPart, b.ID, now) {
		cost -= prefixGain
	}
	return cost
}
