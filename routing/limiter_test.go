package routing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/routing"
)

func acquire(l *routing.Limiter, now time.Duration, workspace string) bool {
	ok, _ := l.Acquire(now, workspace)
	return ok
}

func TestLimiterRate(t *testing.T) {
	l := routing.NewLimiter(0)
	l.SetLimit(0, "a", routing.Limit{RequestsPerSecond: 2, Burst: 2})
	assert.Assert(t, acquire(l, 0, "a"))
	assert.Assert(t, acquire(l, 0, "a"))
	ok, retryAfter := l.Acquire(0, "a")
	assert.Assert(t, !ok)
	assert.Equal(t, retryAfter, 500*time.Millisecond)
	assert.Assert(t, acquire(l, retryAfter, "a"))
}

func TestLimiterFairShare(t *testing.T) {
	l := routing.NewLimiter(4)
	for range 4 {
		assert.Assert(t, acquire(l, 0, "a"))
	}
	assert.Assert(t, !acquire(l, 0, "a"), "a exceeds its fair share")
	assert.Assert(t, acquire(l, 0, "b"), "b has a fair share of its own")
	assert.Assert(t, acquire(l, 0, "b"))
	assert.Assert(t, !acquire(l, 0, "b"))
	l.Release("a")
	l.Release("a")
	assert.Assert(t, !acquire(l, 0, "a"))
	l.Release("b")
	assert.Assert(t, acquire(l, 0, "a"))
}

func TestLimiterMaxRunning(t *testing.T) {
	l := routing.NewLimiter(0)
	l.SetLimit(0, "a", routing.Limit{MaxConcurrent: 1})
	assert.Assert(t, acquire(l, 0, "a"))
	assert.Assert(t, !acquire(l, 0, "a"))
	l.Release("a")
	assert.Assert(t, acquire(l, 0, "a"))
}

func TestRetryBudget(t *testing.T) {
	b := routing.NewRetryBudget()
	n := 0
	for b.TakeRetry() {
		n++
	}
	assert.Equal(t, n, 10)
	for range 11 {
		b.RecordFirstAttempt()
	}
	assert.Assert(t, b.TakeRetry())
	assert.Assert(t, !b.TakeRetry())
}
