package waiting

import (
	"math"
	"time"
)

const (
	// unknownRoom is when room is expected if nothing has been measured, and unknownSpread over
	// which time callers then come back.
	unknownRoom   = 300 * time.Millisecond
	unknownSpread = 500 * time.Millisecond
	// minReturnSpread is the least time over which refused callers come back.
	minReturnSpread = 20 * time.Millisecond
	// honouredFraction is the fraction of their time left up to which callers wait before they
	// come back.
	honouredFraction = 1.0 / 3
	// returnsWindow is the time constant with which refusals are forgotten.
	returnsWindow = time.Second
)

// Returns says when refused callers should come back: once room is expected, at no more than
// the pace of the slots, and early enough to be served.
type Returns struct {
	// refused is a decaying count of the refused requests as of at.
	refused float64
	at      time.Time
}

// After returns the time after which a refused caller should come back. point is a random
// number in [0, 1).
func (r *Returns) After(c Claim, reason Reason, f Forecast, now time.Time, point float64) time.Duration {
	r.refused = r.refused*math.Exp(-now.Sub(r.at).Seconds()/returnsWindow.Seconds()) + 1
	r.at = now
	room, spread := unknownRoom, unknownSpread
	switch {
	case reason == AtArrival && c.betterElsewhere(f, now):
		room, spread = returnTrip, minReturnSpread
	case f.Known:
		room = max(f.Elsewhere, returnTrip)
		spread = max(seconds(r.refused/f.PerSecond), minReturnSpread)
	}
	longest := time.Duration(float64(c.Deadline.Sub(now)-f.Start) * honouredFraction)
	first := min(room, longest)
	last := min(room+spread, longest)
	if last-first < minReturnSpread {
		first = max(last-minReturnSpread, 0)
	}
	return max(first+time.Duration(point*float64(last-first)), time.Millisecond)
}
