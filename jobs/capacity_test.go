package jobs_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

// TestWeakProcessLeavesShardsToStrongOnes covers a fleet of unequal machines: the weak one owns
// no shards beside strong ones, and all of them once no strong one is left.
func TestWeakProcessLeavesShardsToStrongOnes(t *testing.T) {
	c := newCluster(t, 1)
	c.capacities = map[string]float64{"weak": 0.15, "strong": 0.8, "middle": 0.5}
	weak := c.start("weak")
	waitForShards(t, weak, keyedlogtest.Shards)
	strong := c.start("strong")
	waitForShards(t, weak, 0)
	waitForShards(t, strong, keyedlogtest.Shards)
	middle := c.start("middle")
	waitForShards(t, middle, keyedlogtest.Shards/2)
	assert.Equal(t, len(weak.Reports()), 0)
	strong.kill()
	middle.kill()
	waitForShards(t, weak, keyedlogtest.Shards)
	j := job("j1", 2)
	assert.NilError(t, weak.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(weak, j))
}
