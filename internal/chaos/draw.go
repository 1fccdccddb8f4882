package chaos

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Draw draws the schedule of a round, the same for the same seed.
type Draw struct {
	*rand.Rand
	seed uint64
}

// NewDraw returns the draw of a seed. Kinds of rounds with different streams draw
// differently from the same seed.
func NewDraw(seed, stream uint64) Draw {
	return Draw{Rand: rand.New(rand.NewPCG(seed, stream)), seed: seed}
}

// ID names the i-th thing of a kind.
func (d Draw) ID(kind string, i int) string { return fmt.Sprintf("s%d-%s%d", d.seed, kind, i) }

// Within returns a time below limit, in whole milliseconds.
func (d Draw) Within(limit time.Duration) time.Duration {
	return time.Duration(d.Int64N(int64(limit))).Truncate(time.Millisecond)
}

// Between returns a time from one limit to below the other.
func (d Draw) Between(from, to time.Duration) time.Duration { return from + d.Within(to-from) }

// Percent is true in n of 100 cases.
func (d Draw) Percent(n int) bool { return d.IntN(100) < n }
