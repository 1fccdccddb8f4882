package soak

import (
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
)

const (
	// namedLimit is the limit that backend servers name, in requests a second.
	namedLimit = 2
	// limitWindow is the time in which requests are counted.
	limitWindow = 2 * time.Second
	// limitNotice is the time after which every gateway keeps a limit: a gateway learns it with the
	// first response of the server, or from another gateway.
	limitNotice = time.Second
	// limitFactor and limitExtra are how much more than the limit a server may get in a window.
	limitFactor = 1.5
	limitExtra  = 5
)

// checkLimits checks what backend servers that named a limit received while no gateway was
// disturbed.
func (c *checker) checkLimits() {
	const allowed = int(limitFactor*namedLimit*float64(limitWindow/time.Second)) + limitExtra
	arrivals := make(map[string][]time.Time)
	for _, runs := range c.arrivals {
		for _, a := range runs {
			arrivals[a.backend] = append(arrivals[a.backend], a.At)
		}
	}
	for _, named := range c.history.Limits {
		begin := named.Begin.Add(limitNotice)
		if !c.calm(named.Begin, named.End) {
			continue
		}
		at := slices.DeleteFunc(slices.Clone(arrivals[named.Target]), func(t time.Time) bool { return t.Before(begin) || t.After(named.End) })
		if n := mostWithin(at, limitWindow); n > allowed {
			c.verdict.AddFinding(chaos.LimitExceeded, "%s named %d requests a second and got %d in %s, %d are allowed", named.Target, namedLimit, n, limitWindow, allowed)
		}
	}
}

// calm reports whether no gateway was disturbed in a period.
func (c *checker) calm(begin, end time.Time) bool {
	return !slices.ContainsFunc(c.history.Disturbed, func(d Interval) bool { return d.overlaps(begin, end) })
}

// mostWithin returns the largest number of times that lie within a window.
func mostWithin(at []time.Time, window time.Duration) int {
	slices.SortFunc(at, time.Time.Compare)
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
