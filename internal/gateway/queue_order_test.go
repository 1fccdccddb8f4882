package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/gateway"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/serving"
)

// crowdedFixture is a gateway with one backend server that takes 4 requests at once, two of
// which wait at its engine, and each of which takes duration.
func crowdedFixture(t *testing.T, duration time.Duration) (*fixture, *platformtest.Backend) {
	b := platformtest.NewBackend(t, "b")
	b.CallDuration = duration
	f := newFixture(t, b)
	workspaces := []catalog.Workspace{{Name: "urgent", HasPriority: true, Priority: 0}, {Name: "other"}}
	f.Configs = discovery.NewConfigView("config", func([]byte) (*catalog.Config, error) {
		return catalog.NewConfig(1, nil, nil, catalog.Limits{}, workspaces...), nil
	}, func(_, _ *catalog.Config) {}, func(int64, error) {})
	f.Configs.Apply([]keyedlog.Record{{Key: "config", Value: []byte("x")}})
	return f, b
}

// waitFor waits until n requests wait for service s at the gateway.
func (f *fixture) waitFor(n int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if got := f.Waiting()[balance.Key("s")].All; got != n {
			return poll.Continue("%d requests wait, want %d", got, n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// TestUrgentWorkspaceGoesBeforeThoseWhoWait makes requests of a route of a low rank wait, and
// then one of a workspace whose rank is higher.
func TestUrgentWorkspaceGoesBeforeThoseWhoWait(t *testing.T) {
	f, b := crowdedFixture(t, 10*time.Millisecond)
	low := route(catalog.Call, func(r *catalog.Route) { r.Priority = 2 })
	var wg sync.WaitGroup
	send := func(id, workspace string) {
		r := request(id, "/call")
		r.Identity = serving.Identity{Checked: true, Workspace: workspace}
		wg.Go(func() {
			_, err := f.serve(r, low)
			assert.Check(t, err)
		})
	}
	for range 4 {
		_, ok := f.Table.Pick(f.Backends.OfService("s"), balance.Requirements{}, time.Now())
		assert.Assert(t, ok)
	}
	for i := range 3 {
		send(fmt.Sprint("other", i), "other")
	}
	f.waitFor(3)
	send("urgent", "urgent")
	f.waitFor(4)
	f.Table.Release(b.ID, balance.Online)
	wg.Wait()
	position := map[string]int{}
	for i, r := range b.Requests() {
		position[r.ID] = i
	}
	assert.Equal(t, position["urgent"], 0, "%v", position)
	f.waitFor(0)
}

// TestRefusalsAreCountedByReason fills a backend server for longer than requests wait.
func TestRefusalsAreCountedByReason(t *testing.T) {
	f, _ := crowdedFixture(t, 1500*time.Millisecond)
	set := metrics.NewSet()
	f.Metrics = gateway.NewMetrics(set)
	var wg sync.WaitGroup
	errs := make([]error, 6)
	for i := range errs {
		r := request(fmt.Sprint(i), "/call")
		wg.Go(func() { _, errs[i] = f.serve(r, route(catalog.Call, nil)) })
	}
	wg.Wait()
	refused := 0
	for _, err := range errs {
		if errkind.Is(err, errkind.Overloaded) {
			refused++
		}
	}
	assert.Equal(t, refused, 2)
	assert.Equal(t, set.GetOrCreateCounter(`catkinrudder_gateway_refusals_total{reason="after_wait"}`).Get(), uint64(2))
	assert.Equal(t, set.GetOrCreateGauge(`catkinrudder_gateway_waiting_requests{service="s"}`, nil).Get(), 0.0)
}
