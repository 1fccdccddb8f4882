package backfill

import (
	"math"
	"time"
)

const (
	// historyWindow is how long an observed load counts.
	historyWindow = 10 * time.Second
	// sampleInterval is the least time between two samples of the history.
	sampleInterval = 50 * time.Millisecond
	maxSamples     = int(historyWindow / sampleInterval)
	// trendWindow is the time over which the trend of the load is measured.
	trendWindow = 300 * time.Millisecond
	// minTrend is the least growth within trendWindow that counts as a trend, and minSwing the
	// least difference between peak and gap that counts as one, in standard deviations of the
	// load of a service whose requests arrive independently.
	minTrend = 1.5
	minSwing = 6.0
	// hysteresis is the part of the swing around its middle within which the load is neither
	// said to have risen nor to have fallen.
	hysteresis = 0.2
	// keptIntervals is the number of intervals between rises that are compared. They are
	// regular if none differs from their mean by more than irregularity of it.
	keptIntervals = 2
	irregularity  = 0.2
)

// sample is the number of slots in use by online requests at one time.
type sample struct {
	at     time.Time
	online int
}

// Forecast is a picture of the online load of a service, learned from the last seconds.
// The zero value has seen nothing. It is not safe for concurrent use.
type Forecast struct {
	samples []sample
	peak    int
	gap     int
	// high states that the load has risen above the middle of its swing and has not fallen
	// below it since.
	high bool
	// rises are the last times at which it rose.
	rises []time.Time
}

// Observe adds the number of slots that online requests use now.
func (f *Forecast) Observe(online int, now time.Time) {
	if n := len(f.samples); n > 0 && now.Sub(f.samples[n-1].at) < sampleInterval {
		return
	}
	old := 0
	for old < len(f.samples) && (now.Sub(f.samples[old].at) > historyWindow || len(f.samples)-old >= maxSamples) {
		old++
	}
	f.samples = append(f.samples[old:], sample{now, online})
	f.peak, f.gap = online, online
	for _, s := range f.samples {
		f.peak, f.gap = max(f.peak, s.online), min(f.gap, s.online)
	}
	f.recordStep(online, now)
}

// recordStep records whether the load has risen or fallen past the middle of its swing.
func (f *Forecast) recordStep(online int, now time.Time) {
	swing := float64(f.peak - f.gap)
	if swing < minSwing*math.Sqrt(float64(f.peak)) {
		return
	}
	middle := float64(f.gap) + swing/2
	switch margin := swing * hysteresis / 2; {
	case !f.high && float64(online) > middle+margin:
		f.high = true
		f.rises = append(f.rises, now)
		f.rises = f.rises[max(0, len(f.rises)-keptIntervals-1):]
	case f.high && float64(online) < middle-margin:
		f.high = false
	}
}

// NextRise returns when the load is expected to rise. It is not known while the load is high,
// unless the last rises came at regular intervals, or if one did not come when expected.
func (f *Forecast) NextRise(now time.Time) (at time.Time, known bool) {
	if f.high || len(f.rises) <= keptIntervals {
		return time.Time{}, false
	}
	last := f.rises[len(f.rises)-1]
	mean := last.Sub(f.rises[0]) / keptIntervals
	tolerance := time.Duration(irregularity * float64(mean))
	for i := range keptIntervals {
		if (f.rises[i+1].Sub(f.rises[i]) - mean).Abs() > tolerance {
			return time.Time{}, false
		}
	}
	at = last.Add(mean)
	return at, now.Before(at.Add(tolerance))
}

// Within returns the most slots that online requests will probably use at any time within d:
// as many as now and what the trend adds, or the recent peak if a rise is expected, and the
// standard deviation of that number.
func (f *Forecast) Within(d time.Duration, now time.Time) float64 {
	if len(f.samples) == 0 {
		return 0
	}
	online := float64(f.samples[len(f.samples)-1].online)
	expected := min(online+f.trend()*d.Seconds(), float64(f.peak))
	if at, known := f.NextRise(now); known && at.Before(now.Add(d)) {
		expected = float64(f.peak)
	}
	return expected + math.Sqrt(expected)
}

// Mean returns how many slots online requests have used on average.
func (f *Forecast) Mean() float64 {
	sum := 0
	for _, s := range f.samples {
		sum += s.online
	}
	return float64(sum) / float64(max(len(f.samples), 1))
}

// trend returns by how many slots a second the load grows; 0 if it does not.
func (f *Forecast) trend() float64 {
	last := f.samples[len(f.samples)-1]
	first := last
	for i := len(f.samples) - 1; i >= 0 && last.at.Sub(f.samples[i].at) <= trendWindow; i-- {
		first = f.samples[i]
	}
	growth := float64(last.online - first.online)
	if growth <= minTrend*math.Sqrt(float64(last.online)) {
		return 0
	}
	return growth / last.at.Sub(first.at).Seconds()
}
