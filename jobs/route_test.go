package jobs_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// nestedRoute is a stream route whose prefix begins the paths of all items of job.
func nestedRoute() catalog.Route {
	return catalog.Route{Name: "nested", Host: "h", Prefix: "/b/", Kind: catalog.Stream, Splits: []catalog.Split{{Service: "s", Weight: 1}}, MaxAttempts: 1}
}

// TestRouteWithLongerPrefixHidesNoItems guards against accepted items that are never run because another route
// matches their paths better than the one that has accepted the job.
func TestRouteWithLongerPrefixHidesNoItems(t *testing.T) {
	c := newCluster(t, 2)
	c.route.Prefix = "/"
	c.otherRoutes = []catalog.Route{nestedRoute()}
	a := c.start("a")
	j := job("j", 6)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(a, j))
}

// TestItemsWithAnyPathAreRun guards against accepted items that are never run because their paths lie outside
// the prefix of their route.
func TestItemsWithAnyPathAreRun(t *testing.T) {
	c := newCluster(t, 2)
	a := c.start("a")
	j := job("j", 4)
	for i := range j.Items {
		j.Items[i].Target = "/v1/generate"
	}
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(a, j))
}

// TestJobOfARemovedRouteIsGivenUp guards against accepted items that are neither run nor given up once a version of
// the configuration has removed their route.
func TestJobOfARemovedRouteIsGivenUp(t *testing.T) {
	c := newCluster(t, 1)
	a := c.start("a")
	j := job("j", 3)
	j.Route = "removed"
	for i := range j.Items {
		j.Items[i].Target = "/removed/1"
	}
	submitted := time.Now()
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l, err := a.List(t.Context(), j.ID, 0, 0)
		if err != nil || len(l.Results) < len(j.Items) {
			return poll.Continue("%d results are listed, %v", len(l.Results), err)
		}
		for _, r := range l.Results {
			assert.Assert(t, !r.Completed)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	assert.Assert(t, time.Since(submitted) > 8*time.Second, "a process may be behind the configuration that has added the route")
}
