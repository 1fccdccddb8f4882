package balance

import (
	"math"
	"time"
)

const (
	// startRateWindow is the time constant of the moving average of a peer's start rate.
	startRateWindow = 500 * time.Millisecond
	// minRateInterval is the least time between two reports from which a rate is measured.
	minRateInterval = 20 * time.Millisecond
)

// startRate is the rate at which a peer starts attempts at one service, measured from the
// counts in its reports.
type startRate struct {
	// started is the count as of at.
	started uint64
	at      time.Time
	// perSecond is 0 until two reports have been received.
	perSecond float64
}

// update returns the rate after a report of the count.
func (r startRate) update(started uint64, now time.Time) startRate {
	interval := now.Sub(r.at)
	if interval < minRateInterval || started < r.started {
		return r
	}
	measured := float64(started-r.started) / interval.Seconds()
	weight := 1 - math.Exp(-interval.Seconds()/startRateWindow.Seconds())
	return startRate{started: started, at: now, perSecond: r.perSecond + weight*(measured-r.perSecond)}
}

// unseenStarts estimates how many attempts peers have started at a service since their
// last reports. It holds the sum of the peers' rates, and the sum of these rates multiplied
// by the times of the reports, so that the cost of an estimate does not depend on the
// number of peers.
type unseenStarts struct {
	perSecond float64
	// atBase is what the estimate would be at the time base.
	atBase float64
}

// base is the time that unseenStarts.atBase refers to; any fixed time serves.
var base = time.Now()

// add adds a peer's rate as of its last report; a negative rate removes it.
func (u *unseenStarts) add(perSecond float64, reportedAt time.Time) {
	u.perSecond += perSecond
	u.atBase -= perSecond * reportedAt.Sub(base).Seconds()
}

func (u *unseenStarts) at(now time.Time) float64 {
	return max(u.atBase+u.perSecond*now.Sub(base).Seconds(), 0)
}
