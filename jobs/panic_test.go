package jobs_test

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/eventstream"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestPanicInOneRunEndsNoOther guards against a panic in the work for one item that ends the process.
func TestPanicInOneRunEndsNoOther(t *testing.T) {
	c := newCluster(t, 2)
	var panics atomic.Int64
	c.outOfOrder = func(eventstream.Reason) {
		panics.Add(1)
		panic("a fault in the handling of one event")
	}
	var faults atomic.Int64
	for _, b := range c.backends {
		b.SetFault(func(platformtest.Request) platformtest.Fault {
			if faults.Add(1) <= 3 {
				return platformtest.SkipEvent
			}
			return platformtest.None
		})
	}
	a := c.start("a")
	j := job("j", 6)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(a, j))
	assert.Assert(t, panics.Load() > 0)
}
