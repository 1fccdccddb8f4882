package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

func TestJobIsDoneAndEveryProcessAnswers(t *testing.T) {
	f := newFleet(t, 2)
	a, b := f.start("a"), f.start("b")
	j := job("j1", 9)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	results := f.waitDone(b, j)
	f.checkWhole(j, results)
	assert.DeepEqual(t, f.waitDone(a, j), results)
}

func TestJobIsAcceptedOnce(t *testing.T) {
	f := newFleet(t, 1)
	a, b := f.start("a"), f.start("b")
	j := job("j1", 3)
	for _, n := range []*node{a, b, a, b} {
		assert.NilError(t, n.Submit(t.Context(), j, 0))
	}
	f.checkWhole(j, f.waitDone(a, j))
	for _, item := range j.Items {
		assert.Equal(t, f.backends[0].Runs(item.ID), 1)
	}
}

func TestAcceptedJobOutlivesEveryProcess(t *testing.T) {
	f := newFleet(t, 1)
	a := f.start("a")
	f.backends[0].SetFault(always(platformtest.Full))
	j := job("j1", 5)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	a.kill()
	f.log.Truncate()
	f.backends[0].SetFault(always(platformtest.None))
	f.checkWhole(j, f.waitDone(f.start("b"), j))
}

func TestOwnerDiesAndItsRunsGoOnFromTheirProgress(t *testing.T) {
	f := newFleet(t, 2)
	for _, b := range f.backends {
		b.Events, b.EventInterval = 120, 25*time.Millisecond
	}
	a, b := f.start("a"), f.start("b")
	j := job("j1", 3)
	assert.NilError(t, b.Submit(t.Context(), j, 0))
	f.waitCheckpoints(j)
	owner, other := a, b
	if ownsJob(b, j.ID) {
		owner, other = b, a
	}
	owner.kill()
	f.checkWhole(j, f.waitDone(other, j))
	resumed := 0
	for _, backend := range f.backends {
		for _, arrival := range backend.Requests() {
			if arrival.ResumeAfter != "" {
				resumed++
			}
		}
	}
	assert.Assert(t, resumed >= len(j.Items), "%d runs went on, of %d", resumed, len(j.Items))
}

// ownsJob reports whether n answers for the job itself.
func ownsJob(n *node, id string) bool {
	_, err := n.ListLocal(context.Background(), id, 0, 0)
	return err == nil
}

func TestListedPositionsNeverChange(t *testing.T) {
	f := newFleet(t, 2)
	f.backends[0].EventInterval, f.backends[1].EventInterval = 3*time.Millisecond, 5*time.Millisecond
	f.start("a")
	j := job("j1", 60)
	first := f.start("b")
	assert.NilError(t, first.Submit(t.Context(), j, 0))
	var before []jobs.ListedResult
	for round := range 6 {
		n := f.start(fmt.Sprint("n", round))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			l, err := n.List(t.Context(), j.ID, 0, 0)
			if err != nil {
				return poll.Continue("%v", err)
			}
			assert.Assert(t, len(l.Results) >= len(before), "%d results were listed, now %d", len(before), len(l.Results))
			for i := range before {
				assert.DeepEqual(t, l.Results[i], before[i])
			}
			before = l.Results
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
		f.mu.Lock()
		victim := f.nodes[[]string{"a", "b", "n0", "n1", "n2", "n3"}[round]]
		f.mu.Unlock()
		victim.kill()
	}
	f.checkWhole(j, f.waitDone(f.start("last"), j))
}

func TestLostAndLateAppendsListNothingTwice(t *testing.T) {
	f := newFleet(t, 2)
	a := f.start("a")
	rng := rand.New(rand.NewPCG(7, 7))
	f.log.SetFault(func(call string, _ keyedlog.Partition) keyedlogtest.Fault {
		if call != "append" {
			return keyedlogtest.None
		}
		return []keyedlogtest.Fault{
			keyedlogtest.None, keyedlogtest.None, keyedlogtest.DropResponse, keyedlogtest.DropRequest, keyedlogtest.Delay, keyedlogtest.Refuse,
		}[rng.IntN(6)]
	})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(30 * time.Millisecond):
				f.log.RunDelayed()
			}
		}
	}()
	j := job("j1", 20)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := a.Submit(t.Context(), j, 0); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	})
	f.checkWhole(j, f.waitDone(a, j))
}

func TestSubmissionInDoubtIsNoRefusal(t *testing.T) {
	f := newFleet(t, 1)
	a := f.start("a")
	late := func(topic string) {
		f.log.SetFault(func(call string, p keyedlog.Partition) keyedlogtest.Fault {
			if call == "append" && p.Topic == topic {
				return keyedlogtest.Delay
			}
			return keyedlogtest.None
		})
	}
	late("keyed.jobs")
	j := job("j1", 2)
	for _, quota := range []int64{0, 300} {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		err := a.Submit(ctx, j, quota)
		cancel()
		assert.Equal(t, errkind.From(err).Response().Outcome, errkind.Unknown, "%v", err)
	}
	f.log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.None })
	f.log.RunDelayed()
	f.checkWhole(j, f.waitDone(a, j))

	late("keyed.contents")
	never := job("never", 2)
	err := a.Submit(t.Context(), never, 0)
	assert.Equal(t, errkind.From(err).Response().Outcome, errkind.NotRun, "content without a summary is no job")
	f.log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.None })
	f.log.RunDelayed()
	next := job("next", 1)
	assert.NilError(t, a.Submit(t.Context(), next, 0))
	f.checkWhole(next, f.waitDone(a, next))
	known, err := a.Confirm(t.Context(), "never")
	assert.NilError(t, err)
	assert.Assert(t, !known)
	assert.Equal(t, f.backends[0].Runs("never-i0"), 0)
}

func TestProcessWithoutTheLogHandsSubmissionsOn(t *testing.T) {
	f := newFleet(t, 1)
	a := f.start("a")
	a.away.Store(true)
	begin := time.Now()
	err := a.Submit(t.Context(), job("j0", 1), 0)
	assert.Equal(t, errkind.From(err).Response().Outcome, errkind.NotRun, "nobody reaches the log")
	assert.Assert(t, time.Since(begin) < 100*time.Millisecond)
	assert.Assert(t, errkind.From(err).Response().RetryAfter < 100*time.Millisecond, "another process may be met soon")
	b := f.start("b")
	j := job("j1", 2)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	f.checkWhole(j, f.waitDone(b, j))
}

// turnedAway is a log that refuses the appends of one process.
type turnedAway struct{ *keyedlogtest.Log }

func (turnedAway) Append(context.Context, keyedlog.Partition, []keyedlog.Record, keyedlog.Condition) (keyedlog.AppendResult, error) {
	return keyedlog.AppendResult{}, keyedlog.ErrRefused
}

func TestProcessThatTheLogRefusesHandsSubmissionsOn(t *testing.T) {
	f := newFleet(t, 1)
	b := f.start("b")
	a := f.startOn("a", turnedAway{f.log})
	j := job("j1", 2)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	f.checkWhole(j, f.waitDone(b, j))
}

// cutLog is a log that one process loses.
type cutLog struct {
	*keyedlogtest.Log
	cut *atomic.Bool
}

func (l cutLog) Append(ctx context.Context, p keyedlog.Partition, r []keyedlog.Record, c keyedlog.Condition) (keyedlog.AppendResult, error) {
	if l.cut.Load() {
		return keyedlog.AppendResult{}, keyedlogtest.ErrNoResponse
	}
	return l.Log.Append(ctx, p, r, c)
}

func (l cutLog) Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (keyedlog.Membership, error) {
	if l.cut.Load() {
		return keyedlog.Membership{}, keyedlogtest.ErrNoResponse
	}
	return l.Log.Join(ctx, group, member, topic, ttl, generation)
}

// TestOwnerCutFromTheLogYieldsToTheNext: its runs would go on beside those of the
// new owner.
func TestOwnerCutFromTheLogYieldsToTheNext(t *testing.T) {
	f := newFleet(t, 1)
	l := cutLog{f.log, &atomic.Bool{}}
	a := f.startOn("a", l)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(a.Reports()) == keyedlogtest.Shards {
			return poll.Success()
		}
		return poll.Continue("a does not own all shards")
	})
	l.cut.Store(true)
	b := f.start("b")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(a.Reports()) == 0 && len(b.Reports()) == keyedlogtest.Shards {
			return poll.Success()
		}
		return poll.Continue("a owns %d shards, b %d", len(a.Reports()), len(b.Reports()))
	})
}

// farLog is a log in another region.
type farLog struct{ *keyedlogtest.Log }

const farWay = 60 * time.Millisecond

func (l farLog) Append(ctx context.Context, p keyedlog.Partition, r []keyedlog.Record, c keyedlog.Condition) (keyedlog.AppendResult, error) {
	time.Sleep(farWay)
	return l.Log.Append(ctx, p, r, c)
}

func (l farLog) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.History, error) {
	time.Sleep(farWay)
	return l.Log.Read(ctx, p, from, wait)
}

func (l farLog) Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (keyedlog.Membership, error) {
	time.Sleep(farWay)
	return l.Log.Join(ctx, group, member, topic, ttl, generation)
}

func TestShardsAreOwnedNearTheLog(t *testing.T) {
	f := newFleet(t, 1)
	far := f.startOn("far", farLog{f.log})
	owns := func(n *node, want int) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			if got := len(n.Reports()); got != want {
				return poll.Continue("%s owns %d shards, want %d", n.name, got, want)
			}
			return poll.Success()
		}
	}
	poll.WaitOn(t, owns(far, keyedlogtest.Shards)) // it is better than none
	near := f.start("near")
	poll.WaitOn(t, owns(near, keyedlogtest.Shards))
	poll.WaitOn(t, owns(far, 0))
	j := job("j1", 4)
	assert.NilError(t, far.Submit(t.Context(), j, 0))
	f.checkWhole(j, f.waitDone(far, j))
	near.kill()
	poll.WaitOn(t, owns(far, keyedlogtest.Shards))
	f.checkWhole(j, f.waitDone(far, j))
}

func TestQuotaHoldsOverAllProcesses(t *testing.T) {
	f := newFleet(t, 1)
	f.backends[0].SetFault(always(platformtest.Full))
	nodes := []*node{f.start("a"), f.start("b"), f.start("c")}
	const quota = 1000
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for i := range 12 {
		wg.Go(func() {
			j := job(fmt.Sprint("j", i), 2)
			err := nodes[i%3].Submit(t.Context(), j, quota)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				accepted++
				return
			}
			assert.Check(t, errkind.Is(err, errkind.RateLimited) || errkind.Is(err, errkind.Overloaded), "%v", err)
		})
	}
	wg.Wait()
	assert.Assert(t, accepted*200 <= quota, "%d tokens accepted", accepted*200)
	assert.Assert(t, accepted >= 4, "%d jobs accepted, 5 fit", accepted)
	f.backends[0].SetFault(always(platformtest.None))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := nodes[0].Submit(t.Context(), job("later", 4), quota); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	})
}

// TestRefusalElsewhereTakesNothingFromAnAcceptedJob: one process refuses a job that
// another accepts at the same time; its content has to stay.
func TestRefusalElsewhereTakesNothingFromAnAcceptedJob(t *testing.T) {
	f := newFleet(t, 1)
	a, b := f.start("a"), f.start("b")
	f.log.DelayTombstones("keyed.contents") // the store may execute them seconds later
	j := job("j1", 3)
	refused := a.Submit(t.Context(), j, 100)
	assert.Assert(t, errkind.Is(refused, errkind.RateLimited), "%v", refused)
	assert.NilError(t, b.Submit(t.Context(), j, 0))
	again := job("j1", 3)
	assert.NilError(t, a.Submit(t.Context(), again, 100), "it is known now")
	f.log.RunDelayed()
	a.kill()
	b.kill()
	f.checkWhole(j, f.waitDone(f.start("c"), j))
}

func TestEndedJobRunsNoMoreItems(t *testing.T) {
	f := newFleet(t, 1)
	f.backends[0].Events, f.backends[0].EventInterval = 200, 10*time.Millisecond
	f.backends[0].SetFault(func(a platformtest.Request) platformtest.Fault {
		if strings.HasPrefix(a.ID, "next-") {
			return platformtest.Unprocessable
		}
		return platformtest.None
	})
	a, b := f.start("a"), f.start("b")
	j := job("j1", 8)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.backends[0].Requests()) > 0 {
			return poll.Success()
		}
		return poll.Continue("no item has begun")
	})
	assert.NilError(t, b.End(t.Context(), j.ID))
	assert.NilError(t, a.End(t.Context(), j.ID))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, arrival := range f.backends[0].Requests() {
			if !f.backends[0].Aborted(arrival.ID) {
				return poll.Continue("%s still runs", arrival.ID)
			}
		}
		return poll.Success()
	})
	before := f.arrivalsOf(j)
	next := job("next", 1) // it ends at once, after the runners have looked at everything
	assert.NilError(t, a.Submit(t.Context(), next, 0))
	f.waitDone(a, next)
	assert.Equal(t, f.arrivalsOf(j), before)
}

func TestItemThatCantBeDoneIsGivenUpAlone(t *testing.T) {
	f := newFleet(t, 1)
	a := f.start("a")
	j := job("j1", 4)
	f.backends[0].SetFault(func(arrival platformtest.Request) platformtest.Fault {
		switch arrival.ID {
		case "j1-i1":
			return platformtest.Unprocessable
		case "j1-i2":
			return platformtest.Fail
		}
		return platformtest.None
	})
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	for _, r := range f.waitDone(a, j) {
		assert.Equal(t, r.Completed, r.ItemID != "j1-i1" && r.ItemID != "j1-i2", r.ItemID)
	}
	assert.Equal(t, f.backends[0].Runs("j1-i1"), 1)
	assert.Equal(t, f.backends[0].Runs("j1-i2"), f.route.MaxAttempts)
}

func TestStopHandsProgressOver(t *testing.T) {
	f := newFleet(t, 1)
	f.backends[0].Events, f.backends[0].EventInterval = 60, 10*time.Millisecond
	a := f.start("a")
	j := job("j1", 2)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		gone := 0
		for _, arrival := range f.backends[0].Requests() {
			if arrival.Sent >= 5 {
				gone++
			}
		}
		if gone < len(j.Items) {
			return poll.Continue("%d of %d items have gone on", gone, len(j.Items))
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	a.Stop(t.Context())
	a.kill()
	f.checkWhole(j, f.waitDone(f.start("b"), j))
	arrivals := f.backends[0].Requests()
	assert.Assert(t, arrivals[len(arrivals)-1].ResumeAfter != "", "the last run began anew")
}

func TestUnknownJobIsConfirmedByTheLog(t *testing.T) {
	f := newFleet(t, 1)
	a := f.start("a")
	known, err := a.Confirm(t.Context(), "none")
	assert.NilError(t, err)
	assert.Assert(t, !known)
	f.log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.Refuse })
	_, err = a.Confirm(t.Context(), "none")
	assert.Assert(t, err != nil)
}

func always(fault platformtest.Fault) func(platformtest.Request) platformtest.Fault {
	return func(platformtest.Request) platformtest.Fault { return fault }
}
