package jobs_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
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
	"github.com/catkinrudder/catkinrudder/eventstream"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/quarantine"
	"github.com/catkinrudder/catkinrudder/quarantine/quarantinetest"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// maxAppendBytes is the length of the longest append to the log.
const maxAppendBytes = 20000

// clusterSlots is the number of slots of a backend server.
const clusterSlots = 4

// cluster is a group of processes that share a log and backend servers.
type cluster struct {
	t        *testing.T
	log      *keyedlogtest.Log
	backends []*platformtest.Backend
	route    catalog.Route
	// otherRoutes are further routes, whose services have no backend servers.
	otherRoutes []catalog.Route

	// capacities are those of the processes, by their names.
	capacities map[string]float64
	// outOfOrder, if set, is called for each event out of order.
	outOfOrder func(eventstream.Reason)
	// logs, if set, receives the log lines of all processes.
	logs io.Writer
	// now is the clock of all processes; nil is the real one.
	now func() time.Time

	mu    sync.Mutex
	nodes map[string]*node
}

// node is one process.
type node struct {
	*jobs.Service
	name    string
	cluster *cluster
	balance *balance.Table
	guard   *quarantine.Guard
	// disconnected simulates that the process can't reach the log.
	disconnected atomic.Bool
	// capacity is the process's capacity; 0 is unknown.
	capacity float64
	stop     context.CancelFunc
	done     chan struct{}
}

func newCluster(t *testing.T, backends int) *cluster {
	t.Helper()
	c := &cluster{t: t, log: keyedlogtest.New(), nodes: make(map[string]*node), route: catalog.Route{
		Name: "b", Host: "h", Prefix: "/b/", Kind: catalog.Batch, Idempotent: true, Resumable: true,
		Splits: []catalog.Split{{Service: "s", Weight: 1}}, MaxAttempts: 2, JobCompletionTarget: 5 * time.Second, JobRetention: time.Minute,
	}}
	for i := range backends {
		c.backends = append(c.backends, platformtest.NewBackend(t, fmt.Sprint("backend-", i)))
	}
	c.log.SetMaxAppendBytes(maxAppendBytes)
	return c
}

// addBackend registers one more backend server.
func (c *cluster) addBackend(b *platformtest.Backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backends = append(c.backends, b)
}

func (c *cluster) registrations() []catalog.Backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []catalog.Backend
	for _, b := range c.backends {
		out = append(out, b.Registration("s", clusterSlots))
	}
	return out
}

// backendsOf returns the backend servers of a service.
func (c *cluster) backendsOf(service string) []catalog.Backend {
	if service != c.route.Splits[0].Service {
		return nil
	}
	return c.registrations()
}

func (c *cluster) start(name string) *node {
	c.t.Helper()
	return c.startWithLog(name, c.log)
}

func (c *cluster) startWithLog(name string, l keyedlog.Log) *node {
	c.t.Helper()
	n := &node{name: name, cluster: c, capacity: c.capacities[name], done: make(chan struct{}), balance: balance.New(balance.Options{Zone: "z", PeerTTL: time.Second, Seed: 1})}
	n.guard = newGuard(guardPeers{n})
	config := catalog.NewConfig(1, append([]catalog.Route{c.route}, c.otherRoutes...), nil, catalog.Limits{})
	n.Service = jobs.New(jobs.Options{
		Log: l, Groups: l.(keyedlog.Groups), Member: fmt.Sprint(name, rand.Uint64()), Instance: name,
		JobTopic: "keyed.jobs", ContentTopic: "keyed.contents", ResultTopic: "keyed.results", Shards: keyedlogtest.Shards,
		RecordBytes: 2000, CallBytes: maxAppendBytes, MinTTL: time.Millisecond, Retention: time.Hour, Now: c.now,
		Config:      func() *catalog.Config { return config },
		Backends:    c.backendsOf,
		AllBackends: func(g func(catalog.Backend)) { each(c.registrations(), g) },
		Table:       n.balance,
		Pool:        upstream.NewPool(upstream.Options{Codec: platform.Codec{}, DialTimeout: time.Second}),
		Quarantine:  n.guard,
		PromptParts: platform.SharedPromptParts, OutOfOrder: c.outOfOrder,
		Logger: c.logger(name), Peers: clusterPeers{n}, StoreAge: n.storeAge,
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	n.stop = cancel
	go func() { n.Run(ctx); close(n.done) }()
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	c.t.Cleanup(n.kill)
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if n.Ready() {
			return poll.Success()
		}
		return poll.Continue("%s is not ready", name)
	})
	return n
}

// logger returns the logger of a process, whose lines name it.
func (c *cluster) logger(name string) *log.Logger {
	if c.logs == nil {
		return log.New(io.Discard)
	}
	return log.New(c.logs).With("process", name)
}

// newGuard returns the quarantine of a process that has run for some time.
func newGuard(peers quarantine.Peers) *quarantine.Guard {
	pool := upstream.NewPool(upstream.Options{Codec: platform.Codec{}, DialTimeout: time.Second})
	return quarantinetest.NewGuardWithPeers(pool, peers)
}

// guardPeers implements quarantine.Peers over the other processes of a cluster.
type guardPeers struct{ self *node }

func (p guardPeers) others() []*node {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	others := maps.Clone(p.self.cluster.nodes)
	delete(others, p.self.name)
	return slices.Collect(maps.Values(others))
}

func (p guardPeers) BroadcastCrash(r quarantine.CrashReport) {
	for _, n := range p.others() {
		p.self.guard.PeerCompleted(n.guard.PeerCrash(r))
	}
}

func (p guardPeers) BroadcastHeld(suspects []string) {
	for _, n := range p.others() {
		n.guard.PeerHeld(suspects)
	}
}

func (p guardPeers) BroadcastCompleted(suspects []string) {
	for _, n := range p.others() {
		n.guard.PeerCompleted(suspects)
	}
}

func (p guardPeers) BroadcastHolds(states []quarantine.HoldState) {
	for _, n := range p.others() {
		n.guard.PeerHolds(states)
	}
}

// Priority gives each process another place.
func (p guardPeers) Priority(string) uint64 { return uint64(balance.Key(p.self.name)) }

func each(backends []catalog.Backend, f func(catalog.Backend)) {
	for _, b := range backends {
		f(b)
	}
}

func (n *node) storeAge() time.Duration {
	if n.disconnected.Load() {
		return time.Minute
	}
	return 0
}

// kill stops a process without a graceful shutdown.
func (n *node) kill() {
	n.cluster.mu.Lock()
	delete(n.cluster.nodes, n.name)
	n.cluster.mu.Unlock()
	n.stop()
	<-n.done
}

// clusterPeers implements jobs.Peers over the other processes of a cluster.
type clusterPeers struct{ self *node }

func (p clusterPeers) owner(shard int) (*node, jobs.ShardReport) {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	var best *node
	var newest jobs.ShardReport
	for _, n := range p.self.cluster.nodes {
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

func (p clusterPeers) OwnerOf(shard int) (string, bool) {
	n, _ := p.owner(shard)
	if n == nil {
		return "", false
	}
	return n.name, true
}

func (p clusterPeers) ShardReport(shard int) (jobs.ShardReport, bool) {
	n, r := p.owner(shard)
	return r, n != nil
}

func (p clusterPeers) StoreConnectedPeer() (string, bool) {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	for name, n := range p.self.cluster.nodes {
		if n != p.self && !n.disconnected.Load() {
			return name, true
		}
	}
	return "", false
}

func (p clusterPeers) NearestRTT() (time.Duration, bool) {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	nearest, known := time.Duration(0), false
	for _, n := range p.self.cluster.nodes {
		if rtt := n.StoreRTT(); n != p.self && rtt > 0 && (!known || rtt < nearest) {
			nearest, known = rtt, true
		}
	}
	return nearest, known
}

func (p clusterPeers) Capacities(time.Duration) (own float64, peers []float64) {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	for _, n := range p.self.cluster.nodes {
		if n != p.self && !n.disconnected.Load() {
			peers = append(peers, n.capacity)
		}
	}
	return p.self.capacity, peers
}

func (p clusterPeers) ReachableCount() int {
	p.self.cluster.mu.Lock()
	defer p.self.cluster.mu.Unlock()
	return len(p.self.cluster.nodes) - 1
}

func (p clusterPeers) Submit(ctx context.Context, address string, job *jobs.Job, quota int64) error {
	p.self.cluster.mu.Lock()
	n := p.self.cluster.nodes[address]
	p.self.cluster.mu.Unlock()
	return n.SubmitLocal(ctx, job, quota)
}

func (p clusterPeers) ItemBody(_ context.Context, address, id, itemID string) ([]byte, bool, error) {
	p.self.cluster.mu.Lock()
	n := p.self.cluster.nodes[address]
	p.self.cluster.mu.Unlock()
	body, err := n.ItemBodyLocal(id, itemID)
	if errkind.Is(err, errkind.NotFound) {
		return nil, false, nil
	}
	return body, err == nil, err
}

func (p clusterPeers) List(ctx context.Context, address, id string, after int, wait time.Duration) (jobs.Listing, error) {
	p.self.cluster.mu.Lock()
	n := p.self.cluster.nodes[address]
	p.self.cluster.mu.Unlock()
	if n == nil {
		return jobs.Listing{}, errkind.New(errkind.LogUnavailable, "%s is not running", address)
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

func itemOutput(item string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, platformtest.EventData(item, n))
	}
	return strings.Join(lines, "\n")
}

// waitComplete reads a job through n until it is complete and returns the results.
func (c *cluster) waitComplete(n *node, j *jobs.Job) []jobs.ListedResult {
	c.t.Helper()
	return c.waitCompleteUntil(n, j, time.Now().Add(20*time.Second))
}

// waitCompleteUntil is waitComplete with the time by which the job must be complete.
func (c *cluster) waitCompleteUntil(n *node, j *jobs.Job, deadline time.Time) []jobs.ListedResult {
	c.t.Helper()
	var results []jobs.ListedResult
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		l, err := n.List(c.t.Context(), j.ID, 0, 0)
		if err != nil || len(l.Results) < len(j.Items) {
			return poll.Continue("%d of %d results are listed, %v", len(l.Results), len(j.Items), err)
		}
		results = l.Results
		return poll.Success()
	}, poll.WithTimeout(time.Until(deadline)))
	return results
}

// waitCheckpoints waits until the log holds progress of each item of a job.
func (c *cluster) waitCheckpoints(j *jobs.Job) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		found := 0
		for shard := range keyedlogtest.Shards {
			for _, r := range c.newestRecords(keyedlog.Partition{Topic: "keyed.results", Index: shard}) {
				if strings.HasPrefix(r.Key, "progress/"+j.ID+"/") {
					found++
				}
			}
		}
		if found < len(j.Items) {
			return poll.Continue("%d of %d items have progress on the log", found, len(j.Items))
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// newestRecords returns the newest record of each key of a partition.
func (c *cluster) newestRecords(p keyedlog.Partition) []keyedlog.Record {
	c.t.Helper()
	var records []keyedlog.Record
	after := ""
	for {
		page, err := c.log.Newest(c.t.Context(), p, after)
		assert.NilError(c.t, err)
		records = append(records, page.Records...)
		if !page.More {
			return records
		}
		after = records[len(records)-1].Key
	}
}

// requestCount counts the requests for a job's items at the first backend server.
func (c *cluster) requestCount(j *jobs.Job) int {
	n := 0
	for _, request := range c.backends[0].Requests() {
		if strings.HasPrefix(request.ID, j.ID+"-") {
			n++
		}
	}
	return n
}

// checkComplete checks that each item is listed exactly once with its complete output.
func (c *cluster) checkComplete(j *jobs.Job, results []jobs.ListedResult) {
	c.t.Helper()
	seen := make(map[string]bool)
	for _, r := range results {
		assert.Assert(c.t, !seen[r.ItemID], "%s is listed twice", r.ItemID)
		seen[r.ItemID] = true
		assert.Assert(c.t, r.Completed, "%s was abandoned", r.ItemID)
		assert.Equal(c.t, string(r.Text), itemOutput(r.ItemID, c.backends[0].Events))
	}
	assert.Equal(c.t, len(seen), len(j.Items))
}
