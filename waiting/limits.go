package waiting

import "time"

const (
	// limitWindow is the time over which the time limits of callers are counted.
	limitWindow = 10 * time.Second
	// maxLimits bounds the different time limits that are counted in a window.
	maxLimits = 256
	// usualShare is the share of the requests that has a usual time limit, and usualCount their
	// least number.
	usualShare = 0.05
	usualCount = 3
	// limitStep is the unit of time limits.
	limitStep = time.Millisecond
)

// Limits tells callers that come back from new ones by the time that they have left. New
// requests of a caller's program all have the same time limit; one that comes back has less,
// by a time that is hardly ever the same. A limit that a part of the requests has is a usual
// one, so that callers who are always in a hurry are not taken for others who have come back.
// The zero value knows no limits.
type Limits struct {
	current, last limitCounts
	began         time.Time
}

// limitCounts counts the requests of a window by their time limits.
type limitCounts struct {
	byLimit map[time.Duration]int
	total   int
}

// Observe records the time limit of a request. It returns the time that the caller has spent
// before, if the request has probably come back, else 0.
func (l *Limits) Observe(limit time.Duration, now time.Time) time.Duration {
	limit = limit.Round(limitStep)
	if now.Sub(l.began) > limitWindow {
		l.last, l.current, l.began = l.current, limitCounts{byLimit: make(map[time.Duration]int)}, now
	}
	l.current.add(limit)
	if l.usual(limit) {
		return 0
	}
	spent := time.Duration(0)
	for _, counts := range []limitCounts{l.current, l.last} {
		for other := range counts.byLimit {
			if other > limit && l.usual(other) && (spent == 0 || other-limit < spent) {
				spent = other - limit
			}
		}
	}
	return spent
}

func (l *Limits) usual(limit time.Duration) bool {
	return l.current.usual(limit) || l.last.usual(limit)
}

func (c *limitCounts) add(limit time.Duration) {
	c.total++
	if c.byLimit[limit] > 0 || len(c.byLimit) < maxLimits {
		c.byLimit[limit]++
	}
}

func (c *limitCounts) usual(limit time.Duration) bool {
	n := c.byLimit[limit]
	return n >= usualCount && float64(n) >= usualShare*float64(c.total)
}
