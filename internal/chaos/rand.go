package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Rand draws the schedule of a round. Equal seeds draw equal schedules.
type Rand struct {
	*rand.Rand
	seed uint64
}

// NewRand returns the Rand for a seed. Each kind of round uses a stream of its own, so
// that it draws a different schedule from the same seed.
func NewRand(seed, stream uint64) Rand {
	return Rand{Rand: rand.New(rand.NewPCG(seed, stream)), seed: seed}
}

// ID returns the identifier of the i-th operation of a kind.
func (r Rand) ID(kind string, i int) string { return fmt.Sprintf("s%d-%s%d", r.seed, kind, i) }

// Within draws a duration below limit, in whole milliseconds.
func (r Rand) Within(limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit))).Truncate(time.Millisecond)
}

// Between draws a duration that is at least from and below to.
func (r Rand) Between(from, to time.Duration) time.Duration { return from + r.Within(to-from) }

// Percent draws true in n of 100 cases.
func (r Rand) Percent(n int) bool { return r.IntN(100) < n }
