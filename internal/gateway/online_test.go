package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/gateway"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/origins"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/quarantine/quarantinetest"
	"github.com/catkinrudder/catkinrudder/serving"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// fixture is a gateway with some backend servers of service s.
type fixture struct {
	*gateway.Gateway
	t *testing.T
}

func newFixture(t *testing.T, backends ...*platformtest.Backend) *fixture {
	t.Helper()
	decode := func(id string, value []byte) (catalog.Backend, error) {
		b := catalog.Backend{ID: id, Service: "s", Zone: "z", State: catalog.Ready, Slots: 2}
		_, err := fmt.Sscan(string(value), &b.Address, &b.Version, &b.StartedMs)
		return b, errors.Wrap(err, "test registration")
	}
	discovered := discovery.NewBackends(decode, func(discovery.Change) {}, time.Now)
	pool := upstream.NewPool(upstream.Options{Codec: platform.Codec{}, DialTimeout: 200 * time.Millisecond})
	software := discovery.NewSoftwareHistory(discovered, origins.Retention, time.Now)
	software.Rebuild(nil)
	f := &fixture{t: t, Gateway: &gateway.Gateway{
		Backends:        discovered,
		Software:        software,
		Table:           balance.New(balance.Options{Zone: "z", PeerTTL: time.Second, Seed: 1}),
		Pool:            pool,
		Log:             log.New(io.Discard),
		Metrics:         gateway.NewMetrics(metrics.NewSet()),
		Draining:        make(chan struct{}),
		StoreAge:        func() time.Duration { return 0 },
		RegistrationAge: func() (time.Duration, bool) { return 0, true },
		Origins:         localOrigins{origins.NewTable()},

		Quarantine: quarantinetest.NewGuard(pool),
	}}
	f.register(backends...)
	return f
}

// localOrigins knows the origins of the streams of one gateway.
type localOrigins struct{ table *origins.Table }

func (l localOrigins) AnnounceOrigin(id string, s catalog.Software) {
	l.table.Record(id, s, time.Now())
}

func (l localOrigins) FindOrigin(_ context.Context, id string) (catalog.Software, bool) {
	return l.table.Lookup(id, time.Now())
}

// register registers backend servers.
func (f *fixture) register(backends ...*platformtest.Backend) {
	var records []keyedlog.Record
	for _, b := range backends {
		records = append(records, keyedlog.Record{Key: b.ID, Value: fmt.Appendf(nil, "%s %s %d", b.Address, b.Version, b.Born)})
	}
	f.Backends.Rebuild(records)
}

func route(kind catalog.RouteKind, change func(*catalog.Route)) *catalog.Route {
	r := &catalog.Route{
		Name: "r", Kind: kind, Splits: []catalog.Split{{Service: "s", Weight: 1}},
		Timeout: 2 * time.Second, FirstByteObjective: 300 * time.Millisecond, MaxAttempts: 1,
	}
	if change != nil {
		change(r)
	}
	return r
}

func resumable(r *catalog.Route) { r.Idempotent, r.Resumable, r.MaxAttempts = true, true, 2 }

func idempotent(r *catalog.Route) { r.Idempotent, r.MaxAttempts = true, 3 }

func request(id, path string) *serving.Request {
	now := time.Now()
	return &serving.Request{
		ID: id, Method: http.MethodPost, Host: "h", Target: path, Path: path, Header: make(http.Header),
		ReceivedAt: now, Deadline: now.Add(2 * time.Second),
	}
}

func (f *fixture) serve(r *serving.Request, rt *catalog.Route) (*httptest.ResponseRecorder, error) {
	w := httptest.NewRecorder()
	return w, f.ServeOnline(f.t.Context(), w, r, rt)
}

func streamBody(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString("id: " + string(rune('0'+n)) + "\ndata: " + platformtest.EventData(id, n) + "\n\n")
	}
	return b.String()
}

func always(fault platformtest.Fault) func(platformtest.Request) platformtest.Fault {
	return func(platformtest.Request) platformtest.Fault { return fault }
}

// faultOnFirstRun applies a fault to the first run of each request at any of the
// backends.
func faultOnFirstRun(fault platformtest.Fault, backends ...*platformtest.Backend) {
	for _, b := range backends {
		b.SetFault(func(received platformtest.Request) platformtest.Fault {
			if received.ResumeAfter == "" && totalRuns(received.ID, backends, b) == 0 {
				return fault
			}
			return platformtest.None
		})
	}
}

// totalRuns counts the runs at all backends but self, whose lock the caller holds.
func totalRuns(id string, backends []*platformtest.Backend, self *platformtest.Backend) int {
	n := 0
	for _, b := range backends {
		if b != self {
			n += b.Runs(id)
		}
	}
	return n
}

func TestCallIsAnswered(t *testing.T) {
	b := platformtest.NewBackend(t, "b")
	w, err := newFixture(t, b).serve(request("1", "/call"), route(catalog.Call, nil))
	assert.NilError(t, err)
	assert.Equal(t, w.Body.String(), "answer 1")
	assert.Equal(t, w.Header().Get("Response-Stamp"), "b")
	assert.Assert(t, b.Requests()[0].DeadlineMs != "")
}

func TestRequestThatMayNotBeRepeatedRunsOnce(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{"lost": platformtest.ResetAfterRun, "cut": platformtest.CutMidEvent, "failed": platformtest.Fail} {
		t.Run(name, func(t *testing.T) {
			a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
			a.SetFault(always(fault))
			b.SetFault(always(fault))
			w, err := newFixture(t, a, b).serve(request("1", "/stream"), route(catalog.Stream, nil))
			assert.Equal(t, a.Runs("1")+b.Runs("1"), 1)
			if fault == platformtest.Fail {
				assert.NilError(t, err)
				assert.Equal(t, w.Code, http.StatusInternalServerError)
				return
			}
			if fault == platformtest.CutMidEvent {
				assert.Assert(t, errors.Is(err, gateway.ErrAborted), "%v", err)
				return
			}
			assert.Equal(t, errkind.From(err).Response().Outcome, errkind.Unknown)
			assert.Equal(t, errkind.From(err).Response().Status, http.StatusBadGateway)
		})
	}
}

func TestRefusedRequestIsRoutedElsewhere(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.Full, platformtest.Misdirected} {
		a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
		a.SetFault(always(fault))
		f := newFixture(t, a, b)
		for _, id := range []string{"1", "2", "3", "4"} {
			w, err := f.serve(request(id, "/call"), route(catalog.Call, nil))
			assert.NilError(t, err)
			assert.Equal(t, w.Body.String(), "answer "+id)
			assert.Equal(t, a.Runs(id)+b.Runs(id), 1)
		}
	}
}

func TestRefusalByAllBackendsReturnsNotRunPromptly(t *testing.T) {
	a := platformtest.NewBackend(t, "a")
	a.SetFault(always(platformtest.Full))
	begin := time.Now()
	_, err := newFixture(t, a).serve(request("1", "/call"), route(catalog.Call, nil))
	response := errkind.From(err).Response()
	assert.Equal(t, response.Status, http.StatusServiceUnavailable)
	assert.Equal(t, response.Outcome, errkind.NotRun)
	assert.Assert(t, response.RetryAfter > 0)
	assert.Assert(t, time.Since(begin) < 250*time.Millisecond)
	assert.Equal(t, a.Runs("1"), 0)
}

func TestStreamResumesAtAnotherBackend(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	faultOnFirstRun(platformtest.CutMidEvent, a, b)
	w, err := newFixture(t, a, b).serve(request("1", "/stream"), route(catalog.Stream, resumable))
	assert.NilError(t, err)
	assert.Equal(t, w.Body.String(), streamBody("1", 5))
	assert.Equal(t, a.Runs("1")+b.Runs("1"), 2)
	assert.Assert(t, w.Header().Get("Response-Stamp") == "a" || w.Header().Get("Response-Stamp") == "b")
}

func TestIdempotentCallIsRepeatedWithinItsAttempts(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	faultOnFirstRun(platformtest.ResetAfterRun, a, b)
	w, err := newFixture(t, a, b).serve(request("1", "/call"), route(catalog.Call, idempotent))
	assert.NilError(t, err)
	assert.Equal(t, w.Body.String(), "answer 1")

	a.SetFault(always(platformtest.ResetAfterRun))
	b.SetFault(always(platformtest.ResetAfterRun))
	_, err = newFixture(t, a, b).serve(request("2", "/call"), route(catalog.Call, idempotent))
	assert.Equal(t, errkind.From(err).Response().Outcome, errkind.Unknown)
	assert.Assert(t, a.Runs("2")+b.Runs("2") <= 3)
}

func TestIdempotentRequestLeavesSilentBackend(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	faultOnFirstRun(platformtest.Hang, a, b)
	w, err := newFixture(t, a, b).serve(request("1", "/stream"), route(catalog.Stream, resumable))
	assert.NilError(t, err)
	assert.Equal(t, w.Body.String(), streamBody("1", 5))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.Aborted("1") || b.Aborted("1") {
			return poll.Success()
		}
		return poll.Continue("the backend server that sends nothing still runs the request")
	})
}

func TestNonIdempotentRequestWaitsForSilentBackendUntilTimeout(t *testing.T) {
	a := platformtest.NewBackend(t, "a")
	a.SetFault(always(platformtest.Hang))
	rt := route(catalog.Stream, func(r *catalog.Route) { r.Timeout = 900 * time.Millisecond })
	f := newFixture(t, a)
	begin := time.Now()
	_, err := f.serve(request("1", "/stream"), rt)
	assert.Equal(t, errkind.From(err).Response().Status, http.StatusGatewayTimeout)
	took := time.Since(begin)
	assert.Assert(t, took >= 850*time.Millisecond && took < 1200*time.Millisecond, "%s", took)
}

func TestDisconnectedCallerCancelsBackendRequest(t *testing.T) {
	a := platformtest.NewBackend(t, "a")
	a.Events, a.EventInterval = 1000, 5*time.Millisecond
	f := newFixture(t, a)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	err := f.ServeOnline(ctx, httptest.NewRecorder(), request("1", "/stream"), route(catalog.Stream, resumable))
	assert.Assert(t, err != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.Aborted("1") {
			return poll.Success()
		}
		return poll.Continue("the backend server still runs the request")
	})
	assert.Equal(t, a.Runs("1"), 1)
}

func TestUnreachableBackendDoesNotCountAsAttempt(t *testing.T) {
	closed, b := platformtest.NewBackend(t, "gone"), platformtest.NewBackend(t, "b")
	closed.Close()
	f := newFixture(t, closed, b)
	for _, id := range []string{"1", "2", "3", "4"} {
		w, err := f.serve(request(id, "/call"), route(catalog.Call, nil))
		assert.NilError(t, err)
		assert.Equal(t, w.Body.String(), "answer "+id)
	}
}

func TestServiceWithoutBackendsIsRefusedImmediately(t *testing.T) {
	f := newFixture(t, platformtest.NewBackend(t, "b"))
	rt := route(catalog.Call, func(r *catalog.Route) { r.Splits[0].Service = "other" })
	begin := time.Now()
	_, err := f.serve(request("1", "/call"), rt)
	assert.Equal(t, errkind.From(err).Response().Outcome, errkind.NotRun)
	assert.Assert(t, time.Since(begin) < 100*time.Millisecond)
}

func TestStartingProcessDelaysRequests(t *testing.T) {
	begin := time.Now()
	_, err := newFixture(t).serve(request("1", "/call"), route(catalog.Call, nil))
	assert.Equal(t, errkind.From(err).Response().Outcome, errkind.NotRun)
	took := time.Since(begin)
	assert.Assert(t, took >= 900*time.Millisecond && took < 1300*time.Millisecond, "%s", took)

	b := platformtest.NewBackend(t, "b")
	f := newFixture(t)
	time.AfterFunc(200*time.Millisecond, func() {
		f.register(b)
		f.Table.NotifyWaiters()
	})
	w, err := f.serve(request("2", "/call"), route(catalog.Call, nil))
	assert.NilError(t, err)
	assert.Equal(t, w.Body.String(), "answer 2")
}

func TestLoadIsReleasedAfterEachOutcome(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	f := newFixture(t, a, b)
	for i, fault := range []platformtest.Fault{platformtest.None, platformtest.Full, platformtest.ResetAfterRun, platformtest.CutMidEvent, platformtest.Fail} {
		a.SetFault(always(fault))
		b.SetFault(always(fault))
		_, _ = f.serve(request(string(rune('a'+i)), "/stream"), route(catalog.Stream, nil)) // only the load counts here
	}
	assert.Equal(t, len(f.Table.LocalCounts()), 0)
}

// TestSilenceOfNonIdempotentRequestCountsAsFailure sends calls that may not be repeated
// to a backend server that never responds. The calls wait for their deadline, and later
// calls must go to another backend server.
func TestSilenceOfNonIdempotentRequestCountsAsFailure(t *testing.T) {
	silent, other := platformtest.NewBackend(t, "silent"), platformtest.NewBackend(t, "other")
	silent.SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.Hang })
	f := newFixture(t, silent)
	rt := route(catalog.Call, func(r *catalog.Route) { r.Timeout = 1500 * time.Millisecond })
	for _, id := range []string{"first", "second"} {
		_, err := f.serve(request(id, "/call/x"), rt)
		assert.Equal(t, errkind.From(err).Kind, errkind.Timeout)
	}
	f.register(silent, other)
	for range 4 {
		_, err := f.serve(request("later", "/call/x"), rt)
		assert.NilError(t, err)
	}
	assert.Equal(t, silent.Runs("later"), 0)
}

// TestSilenceOfFullBackendIsNotAFailure keeps all slots occupied, so that
// requests without a response are waiting for a slot; they must not count as failures.
func TestSilenceOfFullBackendIsNotAFailure(t *testing.T) {
	full := platformtest.NewBackend(t, "full")
	full.SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.Hang })
	f := newFixture(t, full)
	f.Table = balance.New(balance.Options{Zone: "z", PeerTTL: time.Hour, Seed: 1})
	busy := map[uint32]balance.Counts{balance.Key("full"): {Online: 2}}
	f.Table.SetPeer("peer", balance.PeerReport{Counts: busy}, time.Now())
	rt := route(catalog.Call, func(r *catalog.Route) { r.Timeout = 1200 * time.Millisecond })
	for _, id := range []string{"first", "second"} {
		_, err := f.serve(request(id, "/call/x"), rt)
		assert.Equal(t, errkind.From(err).Kind, errkind.Timeout)
	}
	assert.Equal(t, len(f.Table.Failures(time.Now())), 0)
}

// TestRefusalOfAnotherRequestIsNotBelieved covers late refusals on reused connections: the
// request that they seem to refuse runs, and must neither run again nor be refused.
func TestRefusalOfAnotherRequestIsNotBelieved(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{"without id": platformtest.LateRefusal, "repeated": platformtest.RefuseTwice} {
		t.Run(name, func(t *testing.T) {
			a := platformtest.NewBackend(t, "a")
			seen := make(map[string]int)
			a.SetFault(func(r platformtest.Request) platformtest.Fault {
				if seen[r.ID]++; fault == platformtest.RefuseTwice && seen[r.ID] > 1 {
					return platformtest.None
				}
				return fault
			})
			f := newFixture(t, a)
			for _, id := range []string{"1", "2", "3", "4"} {
				w, err := f.serve(request(id, "/call"), route(catalog.Call, nil))
				assert.NilError(t, err)
				assert.Equal(t, w.Body.String(), "answer "+id)
				assert.Equal(t, a.Runs(id), 1)
			}
		})
	}
}
