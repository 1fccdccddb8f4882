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
	"github.com/catkinrudder/catkinrudder/peering"
)

var registrations = keyedlog.Partition{Topic: "registrations"}

// words is a view that keeps the newest value of each key.
type words struct {
	mu     sync.Mutex
	latest map[string]string
}

func (w *words) Rebuild(records []keyedlog.Record) {
	w.mu.Lock()
	w.latest = make(map[string]string)
	w.mu.Unlock()
	w.Apply(records)
}

func (w *words) Apply(records []keyedlog.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range records {
		w.latest[r.Key] = string(r.Value)
	}
}

func (w *words) value(key string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest[key]
}

// service counts what one gateway reads of the log itself.
type service struct {
	keyedlog.Reader
	reads, records atomic.Int64
}

func (s *service) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.History, error) {
	s.reads.Add(1)
	h, err := s.Reader.Read(ctx, p, from, wait)
	s.records.Add(int64(len(h.Records)))
	return h, err
}

// reader is a gateway that follows the registrations.
type reader struct {
	*gateway
	ln     net.Listener
	words  *words
	source *peering.Source
	own    *service
	relay  *keyedlog.Relay
	stop   context.CancelFunc
}

// listenBoth listens for connections at a port that is free for datagrams too.
func listenBoth(t *testing.T) net.Listener {
	t.Helper()
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		conn, err := net.ListenPacket("udp", ln.Addr().String())
		if err == nil {
			assert.NilError(t, conn.Close())
			return ln
		}
		assert.NilError(t, ln.Close())
	}
}

// newReaders starts n gateways of one region that know each other.
func newReaders(t *testing.T, n int) []*reader {
	t.Helper()
	var out []*reader
	for i := range n {
		ln := listenBoth(t)
		out = append(out, &reader{gateway: start(t, fmt.Sprint("g", i), ln.Addr().String(), "r"), ln: ln, words: &words{}})
	}
	for _, a := range out {
		for _, b := range out {
			if a != b {
				a.enter(t, b.gateway, "r")
			}
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, r := range out {
			if r.ReachableCount() < n-1 {
				return poll.Continue("%s hears %d", r.name, r.ReachableCount())
			}
		}
		return poll.Success()
	})
	return out
}

// follow lets readers answer others and follow the registrations.
func follow(t *testing.T, log *keyedlogtest.Log, readers []*reader) {
	t.Helper()
	for _, r := range readers {
		r.serve(t)
	}
	for _, r := range readers {
		r.run(t, log)
	}
}

// serve lets others ask r.
func (r *reader) serve(t *testing.T) {
	t.Helper()
	r.relay = keyedlog.NewRelay(r.words, func(value []byte) any { return string(value) })
	server := &http.Server{Handler: peering.Handler(host{}, func() peering.Snapshot { return peering.Snapshot{} }, r.relay)}
	go func() { _ = server.Serve(r.ln) }() // ends with Close
	r.stop = func() {
		_ = server.Close()
		r.gateway.stop()
	}
	t.Cleanup(func() { r.stop() })
}

// run follows the registrations until stop.
func (r *reader) run(t *testing.T, log *keyedlogtest.Log) {
	t.Helper()
	r.own = &service{Reader: log}
	r.source = r.NewSource(r.own)
	f := keyedlog.NewRelayedFollower(r.source, registrations, r.relay,
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

// allSee waits until every reader has a value.
func allSee(t *testing.T, readers []*reader, key, value string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, r := range readers {
			if got := r.words.value(key); got != value {
				return poll.Continue("%s has %q", r.name, got)
			}
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// onlyRelaysRead waits until all but the relays read from a relay. One that asked
// before its relay had read anything reads the service for a moment.
func onlyRelaysRead(t *testing.T, readers []*reader) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		direct := 0
		for _, r := range readers {
			if r.source.Direct() {
				direct++
			}
		}
		if direct > 2 {
			return poll.Continue("%d read the service", direct)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestRelayThatHasNotReadYetIsAskedAgainSoon starts the relays last: the others are
// refused first, and have to come back from the service.
func TestRelayThatHasNotReadYetIsAskedAgainSoon(t *testing.T) {
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
	allSee(t, others, "a", "one")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, r := range others {
			if r.own.reads.Load() == 0 {
				return poll.Continue("%s has not been refused yet", r.name)
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	for _, r := range relays {
		r.run(t, log)
	}
	started := time.Now()
	onlyRelaysRead(t, readers)
	assert.Assert(t, time.Since(started) < 2*time.Second)
}

// readByThemselves counts the records that gateways have read of the service.
func readByThemselves(readers []*reader) int64 {
	n := int64(0)
	for _, r := range readers {
		n += r.own.records.Load()
	}
	return n
}

// TestFewReadTheServiceForMany renews registrations without a change: only the
// relays read them.
func TestFewReadTheServiceForMany(t *testing.T) {
	const gateways, renewals = 12, 100
	log := keyedlogtest.New()
	put(t, log, "a", "one")
	readers := newReaders(t, gateways)
	follow(t, log, readers)
	allSee(t, readers, "a", "one")
	put(t, log, "a", "two")
	allSee(t, readers, "a", "two")
	onlyRelaysRead(t, readers)
	before := readByThemselves(readers)
	for range renewals {
		put(t, log, "a", "two")
	}
	put(t, log, "a", "three")
	allSee(t, readers, "a", "three")
	perGateway := float64(readByThemselves(readers)-before) / gateways
	assert.Assert(t, perGateway < renewals/3, "%.0f records a gateway", perGateway)
}

// TestReadersOutliveTheirRelays stops one gateway after the other, relays too.
func TestReadersOutliveTheirRelays(t *testing.T) {
	log := keyedlogtest.New()
	put(t, log, "a", "one")
	readers := newReaders(t, 12)
	follow(t, log, readers)
	allSee(t, readers, "a", "one")
	for i := range 6 {
		readers[i].stop()
		value := fmt.Sprint("after ", i)
		put(t, log, "a", value)
		allSee(t, readers[i+1:], "a", value)
	}
}

// TestStartInALargeRegionAsksTheRelays lists many gateways more than are there: only
// the relays read everything from the service.
func TestStartInALargeRegionAsksTheRelays(t *testing.T) {
	log := keyedlogtest.New()
	put(t, log, "a", "one")
	readers := newReaders(t, 12)
	for _, r := range readers {
		for i := range 40 {
			r.enter(t, &gateway{name: fmt.Sprint("absent-", i), address: "127.0.0.1:9"}, "r")
		}
		r.Rebuild(nil)
	}
	follow(t, log, readers)
	allSee(t, readers, "a", "one")
	assert.Assert(t, log.Calls("newest") <= 2, "%d of 12 read everything", log.Calls("newest"))
}
