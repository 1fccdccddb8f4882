package egress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// TestCallersThatDoNotReadAreCutOffFirst plays 40 callers of results of 420 kB each on a process
// that may hold 8 MiB: ten read nothing, thirty take a part every 200 ms. Only those that read
// nothing are cut off, and everybody else gets all of its response.
func TestCallersThatDoNotReadAreCutOffFirst(t *testing.T) {
	const callers, silent, response, part, step = 40, 10, 420 * kib, 16 * kib, 200 * time.Millisecond
	l := NewLedger(Limits{Stall: 10 * time.Second, MinStall: 500 * time.Millisecond, Bytes: 8 * mib})
	now := time.Now()
	cut := make(map[ID]bool)
	left := make(map[ID]int64)
	for id := ID(1); id <= callers; id++ {
		left[id] = response
		l.Wait(id, response, now)
	}
	for range 30 {
		now = now.Add(step)
		for id := ID(silent + 1); id <= callers; id++ {
			n := min(left[id], part)
			left[id] -= n
			l.Take(id, n, now)
		}
		for _, id := range l.Excess(now) {
			cut[id] = true
			l.Remove(id)
		}
	}
	for id := range cut {
		assert.Assert(t, id <= silent, "caller %d reads and was cut off", id)
	}
	assert.Equal(t, len(cut), silent)
	for id := ID(silent + 1); id <= callers; id++ {
		assert.Equal(t, left[id], int64(0))
	}
	assert.Equal(t, l.Total(), int64(0))
}

func TestNobodyIsCutOffBelowTheBound(t *testing.T) {
	l := NewLedger(Limits{MinStall: time.Second, Bytes: mib})
	now := time.Now()
	l.Wait(1, mib, now)
	assert.Equal(t, len(l.Excess(now.Add(time.Hour))), 0)
}

func TestNoMoreCallersAreCutOffThanTheBoundNeeds(t *testing.T) {
	l := NewLedger(Limits{MinStall: time.Second, Bytes: 2 * kib})
	now := time.Now()
	for id := ID(1); id <= 4; id++ {
		l.Wait(id, kib, now.Add(time.Duration(id)*time.Millisecond))
	}
	assert.DeepEqual(t, l.Excess(now.Add(time.Minute)), []ID{1, 2})
}
