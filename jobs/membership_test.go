package jobs_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

// disconnectableLog is a log whose connection to one process can be cut.
type disconnectableLog struct {
	*keyedlogtest.Log
	cut *atomic.Bool
}

func (l disconnectableLog) Append(ctx context.Context, p keyedlog.Partition, r []keyedlog.Record, c keyedlog.Condition) (keyedlog.AppendResult, error) {
	if l.cut.Load() {
		return keyedlog.AppendResult{}, keyedlogtest.ErrNoResponse
	}
	return l.Log.Append(ctx, p, r, c)
}

func (l disconnectableLog) Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (keyedlog.Membership, error) {
	if l.cut.Load() {
		return keyedlog.Membership{}, keyedlogtest.ErrNoResponse
	}
	return l.Log.Join(ctx, group, member, topic, ttl, generation)
}

// TestOwnerDisconnectedFromLogReleasesShards checks that an owner without a connection to
// the log releases its shards: otherwise its runs would continue beside those of the
// new owner.
func TestOwnerDisconnectedFromLogReleasesShards(t *testing.T) {
	c := newCluster(t, 1)
	l := disconnectableLog{c.log, &atomic.Bool{}}
	a := c.startWithLog("a", l)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(a.Reports()) == keyedlogtest.Shards {
			return poll.Success()
		}
		return poll.Continue("a does not own all shards")
	})
	l.cut.Store(true)
	b := c.start("b")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(a.Reports()) == 0 && len(b.Reports()) == keyedlogtest.Shards {
			return poll.Success()
		}
		return poll.Continue("a owns %d shards, b %d", len(a.Reports()), len(b.Reports()))
	})
}

// TestEqualEpochsDoNotShareAShard covers processes that claim a shard in the same
// millisecond, as an owner that was just assigned its shards and another process that
// starts: both would use the same epoch, and the log would accept appends of both.
func TestEqualEpochsDoNotShareAShard(t *testing.T) {
	c := newCluster(t, 1)
	start := time.Now()
	c.now = func() time.Time { return start }
	l := disconnectableLog{c.log, &atomic.Bool{}}
	a := c.startWithLog("a", l)
	waitForShards(t, a, keyedlogtest.Shards)
	l.cut.Store(true)
	b := c.start("b")
	waitForShards(t, b, keyedlogtest.Shards)
	waitForShards(t, a, 0)
	epochs := make(map[int]int64)
	for _, r := range b.Reports() {
		epochs[r.Shard] = r.Epoch
	}
	for shard := range keyedlogtest.Shards {
		assert.Assert(t, epochs[shard] > start.UnixMilli(), "shard %d: b claims it under a's epoch", shard)
	}
}

func waitForShards(t *testing.T, n *node, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := len(n.Reports()); got != want {
			return poll.Continue("%s owns %d shards, want %d", n.name, got, want)
		}
		return poll.Success()
	})
}

// remoteLog is a log in another region.
type remoteLog struct{ *keyedlogtest.Log }

const remoteDelay = 60 * time.Millisecond

func (l remoteLog) Append(ctx context.Context, p keyedlog.Partition, r []keyedlog.Record, c keyedlog.Condition) (keyedlog.AppendResult, error) {
	time.Sleep(remoteDelay)
	return l.Log.Append(ctx, p, r, c)
}

func (l remoteLog) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.History, error) {
	time.Sleep(remoteDelay)
	return l.Log.Read(ctx, p, from, wait)
}

func (l remoteLog) Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (keyedlog.Membership, error) {
	time.Sleep(remoteDelay)
	return l.Log.Join(ctx, group, member, topic, ttl, generation)
}

func TestShardsAreOwnedNearTheLog(t *testing.T) {
	c := newCluster(t, 1)
	far := c.startWithLog("far", remoteLog{c.log})
	owns := func(n *node, want int) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			if got := len(n.Reports()); got != want {
				return poll.Continue("%s owns %d shards, want %d", n.name, got, want)
			}
			return poll.Success()
		}
	}
	poll.WaitOn(t, owns(far, keyedlogtest.Shards)) // a far owner is better than none
	near := c.start("near")
	poll.WaitOn(t, owns(near, keyedlogtest.Shards))
	poll.WaitOn(t, owns(far, 0))
	j := job("j1", 4)
	assert.NilError(t, far.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(far, j))
	near.kill()
	poll.WaitOn(t, owns(far, keyedlogtest.Shards))
	c.checkComplete(j, c.waitComplete(far, j))
}
