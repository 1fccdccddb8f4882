package jobs_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestOutputLongerThanAnAppendStopsNoShard guards against a result that no append can hold, which is repeated without
// end and keeps all other results of its shard from being written.
func TestOutputLongerThanAnAppendStopsNoShard(t *testing.T) {
	c := newCluster(t, 2)
	for _, b := range c.backends {
		b.Events, b.EventInterval = 2500, 100*time.Microsecond
	}
	a := c.start("a")
	long := job("long", 3)
	assert.NilError(t, a.Submit(t.Context(), long, 0))
	results := c.waitComplete(a, long)
	assert.Assert(t, len(results[0].Text) > 20000, "one append holds %d bytes", len(results[0].Text))
	c.checkComplete(long, results)
	c.start("b")
	a.kill()
	b := c.start("c")
	c.checkComplete(long, c.waitComplete(b, long))
}

// TestResponseWithoutEventsIsNoOutput guards against an item that is listed with an empty text, because a server has
// ended its response before the first event as it ends a complete one.
func TestResponseWithoutEventsIsNoOutput(t *testing.T) {
	c := newCluster(t, 1)
	var faults atomic.Int64
	c.backends[0].SetFault(func(platformtest.Request) platformtest.Fault {
		if faults.Add(1) <= 1 {
			return platformtest.NoEvents
		}
		return platformtest.None
	})
	a := c.start("a")
	j := job("j", 1)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(a, j))
}

// TestEmptyOutputIsComplete guards against an item that is run without end: its output has no event.
func TestEmptyOutputIsComplete(t *testing.T) {
	c := newCluster(t, 1)
	c.backends[0].SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.NoEvents })
	a := c.start("a")
	j := job("j", 1)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	results := c.waitComplete(a, j)
	assert.Assert(t, results[0].Completed)
	assert.Equal(t, len(results[0].Text), 0)
	assert.Equal(t, c.requestCount(j), 2)
}
