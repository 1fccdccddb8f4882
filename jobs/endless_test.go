package jobs_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestItemWhoseOutputHasNoEndRunsElsewhere covers a backend server that sends events without end.
func TestItemWhoseOutputHasNoEndRunsElsewhere(t *testing.T) {
	c := newCluster(t, 2)
	c.backends[0].SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.EndlessEvents })
	a := c.start("a")
	j := job("j1", 4)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(a, j))
}

// TestItemThatGetsCommentsOnlyRunsElsewhere covers a stalled backend server that keeps the connection
// alive: the item used to stay there for ever.
func TestItemThatGetsCommentsOnlyRunsElsewhere(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	c.backends[0].SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.EndlessComments })
	a := c.start("a")
	j := job("j1", 4)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(a, j))
}
