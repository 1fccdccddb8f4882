package jobs_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/serving"
)

// workspaceJob returns a job that a workspace has submitted under id.
func workspaceJob(workspace, id string, items int) *jobs.Job {
	j := job(jobs.ScopedID(serving.Identity{Checked: true, Workspace: workspace}, id), items)
	j.Workspace = workspace
	return j
}

func TestIDsOfWorkspacesDoNotMeet(t *testing.T) {
	seen := make(map[string]string)
	for _, caller := range []serving.Identity{
		{}, {Checked: true}, {Checked: true, Workspace: "a"}, {Checked: true, Workspace: "a/b"}, {Checked: true, Workspace: "a%2Fb"},
	} {
		for _, id := range []string{"x", "a/x", "b/x", "/x", "a%2Fx", "a/b/x", "x#1"} {
			scoped := jobs.ScopedID(caller, id)
			name := fmt.Sprintf("%+v %s", caller, id)
			assert.Equal(t, seen[scoped], "", "%s and %s have one id", name, seen[scoped])
			seen[scoped] = name
		}
	}
}

func TestItemsCarryTheWorkspaceOfTheirJob(t *testing.T) {
	c := newCluster(t, 1)
	a, b := c.start("a"), c.start("b")
	owned, other, unowned := workspaceJob("w/1", "j", 3), workspaceJob("w2", "j", 2), job("j", 2)
	for _, j := range []*jobs.Job{owned, other, unowned} {
		assert.NilError(t, a.Submit(t.Context(), j, 0))
		c.checkComplete(j, c.waitComplete(b, j))
	}
	for _, r := range c.backends[0].Requests() {
		id, _, _ := strings.Cut(r.ID, "-i")
		assert.Equal(t, r.Workspace, map[string]string{owned.ID: "w/1", other.ID: "w2", unowned.ID: ""}[id], "%s", r.ID)
	}
}

// TestCapBoundsEachWorkspace lets one workspace send many times what may wait while nothing runs:
// exactly its own jobs are refused.
func TestCapBoundsEachWorkspace(t *testing.T) {
	c := newCluster(t, 1)
	c.backends[0].SetFault(always(platformtest.Full))
	nodes := []*node{c.start("a"), c.start("b"), c.start("c")}
	const quota = 1000
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := make(map[string]int)
	submit := func(workspace string, i int) {
		err := nodes[i%3].Submit(t.Context(), workspaceJob(workspace, fmt.Sprint("j", i), 2), quota)
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			accepted[workspace]++
			return
		}
		assert.Check(t, errkind.Is(err, errkind.RateLimited) || errkind.Is(err, errkind.Overloaded), "%v", err)
	}
	for i := range 12 {
		wg.Go(func() { submit("greedy", i) })
	}
	wg.Wait()
	for i := range 5 {
		submit("modest", i)
	}
	assert.Assert(t, accepted["greedy"] >= 4 && accepted["greedy"] <= 5, "%d jobs were accepted, 5 fit", accepted["greedy"])
	assert.Equal(t, accepted["modest"], 5)
	err := nodes[0].Submit(t.Context(), workspaceJob("modest", "over", 1), quota)
	assert.Assert(t, errkind.Is(err, errkind.RateLimited), "%v", err)
}

// TestBacklogCountsAllWorkspaces sums what wait on one route: jobs that this process knows of
// itself, and those that the owner of their shard has reported.
func TestBacklogCountsAllWorkspaces(t *testing.T) {
	c := newCluster(t, 0)
	a, b := c.start("a"), c.start("b")
	for i, workspace := range []string{"one", "two", ""} {
		assert.NilError(t, a.Submit(t.Context(), workspaceJob(workspace, fmt.Sprint("backlog-", i), 2), 0))
	}
	for _, n := range []*node{a, b} {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := n.WaitingByRoute()["b"]; got != 600 {
				return poll.Continue("%d tokens wait, want 600", got)
			}
			return poll.Success()
		}, poll.WithDelay(10*time.Millisecond))
	}
}
