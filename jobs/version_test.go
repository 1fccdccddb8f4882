package jobs_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
