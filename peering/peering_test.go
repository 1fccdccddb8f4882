package peering_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/origins"
	"github.com/catkinrudder/catkinrudder/peering"
	"github.com/catkinrudder/catkinrudder/quota"
	"github.com/catkinrudder/catkinrudder/ratelimit"
	"github.com/catkinrudder/catkinrudder/waiting"
)

// gateway is one participant of the peering.
type gateway struct {
	*peering.Peering
	name    string
	region  string
	address string
	table   *balance.Table
	shards  []jobs.ShardReport
	origins *origins.Table
	// evidence records the reports about prompt parts.
	evidence *evidence
	limits   *ratelimit.Limiter
	// configVersion is the version of the configuration in force; peers are told of it.
	configVersion atomic.Int64
	quotas        *quota.Limiter
	crowd         *waiting.Crowd
	// mu guards denied, the time until which requests were denied, and waiting, the requests
	// that wait here.
	mu      sync.Mutex
	denied  time.Time
	waiting map[uint32]waiting.Count
	stop    func()
}

func startGateway(t *testing.T, name, address, region string, shards ...jobs.ShardReport) *gateway {
	t.Helper()
	conn, err := net.ListenPacket("udp", address)
	assert.NilError(t, err)
	return startGatewayOn(t, conn, name, region, shards...)
}

func startGatewayOn(t *testing.T, conn net.PacketConn, name, region string, shards ...jobs.ShardReport) *gateway {
	t.Helper()
	g := &gateway{name: name, region: region, address: conn.LocalAddr().String(), shards: shards, origins: origins.NewTable(), evidence: &evidence{}, crowd: waiting.NewCrowd(peering.ReportTTL)}
	g.table = balance.New(balance.Options{Zone: "z", PeerTTL: peering.ReportTTL, Seed: 1})
	g.limits = ratelimit.NewLimiter(ratelimit.Options{
		StartedAt: time.Now().Add(-time.Minute), Peers: func() ratelimit.Peers { return g }, Zone: func(string) string { return "z-near" }, Logger: log.New(io.Discard),
		Denied: func(_ string, _ bool, until, _ time.Time) { g.setDenied(until) }, Freed: func(string, bool) { g.setDenied(time.Time{}) },
	})
	g.quotas = newQuotas(g)
	g.Peering = peering.New(peering.Options{
		Waiting: g.waitingRequests, Crowd: g.crowd,
		Limits: g.limits, Quotas: g.quotas, RegionOf: map[string]string{"z-near": "near", "z-far": "far"},
		Name: name, Region: region, Table: g.table, Logger: log.New(io.Discard), Conn: conn, Client: http.DefaultClient, Origins: g.origins, Evidence: g.evidence,
		ConfigVersion: func() (int64, bool) { return g.configVersion.Load(), true },
		Shards:        func() []jobs.ShardReport { return g.shards }, StoreAge: func() time.Duration { return 0 }, StoreRTT: func() time.Duration { return time.Millisecond },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { g.Run(ctx); close(done) }()
	go g.quotas.Run(ctx)
	g.stop = func() { cancel(); <-done }
	t.Cleanup(g.stop)
	return g
}

func (g *gateway) setWaiting(counts map[uint32]waiting.Count) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = counts
}

func (g *gateway) waitingRequests() map[uint32]waiting.Count {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.waiting)
}

func (g *gateway) setDenied(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.denied = until
}

func (g *gateway) deniedUntil() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.denied
}

// addPeer adds the directory record of other to g.
func (g *gateway) addPeer(t *testing.T, other *gateway, region string) {
	t.Helper()
	g.addRecord(t, other.name, peering.Peer{Address: other.address, Region: region})
}

func (g *gateway) addRecord(t *testing.T, name string, p peering.Peer) {
	t.Helper()
	value, err := peering.EncodePeer(p)
	assert.NilError(t, err)
	g.Apply([]keyedlog.Record{{Key: name, Value: value}})
}

func (g *gateway) waitForLoad(t *testing.T, id string, online int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, ok := g.table.Pick([]catalog.Backend{{ID: id, Zone: "z", Slots: 99, State: catalog.Ready}}, balance.Requirements{}, time.Now())
		if ok {
			g.table.Release(id, balance.Online)
		}
		if ok && c.Load.Online == online {
			return poll.Success()
		}
		return poll.Continue("%s counts %d attempts at %s, want %d", g.name, c.Load.Online, id, online)
	}, poll.WithDelay(5*time.Millisecond))
}

func beginAttempt(t *testing.T, g *gateway, id string) {
	t.Helper()
	_, ok := g.table.Pick([]catalog.Backend{{ID: id, Zone: "z", Slots: 99, State: catalog.Ready}}, balance.Requirements{}, time.Now())
	assert.Assert(t, ok)
}

func TestLoadIsReportedToPeers(t *testing.T) {
	for _, region := range []string{"r", "other"} {
		a, b := startGateway(t, "a", "127.0.0.1:0", "r"), startGateway(t, "b", "127.0.0.1:0", region)
		a.addPeer(t, b, region)
		b.addPeer(t, a, "r")
		beginAttempt(t, a, "x")
		beginAttempt(t, a, "x")
		b.waitForLoad(t, "x", 2)
		a.table.Release("x", balance.Online)
		b.waitForLoad(t, "x", 1)
		a.stop()
		b.waitForLoad(t, "x", 0)
	}
}

// lateContext is a context whose functions registered by context.AfterFunc run later than
// every goroutine that waits for Done.
type lateContext struct{ context.Context }

// AfterFunc is used by context.AfterFunc.
func (lateContext) AfterFunc(func()) (stop func() bool) {
	return func() bool { return true }
}

// TestRunClosesTheSocket checks that the address can be bound as soon as Run has returned,
// even if functions that wait for the end of the context have not run by then.
func TestRunClosesTheSocket(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	p := peering.New(peering.Options{
		Name: "a", Region: "r", Table: balance.New(balance.Options{Zone: "z", PeerTTL: peering.ReportTTL, Seed: 1}), Logger: log.New(io.Discard), Conn: conn,
		Shards: func() []jobs.ShardReport { return nil }, StoreAge: func() time.Duration { return 0 }, StoreRTT: func() time.Duration { return 0 },
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.Run(lateContext{ctx})
	again, err := net.ListenPacket("udp", conn.LocalAddr().String())
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}

// TestRestartedGatewayIsHeardWithoutTheDirectory covers a restart while the store is
// unavailable: the restarted gateway finds no peers in the directory, but its peers
// still send to its address.
func TestRestartedGatewayIsHeardWithoutTheDirectory(t *testing.T) {
	a, b := startGateway(t, "a", "127.0.0.1:0", "r"), startGateway(t, "b", "127.0.0.1:0", "r")
	a.addPeer(t, b, "r")
	b.addPeer(t, a, "r")
	beginAttempt(t, a, "x")
	b.waitForLoad(t, "x", 1)
	a.stop()
	b.waitForLoad(t, "x", 0)
	again := startGateway(t, "a", a.address, "r")
	beginAttempt(t, b, "y")
	again.waitForLoad(t, "y", 1)
	beginAttempt(t, again, "x")
	b.waitForLoad(t, "x", 1)
}

// TestLoadOfLargeOtherRegionsIsKnown covers fleets so large that gateways do not report to
// each other across regions: each gateway gets the summed load of the other region.
func TestLoadOfLargeOtherRegionsIsKnown(t *testing.T) {
	a, b := startGateway(t, "a", "127.0.0.1:0", "r"), startGateway(t, "b", "127.0.0.1:0", "r")
	x, y := startGateway(t, "x", "127.0.0.1:0", "q"), startGateway(t, "y", "127.0.0.1:0", "q")
	gateways := []*gateway{a, b, x, y}
	unused := listenAddress(t)
	for _, g := range gateways {
		for i := range 900 { // gateways that are not running, and last in the order of reporters
			g.addRecord(t, fmt.Sprint("stopped-", i), peering.Peer{Address: unused, Region: map[string]string{"r": "q", "q": "r"}[g.region], LinkMbps: -1})
		}
		for _, other := range gateways {
			if other != g {
				g.addRecord(t, other.name, peering.Peer{Address: other.address, Region: other.region})
			}
		}
	}
	beginAttempt(t, a, "s")
	x.waitForLoad(t, "s", 1)
	y.waitForLoad(t, "s", 1)
	beginAttempt(t, a, "s")
	beginAttempt(t, b, "s")
	x.waitForLoad(t, "s", 3)
	y.waitForLoad(t, "s", 3)
	a.table.Release("s", balance.Online)
	x.waitForLoad(t, "s", 2)
	y.waitForLoad(t, "s", 2)
}

// listenAddress returns an address that nobody reads from.
func listenAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.LocalAddr().String()
}

func TestOwnerIsTheOneWithTheHighestEpoch(t *testing.T) {
	a := startGateway(t, "a", "127.0.0.1:0", "r")
	old := startGateway(t, "old", "127.0.0.1:0", "r", jobs.ShardReport{Shard: 3, Epoch: 5, Waiting: map[string]int64{"b": 1}})
	owner := startGateway(t, "new", "127.0.0.1:0", "r", jobs.ShardReport{Shard: 3, Epoch: 6, Waiting: map[string]int64{"b": 2}})
	for _, g := range []*gateway{old, owner} {
		g.addPeer(t, a, "r")
		a.addPeer(t, g, "r")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if address, known := a.OwnerOf(3); known && address == owner.address {
			return poll.Success()
		}
		return poll.Continue("the owner is unknown")
	})
	report, known := a.ShardReport(3)
	assert.Assert(t, known)
	assert.Equal(t, report.Waiting["b"], int64(2))
	_, known = a.OwnerOf(4)
	assert.Assert(t, !known)
}

// testHost serves the calls of peers.
type testHost struct{}

func (testHost) ListLocal(_ context.Context, id string, after int, wait time.Duration) (jobs.Listing, error) {
	if id != "mine" {
		return jobs.Listing{}, errors.New("not owned")
	}
	return jobs.Listing{Total: 9, Next: after + 1, Results: []jobs.ListedResult{{ItemID: "i", Completed: true, Text: fmt.Append(nil, wait)}}}, nil
}

func (testHost) ItemBodyLocal(id, itemID string) ([]byte, error) {
	if id != "mine" {
		return nil, errkind.New(errkind.LogUnavailable, "not owned")
	}
	if itemID != "i" {
		return nil, errkind.New(errkind.NotFound, "no item")
	}
	return []byte("body"), nil
}

// quotaUnknown is a quota for which the peer can't tell whether it has accepted a job.
const quotaUnknown = 1

func (testHost) SubmitLocal(_ context.Context, job *jobs.Job, quota int64) error {
	if quota == quotaUnknown {
		return errkind.New(errkind.LogUnavailable, "an append had no response").WithOutcome(errkind.Unknown).WithRetryAfter(time.Second)
	}
	if job.Tokens() > quota {
		return errkind.New(errkind.RateLimited, "too much").WithRetryAfter(time.Second)
	}
	return nil
}

func TestSubmissionIsForwarded(t *testing.T) {
	server := httptest.NewServer(peering.Handler(testHost{}, func() peering.Snapshot { return peering.Snapshot{} }, keyedlog.NewRelay(nil, nil), origins.NewTable()))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	a := startGateway(t, "a", "127.0.0.1:0", "r")
	job := &jobs.Job{ID: "j", Items: []jobs.Item{{ID: "i", Tokens: 5}}}
	assert.NilError(t, a.Submit(t.Context(), address, job, 5))
	answer := errkind.From(a.Submit(t.Context(), address, job, 4)).Response()
	assert.Equal(t, answer.Status, http.StatusTooManyRequests)
	assert.Equal(t, answer.Outcome, errkind.NotRun)
	unknown := errkind.From(a.Submit(t.Context(), address, job, quotaUnknown)).Response()
	assert.Equal(t, unknown.Status, http.StatusGatewayTimeout, "the status promises nothing")
	assert.Equal(t, unknown.Outcome, errkind.Unknown)
	server.Close()
	assert.Equal(t, errkind.From(a.Submit(t.Context(), address, job, 5)).Response().Outcome, errkind.Unknown)
}

func TestListingsAndSnapshotsAreFetchedFromPeers(t *testing.T) {
	snapshot := peering.Snapshot{Config: []keyedlog.Record{{Key: "config", Value: []byte("7"), Offset: 3}}}
	server := httptest.NewServer(peering.Handler(testHost{}, func() peering.Snapshot { return snapshot }, keyedlog.NewRelay(nil, nil), origins.NewTable()))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	a := startGateway(t, "a", "127.0.0.1:0", "r")
	listing, err := a.List(t.Context(), address, "mine", 4, 20*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, listing.Next, 5)
	assert.Equal(t, string(listing.Results[0].Text), "20ms")
	_, err = a.List(t.Context(), address, "other", 0, 0)
	assert.ErrorContains(t, err, "not owned")
	body, found, err := a.ItemBody(t.Context(), address, "mine", "i")
	assert.NilError(t, err)
	assert.Assert(t, found && string(body) == "body")
	_, found, err = a.ItemBody(t.Context(), address, "mine", "j")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	_, _, err = a.ItemBody(t.Context(), address, "other", "i")
	assert.ErrorContains(t, err, "not owned")
	_, ok := a.FetchSnapshot(t.Context(), 3)
	assert.Assert(t, !ok, "no peer is reachable")

	b := startGateway(t, "b", address, "r")
	a.addPeer(t, b, "r")
	b.addPeer(t, a, "r")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got, ok := a.FetchSnapshot(t.Context(), 3)
		if !ok {
			return poll.Continue("no snapshot")
		}
		assert.DeepEqual(t, got, snapshot)
		return poll.Success()
	})
}
