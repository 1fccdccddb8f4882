package jobs_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// lostRoute is a route whose service has lost all of its backend servers.
func (c *cluster) lostRoute() catalog.Route {
	lost := c.route
	lost.Name, lost.Prefix, lost.Splits = "lost", "/lost/", []catalog.Split{{Service: "lost", Weight: 1}}
	return lost
}

// TestLossOfOneServiceStopsNoJobsOfOthers guards against jobs that wait behind older ones of a service without any
// backend server, though their own is idle.
func TestLossOfOneServiceStopsNoJobsOfOthers(t *testing.T) {
	c := newCluster(t, 2)
	c.route.JobCompletionTarget = time.Minute
	c.otherRoutes = []catalog.Route{c.lostRoute()}
	a := c.start("a")
	lost, sound := job("lost", 20), job("sound", 6)
	lost.Route = "lost"
	for i := range lost.Items {
		lost.Items[i].Target = "/lost/1"
	}
	lost.SubmittedMs -= time.Second.Milliseconds()
	assert.NilError(t, a.Submit(t.Context(), lost, 0))
	assert.NilError(t, a.Submit(t.Context(), sound, 0))
	c.checkComplete(sound, c.waitComplete(a, sound))
	l, err := a.List(t.Context(), lost.ID, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Results), 0, "the items of the lost service wait")
}

// TestExpiredJobIsGivenUpBehindOneThatWaits guards against a job that is neither run nor given up, because an older
// one finds no backend server.
func TestExpiredJobIsGivenUpBehindOneThatWaits(t *testing.T) {
	c := newCluster(t, 1)
	waits, expires := c.lostRoute(), c.lostRoute()
	waits.JobRetention, waits.JobCompletionTarget = time.Hour, time.Minute
	expires.Name, expires.Prefix, expires.JobCompletionTarget = "expires", "/expires/", time.Hour
	c.otherRoutes = []catalog.Route{waits, expires}
	a := c.start("a")
	first, second := job("first", 3), job("second", 3)
	first.Route, second.Route = "lost", "expires"
	for i := range first.Items {
		first.Items[i].Target, second.Items[i].Target = "/lost/1", "/expires/1"
	}
	second.SubmittedMs -= (expires.JobRetention + time.Minute).Milliseconds()
	assert.NilError(t, a.Submit(t.Context(), first, 0))
	assert.NilError(t, a.Submit(t.Context(), second, 0))
	for _, r := range c.waitComplete(a, second) {
		assert.Assert(t, !r.Completed)
	}
}
