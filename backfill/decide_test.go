package backfill_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/backfill"
)

// observed returns a forecast that has seen the load at each 50 ms until now, the time 0.
func observed(load func(before time.Duration) int) *backfill.Forecast {
	f := &backfill.Forecast{}
	for before := 16 * time.Second; before >= 0; before -= 50 * time.Millisecond {
		f.Observe(load(before), time.Unix(0, 0).Add(-before))
	}
	return f
}

// TestRegularRiseIsExpected checks that a peak that comes every 5 s is expected, and that no
// peak is expected from a load that only varies as independent requests do.
func TestRegularRiseIsExpected(t *testing.T) {
	now := time.Unix(0, 0)
	peaks := observed(func(before time.Duration) int {
		if (before+2*time.Second)%(5*time.Second) > 4*time.Second {
			return 150 // the last of these seconds has ended 2 s ago
		}
		return 30
	})
	at, known := peaks.NextRise(now)
	assert.Assert(t, known)
	assert.Assert(t, at.Sub(now) > 1500*time.Millisecond && at.Sub(now) < 2500*time.Millisecond, "%v", at.Sub(now))
	assert.Assert(t, peaks.Within(400*time.Millisecond, now) < 40)
	assert.Assert(t, peaks.Within(3*time.Second, now) > 150)
	even := observed(func(before time.Duration) int { return 100 + int(10*math.Sin(before.Seconds())) })
	_, known = even.NextRise(now)
	assert.Assert(t, !known)
	assert.Assert(t, even.Within(3*time.Second, now) < 125)
}

// TestItemsDueSoonDoNotWait checks the starts at a full region and at one with free slots.
func TestItemsDueSoonDoNotWait(t *testing.T) {
	now := time.Unix(0, 0)
	full := observed(func(time.Duration) int { return 60 })
	load := backfill.Load{Slots: 80, Online: 60, Batch: 16}
	calm := backfill.Item{Remaining: 4 * time.Second, Left: 12 * time.Second}
	assert.Equal(t, backfill.NewRoom(load, full, now).Decide(calm), backfill.Held)
	assert.Equal(t, backfill.NewRoom(load, full, now).Decide(backfill.Item{Remaining: 4 * time.Second, Left: 6 * time.Second}), backfill.DueSoon)
	assert.Equal(t, backfill.NewRoom(load, full, now).Decide(backfill.Item{Remaining: 4 * time.Second, Left: 3 * time.Second}), backfill.Held, "it is late in any case")
	waitsLong := calm
	waitsLong.Backlog = 8 * time.Second
	assert.Equal(t, backfill.NewRoom(load, full, now).Decide(waitsLong), backfill.DueSoon, "others before it need all slots")
	load.Batch = 0
	room := backfill.NewRoom(load, full, now)
	for range 3 { // a quarter of 80 - 60 - 8
		assert.Equal(t, room.Decide(calm), backfill.InGap)
		room.Started()
	}
	assert.Equal(t, room.Decide(calm), backfill.Held)
}

// TestRunsWithMostLeftAreCut checks the order in which runs are stopped.
func TestRunsWithMostLeftAreCut(t *testing.T) {
	run := func(answered bool, remaining, left time.Duration) backfill.Run {
		return backfill.Run{Answered: answered, Item: backfill.Item{Remaining: remaining * time.Second, Left: left * time.Second}}
	}
	runs := []backfill.Run{run(true, 1, 9), run(true, 4, 6), run(true, 3, 9), run(false, 2, 9), run(true, 3, 12)}
	assert.DeepEqual(t, backfill.Cut(runs, 9), []int{3, 4, 2, 0, 1})
	assert.DeepEqual(t, backfill.Cut(runs, 2), []int{3, 4})
	assert.Equal(t, len(backfill.Cut(runs, -1)), 0)
}
