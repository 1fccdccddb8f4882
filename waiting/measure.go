package waiting

import (
	"math"
	"time"
)

const (
	// meanWeight is the weight of a new value in a Mean.
	meanWeight = 1.0 / 16
	// boundDeviations is how many mean deviations a Bound lies above the mean.
	boundDeviations = 2
	// paceWindow is the time constant of a Pace.
	paceWindow = 500 * time.Millisecond
	// pacePrior is the waiting time whose measurement weighs as much as the prior of a Pace.
	pacePrior = 100 * time.Millisecond
)

// Mean is a moving average of durations and of their deviation. The zero value has none.
type Mean struct {
	value, deviation time.Duration
	known            bool
}

// Add adds a duration.
func (m *Mean) Add(d time.Duration) {
	if !m.known {
		*m = Mean{value: d, deviation: d / boundDeviations, known: true}
		return
	}
	m.deviation += time.Duration(meanWeight * float64((d-m.value).Abs()-m.deviation))
	m.value += time.Duration(meanWeight * float64(d-m.value))
}

// Known reports whether a duration was added.
func (m Mean) Known() bool { return m.known }

// Value returns the average.
func (m Mean) Value() time.Duration { return m.value }

// Bound returns a duration that few exceed.
func (m Mean) Bound() time.Duration { return m.value + boundDeviations*m.deviation }

// Pace measures how many waiting requests of a service get a slot per second at this gateway,
// over the time in which some wait.
type Pace struct {
	// granted is a decaying count of the requests, waited the decaying time in which some
	// waited, both as of at.
	granted float64
	waited  time.Duration
	at      time.Time
	waiting bool
}

// Observe records that from now on requests wait, or that none does.
func (p *Pace) Observe(waiting bool, now time.Time) {
	p.advance(now)
	p.waiting = waiting
}

// Granted records that a waiting request got a slot.
func (p *Pace) Granted(now time.Time) {
	p.advance(now)
	p.granted++
}

// PerSecond returns the pace. prior is the pace that other knowledge suggests; it counts
// until requests have waited for long enough.
func (p *Pace) PerSecond(prior float64, now time.Time) float64 {
	p.advance(now)
	return (p.granted + prior*pacePrior.Seconds()) / (p.waited + pacePrior).Seconds()
}

// advance brings the counts to now. They decay while requests wait only: what was measured in
// one burst holds in the next.
func (p *Pace) advance(now time.Time) {
	elapsed := now.Sub(p.at)
	p.at = now
	if !p.waiting || elapsed <= 0 {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / paceWindow.Seconds())
	p.granted *= kept
	p.waited = time.Duration(float64(p.waited)*kept) + time.Duration((1-kept)*float64(paceWindow))
}
