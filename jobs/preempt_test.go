package jobs_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestUnansweredRunsAreNotPreemptedAgain covers an item that can't be done and whose runs
// are stopped for online requests: the backend server may have answered each time, and the
// item must not reach backend servers again after three such answers. Runs of another item
// that have an answer are stopped each time.
func TestUnansweredRunsAreNotPreemptedAgain(t *testing.T) {
	c := newCluster(t, 1)
	server := c.backends[0]
	server.Events, server.EventInterval = 10000, 5*time.Millisecond
	j := job("j1", 2)
	silent, answered := j.Items[0].ID, j.Items[1].ID
	server.SetFault(func(r platformtest.Request) platformtest.Fault {
		if r.ID == silent {
			return platformtest.Hang
		}
		return platformtest.None
	})
	a := c.start("a")
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	for round := 1; round <= 4; round++ {
		waitForRuns(t, server, silent, min(round, 2))
		waitForRuns(t, server, answered, round)
		release := a.fillWithOnline(t)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if closedRuns(server, answered) < round {
				return poll.Continue("run %d is not preempted", round)
			}
			return poll.Success()
		}, poll.WithDelay(5*time.Millisecond))
		release()
	}
	assert.Equal(t, server.Runs(silent), 2)
	assert.Equal(t, closedRuns(server, silent), 1)
}

// waitForRuns waits until a backend server has started to run an item as often as wanted
// and has sent an event if it sends any.
func waitForRuns(t *testing.T, b *platformtest.Backend, item string, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := b.Runs(item); got < want {
			return poll.Continue("%s ran %d times, want %d", item, got, want)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// closedRuns counts the runs of an item that ended because the caller had closed the
// connection.
func closedRuns(b *platformtest.Backend, item string) int {
	n := 0
	for _, r := range b.Requests() {
		if r.ID == item && r.Closed {
			n++
		}
	}
	return n
}

// fillWithOnline takes all slots for online requests until release is called.
func (n *node) fillWithOnline(t *testing.T) (release func()) {
	t.Helper()
	server := n.cluster.backends[0].ID
	for range clusterSlots {
		_, ok := n.balance.Pick(n.cluster.registrations(), balance.Requirements{Class: balance.Online}, time.Now())
		assert.Assert(t, ok)
	}
	return func() {
		for range clusterSlots {
			n.balance.Release(server, balance.Online)
		}
	}
}

// TestStoppedRunGoesOnAfterItsLastEvent checks that a run that is stopped for online requests
// keeps each event that has been received, also those since the last report of progress.
func TestStoppedRunGoesOnAfterItsLastEvent(t *testing.T) {
	c := newCluster(t, 1)
	server := c.backends[0]
	server.Events, server.EventInterval = 1000, 40*time.Millisecond
	j := job("j1", 1)
	a := c.start("a")
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r := server.Requests(); len(r) == 0 || r[0].Sent < 5 {
			return poll.Continue("the item has no output yet")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	release := a.fillWithOnline(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if closedRuns(server, j.Items[0].ID) == 0 {
			return poll.Continue("the run is not stopped")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	release()
	waitForRuns(t, server, j.Items[0].ID, 2)
	runs := server.Requests()
	resumed, err := strconv.Atoi(runs[1].ResumeAfter)
	assert.NilError(t, err)
	assert.Assert(t, resumed >= runs[0].Sent-1, "%d events were sent, the next run goes on after %d", runs[0].Sent, resumed)
}
