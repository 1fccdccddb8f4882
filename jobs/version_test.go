package jobs_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestProgressOfAnotherVersionIsNotContinued covers a release of the backend servers between
// the last run of an owner and the first run of the next one.
func TestProgressOfAnotherVersionIsNotContinued(t *testing.T) {
	for name, version := range map[string]string{"same version": "v1", "next version": "v2"} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1)
			c.backends[0].Events, c.backends[0].EventInterval = 120, 20*time.Millisecond
			a := c.start("a")
			j := job("j1", 1)
			assert.NilError(t, a.Submit(t.Context(), j, 0))
			c.waitCheckpoints(j)
			a.kill()
			c.backends[0].Version = version
			c.checkComplete(j, c.waitComplete(c.start("b"), j))
			requests := c.backends[0].Requests()
			resumed := requests[len(requests)-1].ResumeAfter != ""
			assert.Equal(t, resumed, version == "v1")
		})
	}
}

// TestItemWaitsForItsVersionAndStartsAgain fills the only server of the version that has begun
// an item with online requests, while a server of another version is free.
func TestItemWaitsForItsVersionAndStartsAgain(t *testing.T) {
	for name, free := range map[string]time.Duration{"short": 200 * time.Millisecond, "long": time.Minute} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1)
			old := c.backends[0]
			old.Events, old.EventInterval = 100, 20*time.Millisecond
			a := c.start("a")
			j := job("j1", 1)
			assert.NilError(t, a.Submit(t.Context(), j, 0))
			c.waitCheckpoints(j)
			next := platformtest.NewBackend(t, "backend-1")
			next.Version, next.Events = "v2", 100
			release := a.fillWithOnline(t)
			timer := time.AfterFunc(free, release)
			defer timer.Stop()
			begin := time.Now()
			c.addBackend(next)
			c.checkComplete(j, c.waitComplete(a, j))
			if free < time.Second {
				assert.Equal(t, next.Runs(j.Items[0].ID), 0)
				return
			}
			runs := next.Requests()
			assert.Equal(t, len(runs), 1)
			assert.Equal(t, runs[0].ResumeAfter, "")
			assert.Assert(t, runs[0].At.Sub(begin) > 700*time.Millisecond, "%s", runs[0].At.Sub(begin))
		})
	}
}
