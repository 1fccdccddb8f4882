package jobs_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

// severedLog is a log that one process can't reach at all while it is cut.
type severedLog struct {
	disconnectableLog
}

func newSeveredLog(l *keyedlogtest.Log) severedLog {
	return severedLog{disconnectableLog{l, &atomic.Bool{}}}
}

func (l severedLog) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.History, error) {
	if l.cut.Load() {
		return keyedlog.History{}, keyedlogtest.ErrNoResponse
	}
	return l.Log.Read(ctx, p, from, wait)
}

func (l severedLog) Newest(ctx context.Context, p keyedlog.Partition, after string) (keyedlog.Page, error) {
	if l.cut.Load() {
		return keyedlog.Page{}, keyedlogtest.ErrNoResponse
	}
	return l.Log.Newest(ctx, p, after)
}

// stopGracefully stops a process that hands its shards over.
func (n *node) stopGracefully(t *testing.T) {
	t.Helper()
	n.Stop(t.Context())
	n.kill()
}

// TestFormerOwnerListsWhatTheOwnerInBetweenHasWritten guards against an owner whose membership has lapsed and that goes
// on without the results of the owner in between.
func TestFormerOwnerListsWhatTheOwnerInBetweenHasWritten(t *testing.T) {
	c := newCluster(t, 2)
	l := newSeveredLog(c.log)
	a := c.startWithLog("a", l)
	waitForShards(t, a, keyedlogtest.Shards)
	l.cut.Store(true)
	a.isolated.Store(true)
	b := c.start("b")
	waitForShards(t, b, keyedlogtest.Shards)
	var read []*jobs.Job
	for _, id := range []string{"j1", "j2", "j3"} {
		j := job(id, 4)
		assert.NilError(t, b.Submit(t.Context(), j, 0))
		c.checkComplete(j, c.waitComplete(b, j))
		assert.NilError(t, b.Cancel(t.Context(), j.ID)) // no item is run again, which would show the epoch
		read = append(read, j)
	}
	b.stopGracefully(t)
	a.isolated.Store(false)
	l.cut.Store(false)

	const enough = 200
	answers := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, j := range read {
			listing, err := a.List(t.Context(), j.ID, 0, 0)
			if err != nil {
				continue // a process that can't be sure says so
			}
			answers++
			assert.Equal(t, len(listing.Results), len(j.Items), "job %s at its former owner", j.ID)
		}
		if answers < enough {
			return poll.Continue("%d answers", answers)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// TestOwnerThatCannotAskTheLogListsNothing guards against an empty listing from an owner that can't know whether another
// one has written.
func TestOwnerThatCannotAskTheLogListsNothing(t *testing.T) {
	c := newCluster(t, 1)
	c.backends[0].Events, c.backends[0].EventInterval = 1000, 50*time.Millisecond
	l := newSeveredLog(c.log)
	a := c.startWithLog("a", l)
	waitForShards(t, a, keyedlogtest.Shards)
	j := job("j1", 1)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := a.List(t.Context(), j.ID, 0, 0); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	})
	l.cut.Store(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := a.List(t.Context(), j.ID, 0, 0)
		if err == nil {
			return poll.Continue("the job is still listed without results")
		}
		assert.Assert(t, errkind.Is(err, errkind.LogUnavailable), "%v", err)
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	l.cut.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := a.List(t.Context(), j.ID, 0, 0); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	})
}

// TestFinishedItemsOfALostOwnerDoNotCount guards against submissions that are refused for tokens that nobody waits for: the
// owner that has finished them is lost, and the shards have no other one.
func TestFinishedItemsOfALostOwnerDoNotCount(t *testing.T) {
	c := newCluster(t, 2)
	a := c.start("a")
	waitForShards(t, a, keyedlogtest.Shards)
	c.log.SetFault(func(call string, _ keyedlog.Partition) keyedlogtest.Fault {
		if call == "join" {
			return keyedlogtest.Refuse
		}
		return keyedlogtest.None
	})
	b := c.start("b")
	finished, next := job("j1", 4), job("j2", 4)
	quota := finished.Tokens() + next.Tokens()/2
	assert.NilError(t, b.Submit(t.Context(), finished, quota))
	c.checkComplete(finished, c.waitComplete(b, finished))
	poll.WaitOn(t, func(poll.LogT) poll.Result { // until b has had a report since
		if waiting := b.WaitingTokens(finished.Route); waiting > 0 {
			return poll.Continue("%d tokens wait", waiting)
		}
		return poll.Success()
	})
	a.kill()
	err := b.Submit(t.Context(), next, quota)
	assert.NilError(t, err)
	err = b.Submit(t.Context(), job("j3", 4), quota)
	assert.Assert(t, errkind.Is(err, errkind.RateLimited), "a job that waits since the last report counts: %v", err)
}
