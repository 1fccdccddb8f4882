package jobs_test

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// lockedBuffer is a buffer that several processes of a test write to.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

var openWorkFields = regexp.MustCompile(`(?m) (shard_owned|shard_released) process=(\w+) event=\d+ shard=(\d+) .*(?:owned|jobs_read)=true (jobs=\d+ items=\d+ begun=\d+)$`)

// openWorkLines returns the open work in the lines of an event of a process, by shard.
func openWorkLines(logs, name, process string) map[string]string {
	byShard := make(map[string]string)
	for _, m := range openWorkFields.FindAllStringSubmatch(logs, -1) {
		if m[1] == name && m[2] == process {
			byShard[m[3]] = m[4]
		}
	}
	return byShard
}

// TestOpenItemsCanBeFollowedThroughAHandOver guards against open items that no line names when their shard changes hands.
func TestOpenItemsCanBeFollowedThroughAHandOver(t *testing.T) {
	c := newCluster(t, 1)
	logs := &lockedBuffer{}
	c.logs = logs
	c.backends[0].SetFault(always(platformtest.Full))
	a, b := c.start("a"), c.start("b")
	half := func(w jobs.Work) bool { return w.OwnedShards == keyedlogtest.Shards/2 && w.ClaimedShards == 0 }
	awaitWork(t, a, half)
	awaitWork(t, b, half)
	const submitted = 8
	for i := range submitted {
		assert.NilError(t, a.Submit(t.Context(), job(fmt.Sprint("j", i), 4), 0))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if known := strings.Count(logs.String(), "job_accepted"); known < 2*submitted {
			return poll.Continue("%d jobs are known", known)
		}
		return poll.Success()
	})
	before := len(logs.String())
	a.Stop(t.Context())
	a.kill()
	var owned map[string]string
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if owned = openWorkLines(logs.String()[before:], "shard_owned", "b"); len(owned) < keyedlogtest.Shards/2 {
			return poll.Continue("%s", logs.String()[before:])
		}
		return poll.Success()
	})
	released := openWorkLines(logs.String()[before:], "shard_released", "a")
	assert.Assert(t, !strings.Contains(fmt.Sprint(released), "items=0"), "%v", released)
	assert.DeepEqual(t, owned, released)
}

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
