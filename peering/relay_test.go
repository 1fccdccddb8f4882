package peering_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/origins"
	"github.com/catkinrudder/catkinrudder/peering"
)

var registrations = keyedlog.Partition{Topic: "registrations"}

// latestValues is a view that keeps the latest value of each key.
type latestValues struct {
	mu     sync.Mutex
	latest map[string]string
}

func (v *latestValues) Rebuild(records []keyedlog.Record) {
	v.mu.Lock()
	v.latest = make(map[string]string)
	v.mu.Unlock()
	v.Apply(records)
}

func (v *latestValues) Apply(records []keyedlog.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		v.latest[r.Key] = string(r.Value)
	}
}

func (v *latestValues) value(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.latest[key]
}

// countingReader counts what one gateway reads from the log itself.
type countingReader struct {
	keyedlog.Reader
	reads, records atomic.Int64
}

func (c *countingReader) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.History, error) {
	c.reads.Add(1)
	h, err := c.Reader.Read(ctx, p, from, wait)
	c.records.Add(int64(len(h.Records)))
	return h, err
}

// reader is a gateway that follows the registrations.
type reader struct {
	*gateway
	ln      net.Listener
	values  *latestValues
	source  *peering.Source
	service *countingReader
	relay   *keyedlog.Relay
	stop    context.CancelFunc
}

// listenBoth listens on one port for TCP connections and for UDP datagrams.
func listenBoth(t *testing.T) (net.Listener, net.PacketConn) {
	t.Helper()
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		conn, err := net.ListenPacket("udp", ln.Addr().String())
		if err == nil {
			return ln, conn
		}
		assert.NilError(t, ln.Close())
	}
}

// newReaders starts n gateways of one region that are each other's peers.
func newReaders(t *testing.T, n int) []*reader {
	t.Helper()
	var out []*reader
	for i := range n {
		ln, conn := listenBoth(t)
		out = append(out, &reader{gateway: startGatewayOn(t, conn, fmt.Sprint("g", i), "r"), ln: ln, values: &latestValues{}})
	}
	for _, a := range out {
		for _, b := range out {
			if a != b {
				a.addPeer(t, b.gateway, "r")
			}
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, r := range out {
			if r.ReachableCount() < n-1 {
				return poll.Continue("%s has %d reachable peers", r.name, r.ReachableCount())
			}
		}
		return poll.Success()
	})
	return out
}

// follow makes readers serve their peers and follow the registrations.
func follow(t *testing.T, log *keyedlogtest.Log, readers []*reader) {
	t.Helper()
	for _, r := range readers {
		r.serve(t)
	}
	for _, r := range readers {
		r.run(t, log)
	}
}

// serve starts the HTTP server of r for its peers.
func (r *reader) serve(t *testing.T) {
	t.Helper()
	r.relay = keyedlog.NewRelay(r.values, func(value []byte) any { return string(value) })
	server := &http.Server{Handler: peering.Handler(testHost{}, func() peering.Snapshot { return peering.Snapshot{} }, r.relay, origins.NewTable())}
	go func() { _ = server.Serve(r.ln) }() // returns after Close
	r.stop = func() {
		_ = server.Close()
		r.gateway.stop()
	}
	t.Cleanup(func() { r.stop() })
}

// run follows the registrations until stop is called.
func (r *reader) run(t *testing.T, log *keyedlogtest.Log) {
	t.Helper()
	r.service = &countingReader{Reader: log}
	r.source = r.NewSource(r.service)
	f := keyedlog.NewRelayedFollower(r.source, r.service, registrations, r.relay,
		keyedlog.PollConfig{MaxWait: 300 * time.Millisecond, MinInterval: time.Millisecond, RetryDelay: 10 * time.Millisecond}, nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	stopServing := r.stop
	r.stop = func() {
		cancel()
		<-done
		stopServing()
	}
}

func put(t *testing.T, log *keyedlogtest.Log, key, value string) {
	t.Helper()
	_, err := log.Append(t.Context(), registrations, []keyedlog.Record{{Key: key, Value: []byte(value)}}, keyedlog.Condition{})
	assert.NilError(t, err)
}

// waitForValue waits until every reader has a value.
func waitForValue(t *testing.T, readers []*reader, key, value string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, r := range readers {
			if got := r.values.value(key); got != value {
				return poll.Continue("%s has %q", r.name, got)
			}
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// waitForRelayedReads waits until all gateways but the relays read from a relay. A
// gateway that has called its relay before the relay had read anything reads from the
// service for a short time.
func waitForRelayedReads(t *testing.T, readers []*reader) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		direct := 0
		for _, r := range readers {
			if r.source.Direct() {
				direct++
			}
		}
		if direct > 2 {
			return poll.Continue("%d gateways read from the log service", direct)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestRefusedReadersReturnToRelays starts the relays last: the calls of the other
// gateways are refused first, and the gateways have to return from the log service to
// the relays.
func TestRefusedReadersReturnToRelays(t *testing.T) {
	log := keyedlogtest.New()
	put(t, log, "a", "one")
	readers := newReaders(t, 12)
	var relays, others []*reader
	for _, r := range readers {
		if r.IsRelay() {
			relays = append(relays, r)
		} else {
			others = append(others, r)
		}
	}
	for _, r := range readers {
		r.serve(t)
	}
	for _, r := range others {
		r.run(t, log)
	}
	waitForValue(t, others, "a", "one")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, r := range others {
			if r.service.reads.Load() == 0 {
				return poll.Continue("%s has not been refused yet", r.name)
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	for _, r := range relays {
		r.run(t, log)
	}
	started := time.Now()
	waitForRelayedReads(t, readers)
	assert.Assert(t, time.Since(started) < 2*time.Second)
}

// directRecords counts the records that gateways have read from the log service.
func directRecords(readers []*reader) int64 {
	n := int64(0)
	for _, r := range readers {
		n += r.service.records.Load()
	}
	return n
}

// TestOnlyRelaysReadFromService renews registrations without a change: only the relays
// read the renewals.
func TestOnlyRelaysReadFromService(t *testing.T) {
	const gateways, renewals = 12, 100
	log := keyedlogtest.New()
	put(t, log, "a", "one")
	readers := newReaders(t, gateways)
	follow(t, log, readers)
	waitForValue(t, readers, "a", "one")
	put(t, log, "a", "two")
	waitForValue(t, readers, "a", "two")
	waitForRelayedReads(t, readers)
	before := directRecords(readers)
	for range renewals {
		put(t, log, "a", "two")
	}
	put(t, log, "a", "three")
	waitForValue(t, readers, "a", "three")
	perGateway := float64(directRecords(readers)-before) / gateways
	assert.Assert(t, perGateway < renewals/3, "%.0f records per gateway", perGateway)
}

// TestReadersSurviveRelayFailures stops one gateway after the other, including relays.
func TestReadersSurviveRelayFailures(t *testing.T) {
	log := keyedlogtest.New()
	put(t, log, "a", "one")
	readers := newReaders(t, 12)
	follow(t, log, readers)
	waitForValue(t, readers, "a", "one")
	for i := range 6 {
		readers[i].stop()
		value := fmt.Sprint("after ", i)
		put(t, log, "a", value)
		waitForValue(t, readers[i+1:], "a", value)
	}
}

// TestStartInLargeRegionReadsFromRelays lists many more gateways in the directory than
// are running: only the relays read all records from the log service.
func TestStartInLargeRegionReadsFromRelays(t *testing.T) {
	log := keyedlogtest.New()
	put(t, log, "a", "one")
	readers := newReaders(t, 12)
	for _, r := range readers {
		for i := range 40 {
			r.addPeer(t, &gateway{name: fmt.Sprint("absent-", i), address: "127.0.0.1:9"}, "r")
		}
		r.Rebuild(nil)
	}
	follow(t, log, readers)
	waitForValue(t, readers, "a", "one")
	assert.Assert(t, log.Calls("newest") <= 2, "%d of 12 gateways read all records from the log service", log.Calls("newest"))
}
