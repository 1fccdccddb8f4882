package backfill

import "time"

const (
	// usefulRun is the shortest run that is worth its start: the prompt and the output so far
	// are read again, and the slot is lost to online requests until the run is stopped.
	usefulRun = 400 * time.Millisecond
	// urgency is how many times an item's remaining run must fit into the time until it is due
	// for the item to wait for a gap: items that only run in the gaps get about half of the time.
	urgency = 2
	// backlogMargin is how much longer the items that wait take if they leave slots free for
	// online requests.
	backlogMargin = 1.25
	// startsPerCycle divides the free slots among the gateways that see them free at the same
	// moment, and among the cycles until each knows what the others have started.
	startsPerCycle = 4
)

// Load is the load of the ready backend servers of a service in one region.
type Load struct {
	Slots, Online, Batch int
}

// Item is what a decision needs to know of an item that has no run.
type Item struct {
	// Remaining is the time that the rest of its output takes; 0 if it is not known.
	Remaining time.Duration
	// Left is the time until the item is due.
	Left time.Duration
	// Backlog is the time that all unfinished items take on the slots that online requests
	// leave on average.
	Backlog time.Duration
}

// urgent reports whether the item is late if it waits for gaps, or others with it, but not if it
// starts now.
func (i Item) urgent() bool {
	backlog := time.Duration(backlogMargin * float64(i.Backlog))
	return i.Left > i.Remaining && i.Left < i.Remaining+max((urgency-1)*i.Remaining, backlog)
}

// Verdict is the decision on the start of an item.
type Verdict string

// The verdicts.
const (
	// InGap: the item probably runs for a useful time.
	InGap Verdict = "gap"
	// DueSoon: the item may be stopped soon, but is late if it waits.
	DueSoon Verdict = "due_soon"
	// Held: the free slots will probably be needed before the item has run for a useful time.
	Held Verdict = "held"
)

// Room is how many runs may start in one region in one cycle.
type Room struct {
	load     Load
	forecast *Forecast
	now      time.Time
	started  int
}

// NewRoom returns the room at a load, given the forecast for the region.
func NewRoom(load Load, forecast *Forecast, now time.Time) *Room {
	return &Room{load: load, forecast: forecast, now: now}
}

// Decide decides whether an item starts.
func (r *Room) Decide(item Item) Verdict {
	if r.free(item) > r.started {
		return InGap
	}
	if item.urgent() {
		return DueSoon
	}
	return Held
}

// Started counts a run that was started.
func (r *Room) Started() { r.started++ }

// free returns how many runs may start in this cycle.
func (r *Room) free(item Item) int {
	horizon := usefulRun
	if item.Remaining > 0 {
		horizon = min(horizon, item.Remaining)
	}
	free := r.load.Slots - r.load.Batch - int(r.forecast.Within(horizon, r.now)+0.5)
	if free <= 0 {
		return 0
	}
	return (free + startsPerCycle - 1) / startsPerCycle
}
