package jobs_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

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
		if _, held := a.guard.Held([]string{"bad1"}); !held {
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
	_, held := a.guard.Held([]string{"aa01"})
	assert.Assert(t, !held, "the part is held")
	c.checkComplete(j, c.waitComplete(a, j))
}
