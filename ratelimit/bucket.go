package ratelimit

import "time"

const (
	// minRate is the least rate in requests a second: a server that gets no request can't say
	// that its limit has ended.
	minRate = 0.1
	// bucketTime is the time for which a bucket collects permits that nobody requests, in
	// addition to one permit.
	bucketTime = time.Second
	// grantTime is the time for which the permits of one grant last at the limit.
	grantTime = 50 * time.Millisecond
	// countTolerance makes up for rounding in counts of permits.
	countTolerance = 1e-9
)

// bucket is the token bucket of one backend server at the gateway that hands out its permits. It
// starts empty, so that a gateway that takes over from another one adds nothing to the sum.
type bucket struct {
	permits float64
	at      time.Time
	// waiting is the number of online requests that were denied and have probably not come back
	// yet.
	waiting int
}

// capacity returns the most permits that a bucket holds.
func capacity(rate float64) float64 { return 1 + rate*bucketTime.Seconds() }

// refill adds the permits of the time that has passed.
func (b *bucket) refill(rate float64, now time.Time) {
	b.permits = min(b.permits+rate*max(now.Sub(b.at), 0).Seconds(), capacity(rate))
	b.at = now
	if b.permits >= capacity(rate)-countTolerance {
		b.waiting = 0
	}
}

// take takes permits for one request and, at a high rate, for those that follow it within
// grantTime. Batch requests only get permits that online requests leave until the bucket is full.
// If it takes none, wait is the time after which the next one is probably left for this request.
func (b *bucket) take(rate float64, batch bool, now time.Time) (granted int, wait time.Duration) {
	b.refill(rate, now)
	need := 1.0
	if batch {
		need = capacity(rate)
	}
	if b.permits < need-countTolerance {
		wait = time.Duration((need - b.permits + float64(b.waiting)) / rate * float64(time.Second))
		if !batch {
			b.waiting++
		}
		return 0, wait
	}
	granted = max(1, int(min(b.permits, rate*grantTime.Seconds())))
	b.permits -= float64(granted)
	b.waiting = max(b.waiting-granted, 0)
	return granted, 0
}
