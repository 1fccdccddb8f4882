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
		Splits: []catalog.Split{{Service: "s", Weight: 1}}, MaxAttempts: 2, JobCompletionTarget: 5 * time.Second, JobRetention: time.Minute,
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

func (p peersOf) owner(shard int) (*node, jobs.ShardReport) {
	p.self.fleet.mu.Lock()
	defer p.self.fleet.mu.Unlock()
	var best *node
	var newest jobs.ShardReport
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

func (p peersOf) ShardReport(shard int) (jobs.ShardReport, bool) {
	n, r := p.owner(shard)
	return r, n != nil
}

func (p peersOf) StoreConnected() (string, bool) {
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

func (p peersOf) ReachableCount() int {
	p.self.fleet.mu.Lock()
	defer p.self.fleet.mu.Unlock()
	return len(p.self.fleet.nodes) - 1
}

func (p peersOf) Submit(ctx context.Context, address string, job *jobs.Job, quota int64) error {
	p.self.fleet.mu.Lock()
	n := p.self.fleet.nodes[address]
	p.self.fleet.mu.Unlock()
	return n.SubmitLocal(ctx, job, quota)
}

func (p peersOf) ItemBody(_ context.Context, address, id, itemID string) ([]byte, bool, error) {
	p.self.fleet.mu.Lock()
	n := p.self.fleet.nodes[address]
	p.self.fleet.mu.Unlock()
	body, err := n.ItemBodyLocal(id, itemID)
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
	return n.ListLocal(ctx, id, after, wait)
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

// waitCheckpoints waits until progress of each item of a job stands in the log.
func (f *fleet) waitCheckpoints(j *jobs.Job) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		found := 0
		for shard := range keyedlogtest.Shards {
			page, err := f.log.Newest(f.t.Context(), keyedlog.Partition{Topic: "keyed.results", Index: shard}, "")
			assert.NilError(f.t, err)
			for _, r := range page.Records {
				if strings.HasPrefix(r.Key, "progress/"+j.ID+"/") {
					found++
				}
			}
		}
		if found < len(j.Items) {
			return poll.Continue("%d of %d", found, len(j.Items))
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// arrivalsOf counts the requests for items of a job at the first backend server.
func (f *fleet) arrivalsOf(j *jobs.Job) int {
	n := 0
	for _, a := range f.backends[0].Requests() {
		if strings.HasPrefix(a.ID, j.ID+"-") {
			n++
		}
	}
	return n
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
