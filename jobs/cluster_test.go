package jobs_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
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
	// olderRelease states that a process of an older release runs, which reads an older format of stored jobs.
	olderRelease bool
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
	// isolated simulates that no reports pass between the process and the others.
	isolated atomic.Bool
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
