package jobs_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestServerThatHasBeenReplacedIsLeftAlone guards against items that are sent to a server again and again, at whose
// address another one answers.
func TestServerThatHasBeenReplacedIsLeftAlone(t *testing.T) {
	const maxRequests = 10
	c := newCluster(t, 2)
	replaced := c.backends[0]
	replaced.SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.Misdirected })
	for _, b := range c.backends {
		b.Events, b.EventInterval = 40, 25*time.Millisecond
	}
	a := c.start("a")
	j := job("j", 3*clusterSlots)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(a, j))
	assert.Assert(t, len(replaced.Requests()) <= maxRequests, "%d requests for a server that has been replaced", len(replaced.Requests()))
}
