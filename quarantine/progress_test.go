package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRunThatIsServedSpeaksForItsParts guards against a part that is held although servers work on it without harm,
// because no run with it lasts short enough to complete between two crashes.
func TestRunThatIsServedSpeaksForItsParts(t *testing.T) {
	for _, c := range []struct {
		name          string
		events        int
		interval      time.Duration
		speaks, found int
	}{
		{"long", 50, 40 * time.Millisecond, 1, 0},
		{"two late events", 2, 2 * time.Second, 1, 0},
		{"short", 6, 40 * time.Millisecond, 0, 1},
		{"one event", 1, time.Minute, 0, 1},
		{"no event", 0, 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newGuardFixture(nil)
				f.table = NewTable(time.Now().Add(-time.Minute))
				asked := 0
				progress := f.Follow(func() []string { asked++; return []string{"part"} })
				for range c.events {
					time.Sleep(c.interval)
					progress.Event()
				}
				for i := range minCrashes {
					time.Sleep(time.Second)
					f.table.RecordCrash(uint32(i), runsOf("part"), time.Now())
				}
				assert.Equal(t, asked, c.speaks)
				assert.Equal(t, len(f.table.HoldSuspects([]string{"part"}, time.Now())), c.found)
			})
		})
	}
}

// TestRunsThatAreStoppedEarlySpeakTogether guards against a part that is held because each of its runs had to make
// room for requests of callers within its first second.
func TestRunsThatAreStoppedEarlySpeakTogether(t *testing.T) {
	for runs, found := range map[int]int{2: 1, 8: 0} {
		synctest.Test(t, func(t *testing.T) {
			f := newGuardFixture(nil)
			f.table = NewTable(time.Now().Add(-time.Minute))
			for range runs {
				progress := f.Follow(func() []string { return []string{"part"} })
				progress.Event()
				time.Sleep(150 * time.Millisecond)
				progress.Stopped()
			}
			for i := range minCrashes {
				f.table.RecordCrash(uint32(i), runsOf("part"), time.Now())
				time.Sleep(time.Second)
			}
			assert.Equal(t, len(f.table.HoldSuspects([]string{"part"}, time.Now())), found, "%d runs", runs)
		})
	}
}
