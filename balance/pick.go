package balance

import (
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

const (
	// MaxQueuedOnline is how many online requests may wait at an engine.
	MaxQueuedOnline = 2
	// summaryAgeFactor is how many times older the loads in a summary of another region are
	// than those that gateways of the own region report.
	summaryAgeFactor = 2
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
	// RunsOnce states that the request must not run twice: if the backend server breaks off
	// its only run, the request has failed.
	RunsOnce bool
	// Origin is the software that has begun the output; only servers that run it are chosen.
	// It is zero for a request without any output.
	Origin catalog.Software
	// QueueCut is by how many the number of online requests that may wait at an engine is
	// lowered.
	QueueCut int
	// LeastLoaded selects the backend server with the fewest attempts: the attempt may end its server.
	LeastLoaded bool
	// OwnRegion excludes the backend servers of other regions.
	OwnRegion bool
	// AllowOverload selects the least loaded backend server even if none has free
	// capacity.
	AllowOverload bool
}

// excludes reports whether the request must not be sent to b.
func (r Requirements) excludes(b catalog.Backend) bool {
	return r.Exclude[b.ID] || r.Origin != catalog.Software{} && !b.Runs(r.Origin)
}

// onlineLimit returns how many online requests a backend server holds at most, those that wait
// at its engine included.
func (r Requirements) onlineLimit(b catalog.Backend) int {
	return b.Slots + max(MaxQueuedOnline-r.QueueCut, 0)
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
	// Crossing is where the request goes as seen from its zone.
	Crossing Crossing
}

// Pick chooses among candidates and counts the attempt at the chosen server. It
// returns false if no candidate has capacity.
func (t *Table) Pick(candidates []catalog.Backend, req Requirements, now time.Time) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(candidates) == 0 {
		return Choice{}, false
	}
	s := t.newSelection(candidates, req, now)
	var choices []Choice
	var costs []cost
	hasHome := false
	for _, b := range candidates {
		if choice, cost, ok := s.evaluate(b); ok {
			choices = append(choices, choice)
			costs = append(costs, cost)
			hasHome = hasHome || b.Zone == t.opts.Zone
		}
	}
	if len(choices) == 0 {
		return Choice{}, false
	}
	if req.LeastLoaded {
		choices, costs = leastLoaded(choices, costs)
	}
	chosen := choices[spread(t.rng, costs, t.unseen(candidates[0].Service, s.prefersHome && !s.leaves, now))]
	chosen.Crossing = s.crossing(chosen.Backend, hasHome)
	t.countAttempt(chosen, req.Class, now)
	t.prefix.record(req.PromptPart, chosen.Backend.ID, now)
	return chosen, true
}

// leastLoaded returns the choices with the fewest attempts, and their costs.
func leastLoaded(choices []Choice, costs []cost) ([]Choice, []cost) {
	least := slices.MinFunc(choices, func(a, b Choice) int { return a.Load.total() - b.Load.total() }).Load.total()
	var fewest []Choice
	var theirs []cost
	for i, c := range choices {
		if c.Load.total() == least {
			fewest, theirs = append(fewest, c), append(theirs, costs[i])
		}
	}
	return fewest, theirs
}

// Availability describes why no candidate had capacity, for a log line.
type Availability struct {
	// Candidates is the number of all candidates. Draining, Excluded and Limited count those
	// that cannot be chosen; Ejected counts those that are ejected, which an online
	// request may still be sent to.
	Candidates, Draining, Excluded, Limited, Ejected int
	// LeastLoaded is the load of the least loaded candidate that can be chosen.
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
		case req.excludes(b):
			out.Excluded++
			continue
		case t.denied(b.ID, req.Class, now):
			out.Limited++
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

// classify returns how a backend server would admit a request, and whether the request
// can be sent there at all.
func classify(b catalog.Backend, load Counts, req Requirements, headroom int) (Reason, bool) {
	switch {
	case req.Class == Batch:
		return FreeSlot, load.total()+reserve(b, load)+headroom < b.Slots
	case load.total() < b.Slots:
		return FreeSlot, true
	case load.Online < b.Slots:
		return PreemptsBatch, true
	case load.Online < req.onlineLimit(b):
		return Queued, true
	case req.AllowOverload:
		return Overloaded, true
	}
	return "", false
}

// reasonRanks orders the ways in which a backend server admits a request: anything goes
// before a queue. A server whose batch attempt has to be stopped costs as much as one whose
// last slot is taken, so that online requests stay even over the servers where many of
// them have free slots by reports that are not quite up to date.
var reasonRanks = map[Reason]int{FreeSlot: 0, PreemptsBatch: 0, Queued: 1, Overloaded: 2}

// reserve returns how many free slots a batch attempt has to leave. Where online
// requests are frequent, a batch attempt that takes the last slot is soon preempted.
func reserve(b catalog.Backend, load Counts) int {
	if load.Online*2 <= b.Slots {
		return 0
	}
	return onlineReserve
}
