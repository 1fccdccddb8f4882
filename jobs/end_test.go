package jobs_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

func TestCutItemIsNotCompleteThoughItsServersAddressServes(t *testing.T) {
	c := newCluster(t, 2)
	c.backends[0].SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.ReplacedUnframed })
	a := c.start("a")
	j := job("j1", 4)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(a, j))
}

func TestUnframedItemOfAServerThatServesOnIsComplete(t *testing.T) {
	c := newCluster(t, 1)
	c.backends[0].SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.CloseDelimited })
	a := c.start("a")
	j := job("j1", 4)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(a, j))
}
