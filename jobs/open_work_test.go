package jobs_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// awaitWork waits until what a process does with open items is as wanted.
func awaitWork(t *testing.T, n *node, wanted func(w jobs.Work) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w := n.Work(); !wanted(w) {
			return poll.Continue("%+v", w)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}

func TestWaitingItemsAreCountedByReason(t *testing.T) {
	c := newCluster(t, 1)
	c.otherRoutes = append(c.otherRoutes, c.lostRoute())
	a := c.start("a")
	a.guard.PeerHeld([]string{"bad1"})
	held, lost, unknown := job("held", 3), job("lost", 5), job("unknown", 7)
	lost.Route, unknown.Host = "lost", "removed"
	for i := range held.Items {
		held.Items[i].Header = platformtest.PromptHeader("bad1:50,dd:10")
	}
	for i := range lost.Items {
		lost.Items[i].Target = "/lost/1"
	}
	for _, j := range []*jobs.Job{held, lost, unknown} {
		assert.NilError(t, a.Submit(t.Context(), j, 0))
	}
	awaitWork(t, a, func(w jobs.Work) bool {
		return w.Waiting(jobs.WaitHeld) == 3 && w.Waiting(jobs.WaitNoSlot) == 5 && w.Waiting(jobs.WaitNoRoute) == 7
	})
	sound := job("sound", 2)
	c.backends[0].Events, c.backends[0].EventInterval = 100, 20*time.Millisecond
	assert.NilError(t, a.Submit(t.Context(), sound, 0))
	awaitWork(t, a, func(w jobs.Work) bool { return w.Runs == 2 && time.Since(w.OldestEvent) < 5*time.Second })
}
