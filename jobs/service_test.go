package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
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

func TestJobCompletesAndIsListedByEveryProcess(t *testing.T) {
	c := newCluster(t, 2)
	a, b := c.start("a"), c.start("b")
	j := job("j1", 9)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	results := c.waitComplete(b, j)
	c.checkComplete(j, results)
	assert.DeepEqual(t, c.waitComplete(a, j), results)
}

func TestJobIsAcceptedOnce(t *testing.T) {
	c := newCluster(t, 1)
	a, b := c.start("a"), c.start("b")
	j := job("j1", 3)
	for _, n := range []*node{a, b, a, b} {
		assert.NilError(t, n.Submit(t.Context(), j, 0))
	}
	c.checkComplete(j, c.waitComplete(a, j))
	for _, item := range j.Items {
		assert.Equal(t, c.backends[0].Runs(item.ID), 1)
	}
}

func TestAcceptedJobSurvivesAllProcesses(t *testing.T) {
	c := newCluster(t, 1)
	a := c.start("a")
	c.backends[0].SetFault(always(platformtest.Full))
	j := job("j1", 5)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	a.kill()
	c.log.Truncate()
	c.backends[0].SetFault(always(platformtest.None))
	c.checkComplete(j, c.waitComplete(c.start("b"), j))
}

func TestNewOwnerResumesRunsFromProgress(t *testing.T) {
	c := newCluster(t, 2)
	for _, b := range c.backends {
		b.Events, b.EventInterval = 120, 25*time.Millisecond
	}
	a, b := c.start("a"), c.start("b")
	j := job("j1", 3)
	assert.NilError(t, b.Submit(t.Context(), j, 0))
	c.waitCheckpoints(j)
	owner, other := a, b
	if ownsShardOf(b, j.ID) {
		owner, other = b, a
	}
	owner.kill()
	c.checkComplete(j, c.waitComplete(other, j))
	resumed := 0
	for _, backend := range c.backends {
		for _, request := range backend.Requests() {
			if request.ResumeAfter != "" {
				resumed++
			}
		}
	}
	assert.Assert(t, resumed >= len(j.Items), "%d of %d runs were resumed", resumed, len(j.Items))
}

// ownsShardOf reports whether n owns the job's shard.
func ownsShardOf(n *node, id string) bool {
	_, err := n.ListLocal(context.Background(), id, 0, 0)
	return err == nil
}

func TestListedPositionsNeverChange(t *testing.T) {
	c := newCluster(t, 2)
	c.backends[0].EventInterval, c.backends[1].EventInterval = 3*time.Millisecond, 5*time.Millisecond
	c.start("a")
	j := job("j1", 60)
	first := c.start("b")
	assert.NilError(t, first.Submit(t.Context(), j, 0))
	var before []jobs.ListedResult
	for round := range 6 {
		n := c.start(fmt.Sprint("n", round))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			l, err := n.List(t.Context(), j.ID, 0, 0)
			if err != nil {
				return poll.Continue("%v", err)
			}
			assert.Assert(t, len(l.Results) >= len(before), "%d results were listed before, %d now", len(before), len(l.Results))
			for i := range before {
				assert.DeepEqual(t, l.Results[i], before[i])
			}
			before = l.Results
			return poll.Success()
		}, poll.WithTimeout(10*time.Second))
		c.mu.Lock()
		victim := c.nodes[[]string{"a", "b", "n0", "n1", "n2", "n3"}[round]]
		c.mu.Unlock()
		victim.kill()
	}
	c.checkComplete(j, c.waitComplete(c.start("last"), j))
}

func TestDroppedAndDelayedAppendsCauseNoDuplicates(t *testing.T) {
	c := newCluster(t, 2)
	a := c.start("a")
	rng := rand.New(rand.NewPCG(7, 7))
	c.log.SetFault(func(call string, _ keyedlog.Partition) keyedlogtest.Fault {
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
				c.log.RunDelayed()
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
	c.checkComplete(j, c.waitComplete(a, j))
}

func TestSubmissionWithUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	c := newCluster(t, 1)
	a := c.start("a")
	delayAppends := func(topic string) {
		c.log.SetFault(func(call string, p keyedlog.Partition) keyedlogtest.Fault {
			if call == "append" && p.Topic == topic {
				return keyedlogtest.Delay
			}
			return keyedlogtest.None
		})
	}
	delayAppends("keyed.jobs")
	j := job("j1", 2)
	for _, quota := range []int64{0, 300} {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		err := a.Submit(ctx, j, quota)
		cancel()
		assert.Equal(t, errkind.From(err).Response().Outcome, errkind.Unknown, "%v", err)
	}
	c.log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.None })
	c.log.RunDelayed()
	c.checkComplete(j, c.waitComplete(a, j))

	delayAppends("keyed.contents")
	never := job("never", 2)
	err := a.Submit(t.Context(), never, 0)
	assert.Equal(t, errkind.From(err).Response().Outcome, errkind.NotRun, "content without a summary is not a job")
	c.log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.None })
	c.log.RunDelayed()
	next := job("next", 1)
	assert.NilError(t, a.Submit(t.Context(), next, 0))
	c.checkComplete(next, c.waitComplete(a, next))
	known, err := a.Exists(t.Context(), "never")
	assert.NilError(t, err)
	assert.Assert(t, !known)
	assert.Equal(t, c.backends[0].Runs("never-i0"), 0)
}

func TestProcessWithoutLogForwardsSubmissions(t *testing.T) {
	c := newCluster(t, 1)
	a := c.start("a")
	a.disconnected.Store(true)
	begin := time.Now()
	err := a.Submit(t.Context(), job("j0", 1), 0)
	assert.Equal(t, errkind.From(err).Response().Outcome, errkind.NotRun, "no process reaches the log")
	assert.Assert(t, time.Since(begin) < 100*time.Millisecond)
	assert.Assert(t, errkind.From(err).Response().RetryAfter < 100*time.Millisecond, "the caller should soon try another process")
	b := c.start("b")
	j := job("j1", 2)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(b, j))
}

// refusingLog is a log that refuses every append.
type refusingLog struct{ *keyedlogtest.Log }

func (refusingLog) Append(context.Context, keyedlog.Partition, []keyedlog.Record, keyedlog.Condition) (keyedlog.AppendResult, error) {
	return keyedlog.AppendResult{}, keyedlog.ErrRefused
}

func TestProcessRefusedByLogForwardsSubmissions(t *testing.T) {
	c := newCluster(t, 1)
	b := c.start("b")
	a := c.startWithLog("a", refusingLog{c.log})
	j := job("j1", 2)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(b, j))
}

func TestQuotaIsEnforcedAcrossProcesses(t *testing.T) {
	c := newCluster(t, 1)
	c.backends[0].SetFault(always(platformtest.Full))
	nodes := []*node{c.start("a"), c.start("b"), c.start("c")}
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
	assert.Assert(t, accepted >= 4, "%d jobs were accepted, 5 fit", accepted)
	c.backends[0].SetFault(always(platformtest.None))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := nodes[0].Submit(t.Context(), job("later", 4), quota); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	})
}

// TestConcurrentRefusalKeepsAcceptedJob covers a process that refuses a
// job while another process accepts it: the refusal must not delete the job's content.
func TestConcurrentRefusalKeepsAcceptedJob(t *testing.T) {
	c := newCluster(t, 1)
	a, b := c.start("a"), c.start("b")
	c.log.DelayTombstones("keyed.contents") // the store may apply tombstones seconds later
	j := job("j1", 3)
	refused := a.Submit(t.Context(), j, 100)
	assert.Assert(t, errkind.Is(refused, errkind.RateLimited), "%v", refused)
	assert.NilError(t, b.Submit(t.Context(), j, 0))
	again := job("j1", 3)
	assert.NilError(t, a.Submit(t.Context(), again, 100), "the job is accepted by now")
	c.log.RunDelayed()
	a.kill()
	b.kill()
	c.checkComplete(j, c.waitComplete(c.start("c"), j))
}

func TestCancelledJobRunsNoMoreItems(t *testing.T) {
	c := newCluster(t, 1)
	c.backends[0].Events, c.backends[0].EventInterval = 200, 10*time.Millisecond
	c.backends[0].SetFault(func(request platformtest.Request) platformtest.Fault {
		if strings.HasPrefix(request.ID, "next-") {
			return platformtest.Unprocessable
		}
		return platformtest.None
	})
	a, b := c.start("a"), c.start("b")
	j := job("j1", 8)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(c.backends[0].Requests()) > 0 {
			return poll.Success()
		}
		return poll.Continue("no item has started")
	})
	assert.NilError(t, b.Cancel(t.Context(), j.ID))
	assert.NilError(t, a.Cancel(t.Context(), j.ID))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, request := range c.backends[0].Requests() {
			if !c.backends[0].Aborted(request.ID) {
				return poll.Continue("%s is still running", request.ID)
			}
		}
		return poll.Success()
	})
	before := c.requestCount(j)
	next := job("next", 1) // it is done at once, after the runners have completed a cycle
	assert.NilError(t, a.Submit(t.Context(), next, 0))
	c.waitComplete(a, next)
	assert.Equal(t, c.requestCount(j), before)
}

func TestRejectedAndFailingItemsDoNotAffectOthers(t *testing.T) {
	c := newCluster(t, 1)
	a := c.start("a")
	j := job("j1", 4)
	c.backends[0].SetFault(func(request platformtest.Request) platformtest.Fault {
		switch request.ID {
		case "j1-i1":
			return platformtest.Unprocessable
		case "j1-i2":
			return platformtest.Fail
		}
		return platformtest.None
	})
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	for _, r := range c.waitComplete(a, j) {
		assert.Equal(t, r.Completed, r.ItemID != "j1-i1" && r.ItemID != "j1-i2", r.ItemID)
	}
	assert.Equal(t, c.backends[0].Runs("j1-i1"), 1)
	assert.Equal(t, c.backends[0].Runs("j1-i2"), c.route.MaxAttempts)
}

// TestJobOfSlowClockIsNotAbandonedEarly covers a gateway whose time of day was behind by
// seconds when it accepted a job: to the owner, the job's retention seems to be over.
func TestJobOfSlowClockIsNotAbandonedEarly(t *testing.T) {
	c := newCluster(t, 1)
	c.route.JobRetention = time.Second
	a := c.start("a")
	j := job("j1", 3)
	j.SubmittedMs -= 5000
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(a, j))
}

func TestStopHandsOverProgress(t *testing.T) {
	c := newCluster(t, 1)
	c.backends[0].Events, c.backends[0].EventInterval = 60, 10*time.Millisecond
	a := c.start("a")
	j := job("j1", 2)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		advanced := 0
		for _, request := range c.backends[0].Requests() {
			if request.Sent >= 5 {
				advanced++
			}
		}
		if advanced < len(j.Items) {
			return poll.Continue("%d of %d items have sent enough events", advanced, len(j.Items))
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	a.Stop(t.Context())
	a.kill()
	c.checkComplete(j, c.waitComplete(c.start("b"), j))
	requests := c.backends[0].Requests()
	assert.Assert(t, requests[len(requests)-1].ResumeAfter != "", "the last run started from the beginning")
}

func TestUnknownJobIsCheckedInTheLog(t *testing.T) {
	c := newCluster(t, 1)
	a := c.start("a")
	known, err := a.Exists(t.Context(), "none")
	assert.NilError(t, err)
	assert.Assert(t, !known)
	c.log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.Refuse })
	_, err = a.Exists(t.Context(), "none")
	assert.Assert(t, err != nil)
}

func always(fault platformtest.Fault) func(platformtest.Request) platformtest.Fault {
	return func(platformtest.Request) platformtest.Fault { return fault }
}
