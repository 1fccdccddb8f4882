package jobs_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestItemThatCrashesServersIsHeld runs items that end each server that begins to run one of
// them, among items that share their first prompt part.
func TestItemThatCrashesServersIsHeld(t *testing.T) {
	c := newCluster(t, 10)
	var crashed atomic.Int64
	for _, b := range c.backends {
		b.SetFault(func(r platformtest.Request) platformtest.Fault {
			if !strings.Contains(r.Prompt, "bad1") {
				return platformtest.None
			}
			crashed.Add(1)
			return platformtest.Crash
		})
	}
	a := c.start("a")
	sound := job("sound", 4)
	for i := range sound.Items {
		sound.Items[i].Header = platformtest.PromptHeader("aa01:100,cc:10")
	}
	assert.NilError(t, a.Submit(t.Context(), sound, 0))
	c.checkComplete(sound, c.waitComplete(a, sound))
	bad, later := job("bad", 2), job("later", 4)
	for i := range bad.Items {
		bad.Items[i].Header = platformtest.PromptHeader("aa01:100,bad1:50,dd:10")
	}
	for i := range later.Items {
		later.Items[i].Header = platformtest.PromptHeader("aa01:100,ee:10")
	}
	assert.NilError(t, a.Submit(t.Context(), bad, 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !a.guard.Check([]string{"bad1"}, balance.Batch).Held() {
			return poll.Continue("%d servers have ended, the part is not held", crashed.Load())
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	assert.Assert(t, crashed.Load() <= 6, "%d servers have ended", crashed.Load())
	assert.NilError(t, a.Submit(t.Context(), later, 0))
	c.checkComplete(later, c.waitComplete(a, later))
	l, err := a.List(t.Context(), bad.ID, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Results), 0, "held items wait")
}

// restartAll ends all backend servers at once, and starts them again under other ids.
func (c *cluster) restartAll(round int) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, b := range c.backends {
		next, err := b.Restart(fmt.Sprint("backend-", i, "-", round))
		assert.NilError(c.t, err)
		c.t.Cleanup(next.Close)
		c.backends[i] = next
	}
}

// awaitEvents waits until a run at some backend server has sent this many events.
func (c *cluster) awaitEvents(events int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, b := range c.backends {
			for _, r := range b.Requests() {
				if r.Sent >= events {
					return poll.Success()
				}
			}
		}
		return poll.Continue("no run has sent %d events", events)
	}, poll.WithTimeout(10*time.Second))
}

// TestCrashesOfAWholeServiceHoldNoItem guards against items that are held for minutes after all servers of
// their service have ended together several times: their runs last too long to complete in between, and the prompt part
// that they share has done no harm.
func TestCrashesOfAWholeServiceHoldNoItem(t *testing.T) {
	c := newCluster(t, 3)
	for _, b := range c.backends {
		b.Events, b.EventInterval = 130, 25*time.Millisecond
	}
	a := c.start("a")
	j := job("j", 9)
	for i := range j.Items {
		j.Items[i].Header = platformtest.PromptHeader(fmt.Sprintf("aa01:100,cc%02d:10", i))
	}
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	for round := range 3 {
		c.awaitEvents((round + 1) * 40)
		c.restartAll(round)
	}
	assert.Assert(t, !a.guard.Check([]string{"aa01"}, balance.Batch).Held(), "the part is held")
	c.checkComplete(j, c.waitComplete(a, j))
}

// finishTime is how long the platform waits for items once all servers are back and idle.
const finishTime = 18 * time.Second

// awaitRunOf waits until a run that has sent an event is of an age, at the given backend server, or at any if it is negative.
func (c *cluster) awaitRunOf(age time.Duration, backend int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		c.mu.Lock()
		defer c.mu.Unlock()
		for i, b := range c.backends {
			for _, r := range b.Requests() {
				if (backend < 0 || i == backend) && r.Sent > 0 && time.Since(r.At) >= age {
					return poll.Success()
				}
			}
		}
		return poll.Continue("no run is %s old at the backend server %d", age, backend)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// crashInTurn ends the backend servers one after another, and starts them again some time after the last one.
func (c *cluster) crashInTurn() {
	const first, gap, down = 200 * time.Millisecond, 300 * time.Millisecond, time.Second
	for i, b := range c.backends {
		c.awaitRunOf(first+time.Duration(i)*gap, i)
		b.Kill()
	}
	delay.Wait(c.t.Context(), down)
	c.restartAll(0)
}

// crashTogether ends all backend servers at once, several times before a run is a second old, and starts them again.
func (c *cluster) crashTogether() {
	const first, down = 100 * time.Millisecond, 500 * time.Millisecond
	for round := range 3 {
		c.awaitRunOf(first, -1)
		var ends sync.WaitGroup
		for _, b := range c.backends {
			ends.Go(b.Kill)
		}
		ends.Wait()
		delay.Wait(c.t.Context(), down)
		c.restartAll(round)
	}
}

// startBalanced starts processes and waits until they divide the shards evenly.
func (c *cluster) startBalanced(names []string) []*node {
	c.t.Helper()
	var nodes []*node
	for _, name := range names {
		nodes = append(nodes, c.start(name))
	}
	for _, n := range nodes {
		waitForShards(c.t, n, keyedlogtest.Shards/len(nodes))
	}
	return nodes
}

// ownJobID returns the id of a job in a shard that the process owns.
func (n *node) ownJobID() string {
	owned := make(map[int]bool)
	for _, r := range n.Reports() {
		owned[r.Shard] = true
	}
	id := "j"
	for i := 0; !owned[jobs.ShardOf(id, keyedlogtest.Shards)]; i++ {
		id = fmt.Sprint("j", i)
	}
	return id
}

// TestItemsGoOnAfterCrashesUnderYoungRuns guards against items that are held for longer than they live although all servers are back.
func TestItemsGoOnAfterCrashesUnderYoungRuns(t *testing.T) {
	for _, test := range []struct {
		name      string
		processes []string
		crash     func(*cluster)
	}{
		{"in turn", []string{"a"}, (*cluster).crashInTurn},
		{"together", []string{"a"}, (*cluster).crashTogether},
		{"in turn, two processes", []string{"a", "b"}, (*cluster).crashInTurn},
		{"together, two processes", []string{"a", "b"}, (*cluster).crashTogether},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3)
			for _, b := range c.backends {
				b.Events, b.EventInterval = 130, 25*time.Millisecond
			}
			var submitted []*jobs.Job
			for _, n := range c.startBalanced(test.processes) {
				j := job(n.ownJobID(), 9/len(test.processes))
				for i := range j.Items {
					j.Items[i].Header = platformtest.PromptHeader(fmt.Sprintf("aa01:100,cc%s%d:10", n.name, i))
				}
				assert.NilError(t, n.Submit(t.Context(), j, 0))
				submitted = append(submitted, j)
			}
			test.crash(c)
			deadline := time.Now().Add(finishTime)
			for _, j := range submitted {
				c.checkComplete(j, c.waitCompleteUntil(c.nodes[test.processes[0]], j, deadline))
			}
		})
	}
}

// TestSoundItemsGoOnThoughAGuiltyOneSharesTheirHeldPart guards against items that wait for the trials of their part, which the first item of the job always gets and fails.
func TestSoundItemsGoOnThoughAGuiltyOneSharesTheirHeldPart(t *testing.T) {
	c := newCluster(t, 12)
	var crashed atomic.Int64
	for _, b := range c.backends {
		b.Events, b.EventInterval = 80, 25*time.Millisecond
		b.SetFault(func(r platformtest.Request) platformtest.Fault {
			if !strings.Contains(r.Prompt, "bad1") {
				return platformtest.None
			}
			crashed.Add(1)
			return platformtest.Crash
		})
	}
	a := c.start("a")
	a.guard.PeerHeld([]string{"aa01"}) // as after three ends by chance
	j := job("j", 6)
	for i := range j.Items {
		j.Items[i].Header = platformtest.PromptHeader(fmt.Sprintf("aa01:100,cc%02d:10", i))
	}
	j.Items[0].Header = platformtest.PromptHeader("aa01:100,bad1:10")
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l, err := a.List(t.Context(), j.ID, 0, 0)
		if v := a.guard.Check([]string{"aa01"}, balance.Batch); err != nil || len(l.Results) < 5 {
			return poll.Continue("%d of 5 sound results, %d servers ended, the part has failed %d trials, next in %v, %v", len(l.Results), crashed.Load(), v.Failures, v.Wait, err)
		}
		return poll.Success()
	}, poll.WithTimeout(finishTime+2*time.Second))
}
