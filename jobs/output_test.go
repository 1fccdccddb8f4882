package jobs_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
