package jobs_test

import (
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
