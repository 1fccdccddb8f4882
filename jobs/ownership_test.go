package jobs

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

// noPeers are the peers of a process that is alone.
type noPeers struct{ Peers }

func (noPeers) NearestRTT() (time.Duration, bool)             { return 0, false }
func (noPeers) Capacities(time.Duration) (float64, []float64) { return 0, nil }
func (noPeers) OwnerOf(int) (string, bool)                    { return "", false }
func (noPeers) ShardReport(int) (ShardReport, bool)           { return ShardReport{}, false }
func (noPeers) StoreConnectedPeer() (address string, ok bool) { return "", false }
func (noPeers) ReachableCount() int                           { return 0 }

// heldLog is a log whose answers to heartbeats are held up after the log has executed them.
type heldLog struct {
	*keyedlogtest.Log
	hold func()
}

func (l heldLog) Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (keyedlog.Membership, error) {
	m, err := l.Log.Join(ctx, group, member, topic, ttl, generation)
	l.hold()
	return m, err
}

// ownerFixture is a process that owns the first shard, with its membership in the group.
type ownerFixture struct {
	t       *testing.T
	log     *keyedlogtest.Log
	service *Service
	member  *member
	shard   *shard
	// hold is called before the process gets the answer to a heartbeat.
	hold func()
}

func newOwnerFixture(t *testing.T) *ownerFixture {
	f := &ownerFixture{t: t, log: keyedlogtest.New(), hold: func() {}}
	l := heldLog{f.log, func() { f.hold() }}
	f.service = New(Options{
		Log: l, Groups: l, Member: "self", ResultTopic: "keyed.results", ContentTopic: "keyed.contents", JobTopic: "keyed.jobs",
		Shards: 1, RecordBytes: 2000, CallBytes: 20000, Logger: log.New(io.Discard), Peers: noPeers{},
		StoreAge: func() time.Duration { return 0 },
	})
	f.member = &member{service: f.service, startedAt: time.Now().Add(-time.Minute)}
	f.shard = f.service.shards[0]
	f.member.heartbeat(t.Context())
	f.waitUntilOwned(0)
	return f
}

// waitUntilOwned waits until the shard is owned under an epoch above epoch.
func (f *ownerFixture) waitUntilOwned(epoch int64) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if f.shard.currentEpoch() <= epoch {
			return poll.Continue("the shard is not owned above epoch %d", epoch)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// TestEachClaimOfAProcessHasItsOwnEpoch guards against results that the log takes for repetitions of those that the process
// has appended under the same epoch before.
func TestEachClaimOfAProcessHasItsOwnEpoch(t *testing.T) {
	f := newOwnerFixture(t)
	at := time.UnixMilli(f.shard.currentEpoch())
	f.service.opts.Now = func() time.Time { return at }
	write := func(id string) {
		f.shard.enqueue(id, Result{Completed: true}, 0)
		records, cond, ok := f.shard.nextBatch()
		assert.Assert(t, ok)
		assert.Assert(t, f.shard.appendUntilKnown(t.Context(), records, cond))
	}
	write("first")
	f.shard.release(noGeneration, "test")
	f.member.heartbeat(t.Context())
	f.waitUntilOwned(0)
	write("second")
	page, err := f.log.Newest(t.Context(), f.shard.part, resultPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 2, "%v", page.Records)
}
