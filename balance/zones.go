package balance

import (
	"math"
	"time"
)

// zoneLoad is the load of one availability zone for one service.
type zoneLoad struct {
	// demand is the number of online attempts that the zone's own gateways have in progress,
	// wherever they run, and of those that other regions have sent to its backend servers. It
	// does not depend on where the zone's requests are sent, so a decision that follows from it
	// does not change its own basis.
	demand float64
	// slots is the number of slots of the zone's backend servers that can take requests; those of
	// a slow server count for less. servers is the number of these backend servers.
	slots   float64
	servers float64
}

// zoneQuestion is what decides whether requests leave their zone.
type zoneQuestion struct {
	// home is the own zone, and other the mean of the others zones of the region that can take
	// requests of it.
	home, other zoneLoad
	others      int
	// hold is how long an attempt holds its slot.
	hold time.Duration
	// crossing is what a request that crosses costs, in milliseconds: the longer path and the
	// price of its bytes.
	crossing float64
}

// saturation is the fraction of used slots from which on a zone counts as overloaded: the wait then
// grows by the time that the excess takes.
const saturation = 0.98

// expectedTime returns how long a request waits in a zone that has the demand, in milliseconds: the
// time that the attempts beside it on its backend server cost it, and the wait for a slot, which is
// that of a queue in front of all slots of the zone (H. Sakasegawa, An approximation formula, 1977).
// With the same fraction of slots in use, few slots make a longer wait than many.
func (z zoneLoad) expectedTime(demand float64, hold time.Duration) float64 {
	if z.slots <= 0 || z.servers <= 0 {
		return math.Inf(1)
	}
	used := demand / z.slots
	beside := slotTime * demand / z.servers
	holdTime := hold.Seconds() * millisecondsPerSecond
	exponent := math.Sqrt(2*(z.slots+1)) - 1
	queue := func(used float64) float64 { return holdTime * math.Pow(used, exponent) / (z.slots * (1 - used)) }
	if used <= saturation {
		return beside + queue(used)
	}
	return beside + queue(saturation) + holdTime*(used-saturation)
}

// leavingShare returns which share of the own zone's requests should be sent to the other zones: as
// much as makes the expected time at home equal to that there plus the crossing. It is 0 unless the
// own zone is so much fuller, so of two zones only one sends requests to the other.
func (q zoneQuestion) leavingShare() float64 {
	if q.others == 0 || q.other.slots <= 0 {
		return 0
	}
	if q.home.slots <= 0 {
		return 1
	}
	pays := func(share float64) bool {
		moved := share * q.home.demand
		home := q.home.expectedTime(q.home.demand-moved, q.hold)
		return home > q.other.expectedTime(q.other.demand+moved/float64(q.others), q.hold)+q.crossing
	}
	if !pays(0) {
		return 0
	}
	low, high := 0.0, 1.0
	const steps = 12 // halvings; the share is then exact to 1 in 4,096
	for range steps {
		if middle := (low + high) / 2; pays(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

const (
	// Requests begin to leave their zone once the share reaches beginLeaving, and stop when it is
	// below endLeaving.
	beginLeaving = 0.05
	endLeaving   = 0.02
	// riseTime and fallTime are the time constants with which the share follows what the loads
	// call for: a wave of requests lasts for seconds, while a wrong share lets callers wait.
	riseTime = 100 * time.Millisecond
	fallTime = 400 * time.Millisecond
)

// leaving is the share of requests that leave a zone. It follows the loads with hysteresis.
type leaving struct {
	share  float64
	active bool
	at     time.Time
}

// update takes in the share that the loads call for now.
func (l *leaving) update(target float64, now time.Time) {
	constant := riseTime
	if target < l.share {
		constant = fallTime
	}
	if l.at.IsZero() {
		l.at = now
	}
	weight := 1 - math.Exp(-now.Sub(l.at).Seconds()/constant.Seconds())
	if target == 1 { // nothing at home can take a request
		weight = 1
	}
	l.share += weight * (target - l.share)
	l.at = now
	l.active = l.share >= beginLeaving || l.active && l.share >= endLeaving
}

// current returns the share of requests that are to leave.
func (l *leaving) current() float64 {
	if !l.active {
		return 0
	}
	return l.share
}
