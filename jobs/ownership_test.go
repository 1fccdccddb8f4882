package jobs

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/internal/boottime"
	"github.com/catkinrudder/catkinrudder/internal/delay"
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
	hold func(ctx context.Context) error
}

func (l heldLog) Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (keyedlog.Membership, error) {
	m, err := l.Log.Join(ctx, group, member, topic, ttl, generation)
	if held := l.hold(ctx); held != nil {
		return keyedlog.Membership{}, held
	}
	return m, err
}

// atOnce does not hold answers up.
func atOnce(context.Context) error { return nil }

// ownerFixture is a process that owns the first shard, with its membership in the group.
type ownerFixture struct {
	t       *testing.T
	log     *keyedlogtest.Log
	service *Service
	member  *member
	shard   *shard
	// hold is called before the process gets the answer to a heartbeat, or its error instead.
	hold func(ctx context.Context) error
}

func newOwnerFixture(t *testing.T) *ownerFixture {
	f := &ownerFixture{t: t, log: keyedlogtest.New(), hold: atOnce}
	l := heldLog{f.log, func(ctx context.Context) error { return f.hold(ctx) }}
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

// lapse makes the last confirmation of the membership older than the time to live.
func (f *ownerFixture) lapse() { f.service.lastJoin.SetAt(boottime.Now() - 2*membershipTTL) }

// anotherOwner is a process that claims the shard after this one.
func (f *ownerFixture) anotherOwner() {
	f.t.Helper()
	claim := splitValue(ownerKey, []byte("other"), f.service.opts.RecordBytes)
	_, err := f.log.Append(f.t.Context(), f.shard.part, claim,
		keyedlog.Condition{Producer: producerName, Epoch: f.shard.currentEpoch() + 1000, Sequence: claimSequence})
	assert.NilError(f.t, err)
}

// changeGeneration lets another member join and leave.
func (f *ownerFixture) changeGeneration() {
	f.t.Helper()
	_, err := f.log.Join(f.t.Context(), groupName, "other", f.service.opts.ResultTopic, time.Minute, 0)
	assert.NilError(f.t, err)
	assert.NilError(f.t, f.log.Leave(f.t.Context(), groupName, "other"))
}

// TestShardOfABrokenMembershipIsProvedOnTheLog guards against a heartbeat whose answer confirms a shard that another
// process has owned since the last one.
func TestShardOfABrokenMembershipIsProvedOnTheLog(t *testing.T) {
	for name, interrupt := range map[string]func(f *ownerFixture){
		"another generation within the time to live": (*ownerFixture).changeGeneration,
		"a lapse without another generation":         (*ownerFixture).lapse,
		"a lapse and another generation":             func(f *ownerFixture) { f.lapse(); f.changeGeneration() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newOwnerFixture(t)
			before := f.shard.currentEpoch()
			f.anotherOwner()
			interrupt(f)
			f.member.heartbeat(t.Context())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				f.member.heartbeat(t.Context())
				if f.shard.currentEpoch() <= before {
					return poll.Continue("the shard is still owned under the former epoch")
				}
				return poll.Success()
			}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(2*time.Second))
		})
	}
}

// TestAnswerThatWasHeldUpConfirmsNothing guards against a confirmation that is older than the time to live.
func TestAnswerThatWasHeldUpConfirmsNothing(t *testing.T) {
	f := newOwnerFixture(t)
	f.hold = func(ctx context.Context) error { // as for a process that stood still meanwhile
		delay.Wait(context.WithoutCancel(ctx), membershipTTL)
		return nil
	}
	f.member.heartbeat(t.Context())
	assert.Assert(t, !f.service.membershipConfirmed())
	f.hold = atOnce
	f.member.heartbeat(t.Context())
	assert.Assert(t, f.service.membershipConfirmed())
}

// TestLostAnswerOfAHeartbeatBreaksNoMembership guards against owners that are in doubt after each answer that is lost.
func TestLostAnswerOfAHeartbeatBreaksNoMembership(t *testing.T) {
	const callTimeout = 1500 * time.Millisecond // that of a call to the log
	f := newOwnerFixture(t)
	breaks := f.service.breaks.Load()
	f.hold = func(ctx context.Context) error {
		delay.Wait(ctx, callTimeout)
		return keyedlogtest.ErrNoResponse
	}
	f.member.heartbeat(t.Context())
	f.hold = atOnce
	f.member.heartbeat(t.Context())
	assert.Assert(t, f.service.membershipConfirmed())
	assert.Equal(t, f.service.breaks.Load(), breaks)
}

// TestOwnAppendsDoNotEndAnOwnership guards against an owner that takes its own records for those of another one.
func TestOwnAppendsDoNotEndAnOwnership(t *testing.T) {
	f := newOwnerFixture(t)
	epoch := f.shard.currentEpoch()
	lost := []keyedlog.Record{{Key: progressKey("j", 0), Value: []byte("lost response")}}
	_, err := f.log.Append(t.Context(), f.shard.part, lost, keyedlog.Condition{Producer: producerName, Epoch: epoch, Sequence: claimSequence + 1})
	assert.NilError(t, err)
	assert.Assert(t, f.service.appendTombstones(t.Context(), f.shard.part, tombstones(resultKey("expired", 0), 1)))
	assert.NilError(t, f.shard.verify(t.Context()))
	assert.Equal(t, f.shard.currentEpoch(), epoch)
	f.anotherOwner()
	assert.NilError(t, f.shard.verify(t.Context()))
	assert.Equal(t, f.shard.currentEpoch(), int64(0))
}

// TestClaimWaitsForAConfirmedMembership guards against a process that was assigned a shard, stood still, and takes it from
// its new owner.
func TestClaimWaitsForAConfirmedMembership(t *testing.T) {
	f := newOwnerFixture(t)
	epoch := f.shard.currentEpoch()
	f.shard.release(noGeneration, "test")
	f.lapse()
	assert.Assert(t, f.shard.claim(t.Context()))
	go f.shard.takeOver(t.Context())
	delay.Wait(t.Context(), 3*shardRetryDelay)
	assert.Assert(t, !f.shard.owned(), "the shard is claimed under a membership that has lapsed")
	f.member.heartbeat(t.Context())
	f.waitUntilOwned(epoch)
}

// TestEachClaimOfAProcessHasItsOwnEpoch guards against results that the log takes for repetitions of those that the process
// has appended under the same epoch before.
func TestEachClaimOfAProcessHasItsOwnEpoch(t *testing.T) {
	f := newOwnerFixture(t)
	at := time.UnixMilli(f.shard.currentEpoch())
	f.service.opts.Now = func() time.Time { return at }
	write := func(id string) {
		f.shard.enqueue(id, Result{Completed: true}, notOwnedEpoch)
		records, cond, ok := f.shard.nextBatch()
		assert.Assert(t, ok)
		assert.Assert(t, f.shard.appendUntilKnown(t.Context(), records, cond))
	}
	write("first")
	f.shard.release(noGeneration, "test")
	f.member.heartbeat(t.Context())
	f.waitUntilOwned(notOwnedEpoch)
	write("second")
	page, err := f.log.Newest(t.Context(), f.shard.part, resultPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 2, "%v", page.Records)
}
