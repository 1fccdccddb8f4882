package waiting

import "time"

const (
	// returnableFraction is the fraction of its time for which a new request waits. Callers
	// honour a Retry-After of up to a third of their time, so one that is refused then can
	// still be served by another gateway.
	returnableFraction = 1.0 / 3
	// refusedWaitFactor is the fraction of the objective for which a request that backend
	// servers have refused is tried again: they are fuller than this gateway knows, and
	// another gateway may know better.
	refusedWaitFactor = 0.2
	// promptFactor is the fraction of its time to be in time within which a refusal is early
	// enough for a caller to be in time with its next attempt.
	promptFactor = 0.25
	// returnTrip is the least time in which a refused caller reaches another gateway.
	returnTrip = 30 * time.Millisecond
)

// Reason is why a request is refused.
type Reason string

// The reasons of a refusal.
const (
	// None: the request waits.
	None Reason = ""
	// AtArrival: the request was refused at once, as it can't be served in its time here or
	// is served in time at another gateway only.
	AtArrival Reason = "at_arrival"
	// AfterWait: no slot became free while the request waited.
	AfterWait Reason = "after_wait"
)

// Forecast is what is expected of a service's slots as of now.
type Forecast struct {
	// Known states that the waits follow from measurements; without them nobody is refused
	// for what is expected.
	Known bool
	// Ahead is how many requests go before this one.
	Ahead int
	// PerSecond is how many waiting requests get a slot per second at this gateway.
	PerSecond float64
	// Here is the expected wait at this gateway, Elsewhere that of a caller who comes to
	// another one.
	Here, Elsewhere time.Duration
	// Start is the time from sending a request until its first byte.
	Start time.Duration
}

// Slots is what is known of the slots of a service.
type Slots struct {
	// Count is the number of slots, Hold how long a request holds one.
	Count int
	Hold  Mean
	// Start is the time from sending a request until its first byte.
	Start Mean
}

// releasesPerSecond returns how many slots become free per second if all are in use.
func (s Slots) releasesPerSecond() float64 {
	if s.Hold.Value() <= 0 {
		return 0
	}
	return float64(s.Count) / s.Hold.Value().Seconds()
}

// EngineQueue returns how many requests may wait at a backend server, at most usual. It
// answers bursts in which requests hold their slots for longer than the objective: the slots
// of a server fill together and become free together, so that one that waits at the engine
// may spend a whole hold there, and no other can go before it.
func EngineQueue(usual int, hold Mean, objective time.Duration) int {
	if hold.Value() <= 0 {
		return usual
	}
	return min(int(objective/hold.Value()), usual)
}

// Expect returns the forecast for a request with ahead others before it. A slot that becomes
// free goes to each of the gateways where requests wait alike, unless the pace that this
// one has measured says otherwise.
func Expect(ahead int, s Slots, pace *Pace, elsewhere Elsewhere, now time.Time) Forecast {
	f := Forecast{Ahead: ahead, Start: s.Start.Bound()}
	fleet := s.releasesPerSecond()
	if fleet <= 0 {
		return f
	}
	f.Known = true
	f.PerSecond = pace.PerSecond(fleet/float64(elsewhere.WaitingAt+1), now)
	f.Here = seconds(float64(ahead+1) / f.PerSecond)
	if elsewhere.Gateways > 0 {
		perGateway := float64(elsewhere.Waiting) / float64(elsewhere.Gateways)
		f.Elsewhere = seconds(perGateway * float64(elsewhere.WaitingAt+1) / fleet)
	} else {
		f.Elsewhere = f.Here
	}
	return f
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Decide returns why a request that finds no slot is refused, or None and until when it
// waits at most. For a caller, an answer in time goes before one that is in time after one
// return, that before a late one, and that before none. serversRefused states that backend
// servers have refused the request.
func Decide(c Claim, f Forecast, serversRefused bool, now time.Time) (Reason, time.Time) {
	until := c.waitsUntil(f, serversRefused)
	switch {
	case now.After(until):
		return AfterWait, until
	case f.Known && now.Add(f.Here+f.Start).After(c.Deadline):
		return c.refusal(now), until
	case c.betterElsewhere(f, now):
		return AtArrival, until
	}
	return None, until
}

// waitsUntil returns until when a request waits. A caller that has come back has no further
// attempt, so it waits for as long as it can be served.
func (c Claim) waitsUntil(f Forecast, serversRefused bool) time.Time {
	switch {
	case serversRefused:
		return c.Arrived.Add(time.Duration(float64(c.Objective) * refusedWaitFactor))
	case c.Returned && f.Known:
		return c.Deadline.Add(-f.Start)
	}
	return c.Arrived.Add(time.Duration(float64(c.Deadline.Sub(c.Arrived)) * returnableFraction))
}

// refusal returns the reason of a refusal at the time now.
func (c Claim) refusal(now time.Time) Reason {
	if c.prompt(now) {
		return AtArrival
	}
	return AfterWait
}

// prompt reports whether a refusal now is early enough for the caller to be in time yet.
func (c Claim) prompt(now time.Time) bool {
	return now.Sub(c.Arrived) <= time.Duration(float64(c.InTimeUntil.Sub(c.Arrived))*promptFactor)
}

// betterElsewhere reports whether a new request is late here and in time at another gateway.
func (c Claim) betterElsewhere(f Forecast, now time.Time) bool {
	if !f.Known || c.Returned || !c.prompt(now) || c.CanBeInTime(now.Add(f.Here), f.Start) {
		return false
	}
	return c.CanBeInTime(now.Add(returnTrip+2*f.Elsewhere), f.Start)
}
