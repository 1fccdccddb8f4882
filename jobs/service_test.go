package jobs_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// fleet is some processes that share a log and backend servers.
type fleet struct {
	t        *testing.T
	log      *keyedlogtest.Log
	backends []*platformtest.Backend
	route    catalog.Route

	mu    sync.Mutex
	nodes map[string]*node
}

// node is one process.
type node struct {
	*jobs.Service
	name  string
	fleet *fleet
	// away says that the process does not reach the log.
	away atomic.Bool
	stop context.CancelFunc
	done chan struct{}
}

func newFleet(t *testing.T, backends int) *fleet {
	t.Helper()
	f := &fleet{t: t, log: keyedlogtest.New(), nodes: make(map[string]*node), route: catalog.Route{
		Name: "b", Host: "h", Prefix: "/b/", Kind: catalog.Batch, Idempotent: true, Resumable: true,
		Splits: []catalog.Split{{Service: "s", Weight: 1}}, MaxAttempts: 2, JobDue: 5 * time.Second, JobRetention: time.Minute,
	}}
	for i := range backends {
		f.backends = append(f.backends, platformtest.NewBackend(t, fmt.Sprint("backend-", i)))
	}
	return f
}

func (f *fleet) entries() []catalog.Backend {
	var out []catalog.Backend
	for _, b := range f.backends {
		out = append(out, b.Entry("s", 4))
	}
	return out
}

func (f *fleet) start(name string) *node {
	f.t.Helper()
	return f.startOn(name, f.log)
}

func (f *fleet) startOn(name string, l keyedlog.Log) *node {
	f.t.Helper()
	n := &node{name: name, fleet: f, done: make(chan struct{})}
	config := catalog.NewConfig(1, []catalog.Route{f.route}, nil, catalog.Limits{})
	n.Service = jobs.New(jobs.Options{
		Log: l, Groups: l.(keyedlog.Groups), Member: fmt.Sprint(name, rand.Uint64()), Instance: name,
		JobTopic: "keyed.jobs", ContentTopic: "keyed.contents", ResultTopic: "keyed.results", Shards: keyedlogtest.Shards,
		RecordBytes: 2000, CallBytes: 20000, MinTTL: time.Millisecond, Stay: time.Hour,
		Configs:     func() *catalog.Config { return config },
		Backends:    func(string) []catalog.Backend { return f.entries() },
		AllBackends: func(g func(catalog.Backend)) { each(f.entries(), g) },
		Table:       balance.New(balance.Options{Zone: "z", PeerTTL: time.Second, Seed: 1}),
		Pool:        upstream.NewPool(upstream.Options{Codec: platform.Codec{}, DialTimeout: time.Second}),
		Logger:      log.New(io.Discard), Peers: peersOf{n}, StoreAge: n.storeAge,
	})
	ctx, cancel := context.WithCancel(f.t.Context())
	n.stop = cancel
	go func() { n.Run(ctx); close(n.done) }()
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	f.t.Cleanup(n.kill)
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if n.Ready() {
			return poll.Success()
		}
		return poll.Continue("%s is not ready", name)
	})
	return n
}

func each(backends []catalog.Backend, f func(catalog.Backend)) {
	for _, b := range backends {
		f(b)
	}
}

func (n *node) storeAge() time.Duration {
	if n.away.Load() {
		return time.Minute
	}
	return 0
}

// kill ends a process without a word.
func (n *node) kill() {
	n.fleet.mu.Lock()
	delete(n.fleet.nodes, n.name)
	n.fleet.mu.Unlock()
	n.stop()
	<-n.done
}

// peersOf finds the owners of shards among the other processes of a fleet.
type peersOf struct{ self *node }

func (p peersOf) owner(shard int) (*node, jobs.Report) {
	p.self.fleet.mu.Lock()
	defer p.self.fleet.mu.Unlock()
	var best *node
	var newest jobs.Report
	for _, n := range p.self.fleet.nodes {
		if n == p.self {
			continue
		}
		for _, r := range n.Reports() {
			if r.Shard == shard && (best == nil || r.Epoch > newest.Epoch) {
				best, newest = n, r
			}
		}
	}
	return best, newest
}

func (p peersOf) OwnerOf(shard int) (string, bool) {
	n, _ := p.owner(shard)
	if n == nil {
		return "", false
	}
	return n.name, true
}

func (p peersOf) Report(shard int) (jobs.Report, bool) {
	n, r := p.owner(shard)
	return r, n != nil
}

func (p peersOf) WithStore() (string, bool) {
	p.self.fleet.mu.Lock()
	defer p.self.fleet.mu.Unlock()
	for name, n := range p.self.fleet.nodes {
		if n != p.self && !n.away.Load() {
			return name, true
		}
	}
	return "", false
}

func (p peersOf) NearestRTT() (time.Duration, bool) {
	p.self.fleet.mu.Lock()
	defer p.self.fleet.mu.Unlock()
	nearest, known := time.Duration(0), false
	for _, n := range p.self.fleet.nodes {
		if rtt := n.StoreRTT(); n != p.self && rtt > 0 && (!known || rtt < nearest) {
			nearest, known = rtt, true
		}
	}
	return nearest, known
}

func (p peersOf) Alive() int {
	p.self.fleet.mu.Lock()
	defer p.self.fleet.mu.Unlock()
	return len(p.self.fleet.nodes) - 1
}

func (p peersOf) Submit(ctx context.Context, address string, job *jobs.Job, quota int64) error {
	p.self.fleet.mu.Lock()
	n := p.self.fleet.nodes[address]
	p.self.fleet.mu.Unlock()
	return n.SubmitHere(ctx, job, quota)
}

func (p peersOf) Body(_ context.Context, address, id, itemID string) ([]byte, bool, error) {
	p.self.fleet.mu.Lock()
	n := p.self.fleet.nodes[address]
	p.self.fleet.mu.Unlock()
	body, err := n.BodyOwn(id, itemID)
	if errkind.Is(err, errkind.NotFound) {
		return nil, false, nil
	}
	return body, err == nil, err
}

func (p peersOf) List(ctx context.Context, address, id string, after int, wait time.Duration) (jobs.Listing, error) {
	p.self.fleet.mu.Lock()
	n := p.self.fleet.nodes[address]
	p.self.fleet.mu.Unlock()
	if n == nil {
		return jobs.Listing{}, errkind.New(errkind.LogUnavailable, "%s has gone", address)
	}
	return n.ListOwn(ctx, id, after, wait)
}

func job(id string, items int) *jobs.Job {
	j := &jobs.Job{ID: id, Host: "h", Route: "b", SubmittedMs: time.Now().UnixMilli()}
	for i := range items {
		j.Items = append(j.Items, jobs.Item{
			ID: fmt.Sprintf("%s-i%d", id, i), Target: fmt.Sprintf("/b/%d", i), Tokens: 100,
			Header: map[string]string{"Model": "m"}, Body: []byte(strings.Repeat("b", 300)),
		})
	}
	return j
}

func text(item string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, platformtest.EventData(item, n))
	}
	return strings.Join(lines, "\n")
}

// waitDone reads a job through n until it is complete and returns the results.
func (f *fleet) waitDone(n *node, j *jobs.Job) []jobs.ListedResult {
	f.t.Helper()
	var results []jobs.ListedResult
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		l, err := n.List(f.t.Context(), j.ID, 0, 0)
		if err != nil || len(l.Results) < len(j.Items) {
			return poll.Continue("%d of %d, %v", len(l.Results), len(j.Items), err)
		}
		results = l.Results
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	return results
}

// checkWhole checks that each item is listed once with its whole output.
func (f *fleet) checkWhole(j *jobs.Job, results []jobs.ListedResult) {
	f.t.Helper()
	seen := make(map[string]bool)
	for _, r := range results {
		assert.Assert(f.t, !seen[r.ItemID], "%s twice", r.ItemID)
		seen[r.ItemID] = true
		assert.Assert(f.t, r.Completed, "%s was given up", r.ItemID)
		assert.Equal(f.t, string(r.Text), text(r.ItemID, f.backends[0].Events))
	}
	assert.Equal(f.t, len(seen), len(j.Items))
}

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
	f.log.Forget()
	f.backends[0].SetFault(always(platformtest.None))
	f.checkWhole(j, f.waitDone(f.start("b"), j))
}

func TestOwnerDiesAndItsRunsGoOnFromTheirProgress(t *testing.T) {
	f := newFleet(t, 2)
	for _, b := range f.backends {
		b.Events, b.Gap = 120, 25*time.Millisecond
	}
	a, b := f.start("a"), f.start("b")
	j := job("j1", 3)
	assert.NilError(t, b.Submit(t.Context(), j, 0))
	time.Sleep(1600 * time.Millisecond) // a checkpoint has been written
	owner, other := a, b
	if ownsJob(b, j.ID) {
		owner, other = b, a
	}
	owner.kill()
	f.checkWhole(j, f.waitDone(other, j))
	resumed := 0
	for _, backend := range f.backends {
		for _, arrival := range backend.Arrivals() {
			if arrival.ResumeAfter != "" {
				resumed++
			}
		}
	}
	assert.Assert(t, resumed >= len(j.Items), "%d runs went on, of %d", resumed, len(j.Items))
}

// ownsJob reports whether n answers for the job itself.
func ownsJob(n *node, id string) bool {
	_, err := n.ListOwn(context.Background(), id, 0, 0)
	return err == nil
}

func TestListedPositionsNeverChange(t *testing.T) {
	f := newFleet(t, 2)
	f.backends[0].Gap, f.backends[1].Gap = 3*time.Millisecond, 5*time.Millisecond
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
			keyedlogtest.None, keyedlogtest.None, keyedlogtest.LoseAnswer, keyedlogtest.LoseCall, keyedlogtest.Late, keyedlogtest.Refuse,
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
				f.log.RunLate()
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
				return keyedlogtest.Late
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
		assert.Equal(t, errkind.From(err).Answer().Outcome, errkind.Unknown, "%v", err)
	}
	f.log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.None })
	f.log.RunLate()
	f.checkWhole(j, f.waitDone(a, j))

	late("keyed.contents")
	never := job("never", 2)
	err := a.Submit(t.Context(), never, 0)
	assert.Equal(t, errkind.From(err).Answer().Outcome, errkind.NotRun, "content without a summary is no job")
	f.log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.None })
	f.log.RunLate()
	time.Sleep(100 * time.Millisecond)
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
	assert.Equal(t, errkind.From(err).Answer().Outcome, errkind.NotRun, "nobody reaches the log")
	assert.Assert(t, time.Since(begin) < 100*time.Millisecond)
	assert.Assert(t, errkind.From(err).Answer().RetryAfter < 100*time.Millisecond, "another process may be met soon")
	b := f.start("b")
	j := job("j1", 2)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	f.checkWhole(j, f.waitDone(b, j))
}

// turnedAway is a log that refuses the appends of one process.
type turnedAway struct{ *keyedlogtest.Log }

func (turnedAway) Append(context.Context, keyedlog.Partition, []keyedlog.Record, keyedlog.Condition) (keyedlog.Appended, error) {
	return keyedlog.Appended{}, keyedlog.ErrRefused
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

func (l cutLog) Append(ctx context.Context, p keyedlog.Partition, r []keyedlog.Record, c keyedlog.Condition) (keyedlog.Appended, error) {
	if l.cut.Load() {
		return keyedlog.Appended{}, keyedlogtest.ErrNoAnswer
	}
	return l.Log.Append(ctx, p, r, c)
}

func (l cutLog) Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (keyedlog.Membership, error) {
	if l.cut.Load() {
		return keyedlog.Membership{}, keyedlogtest.ErrNoAnswer
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

func (l farLog) Append(ctx context.Context, p keyedlog.Partition, r []keyedlog.Record, c keyedlog.Condition) (keyedlog.Appended, error) {
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
	f.log.DelayDrops("keyed.contents") // the store may execute them seconds later
	j := job("j1", 3)
	refused := a.Submit(t.Context(), j, 100)
	assert.Assert(t, errkind.Is(refused, errkind.RateLimited), "%v", refused)
	assert.NilError(t, b.Submit(t.Context(), j, 0))
	again := job("j1", 3)
	assert.NilError(t, a.Submit(t.Context(), again, 100), "it is known now")
	f.log.RunLate()
	a.kill()
	b.kill()
	f.checkWhole(j, f.waitDone(f.start("c"), j))
}

func TestEndedJobRunsNoMoreItems(t *testing.T) {
	f := newFleet(t, 1)
	f.backends[0].Events, f.backends[0].Gap = 200, 10*time.Millisecond
	a, b := f.start("a"), f.start("b")
	j := job("j1", 8)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.backends[0].Arrivals()) > 0 {
			return poll.Success()
		}
		return poll.Continue("no item has begun")
	})
	assert.NilError(t, b.End(t.Context(), j.ID))
	assert.NilError(t, a.End(t.Context(), j.ID))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, arrival := range f.backends[0].Arrivals() {
			if !f.backends[0].Stopped(arrival.ID) {
				return poll.Continue("%s still runs", arrival.ID)
			}
		}
		return poll.Success()
	})
	before := len(f.backends[0].Arrivals())
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, len(f.backends[0].Arrivals()), before)
}

func TestItemThatCantBeDoneIsGivenUpAlone(t *testing.T) {
	f := newFleet(t, 1)
	a := f.start("a")
	j := job("j1", 4)
	f.backends[0].SetFault(func(arrival platformtest.Arrival) platformtest.Fault {
		switch arrival.ID {
		case "j1-i1":
			return platformtest.Impossible
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
	f.backends[0].Events, f.backends[0].Gap = 60, 10*time.Millisecond
	a := f.start("a")
	j := job("j1", 2)
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	time.Sleep(250 * time.Millisecond)
	a.Stop(t.Context())
	a.kill()
	f.checkWhole(j, f.waitDone(f.start("b"), j))
	arrivals := f.backends[0].Arrivals()
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

func always(fault platformtest.Fault) func(platformtest.Arrival) platformtest.Fault {
	return func(platformtest.Arrival) platformtest.Fault { return fault }
}
