package quota

import "time"

// countTolerance makes up for rounding in counts of permits.
const countTolerance = 1e-9

// Bucket is a token bucket. It uses no clock. Its level is negative while it has a debt.
type Bucket struct {
	// Level is the number of permits that are left.
	Level float64
}

// Refill adds the permits of the time that has passed, up to the size of the bucket.
func (b *Bucket) Refill(rate, size float64, elapsed time.Duration) {
	b.Level = min(b.Level+rate*max(elapsed, 0).Seconds(), size)
}

// Take takes one permit and reports whether there was one.
func (b *Bucket) Take() bool {
	if b.Level < 1-countTolerance {
		return false
	}
	b.Level--
	return true
}

// UntilNext returns the time until the bucket holds a permit.
func (b *Bucket) UntilNext(rate float64) time.Duration {
	return permitsTime(max(1-b.Level, 0), rate)
}

// permitsTime returns the time in which a rate brings n permits.
func permitsTime(n, rate float64) time.Duration {
	return time.Duration(n / rate * float64(time.Second))
}
