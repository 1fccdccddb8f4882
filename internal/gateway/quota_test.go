package gateway_test

import (
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/gateway"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/quota"
)

// alone is the view of a gateway without others.
type alone struct{ quota.Peers }

func (alone) QuotaView(string) quota.View {
	return quota.View{Owner: "g", Self: true, Gateways: 1, Share: 1, Wide: true}
}

// withQuota gives the gateway a workspace that may send two requests now and one a minute.
func (f *fixture) withQuota() {
	config := catalog.NewConfig(1, nil, nil, catalog.Limits{}, catalog.Workspace{Name: "w", RequestsPerSecond: 1.0 / 60, Burst: 2})
	f.Configs = discovery.NewConfigView("c", func([]byte) (*catalog.Config, error) { return config, nil }, func(_, _ *catalog.Config) {}, func(int64, error) {})
	f.Configs.Apply([]keyedlog.Record{{Key: "c", Value: []byte{1}}})
	f.Quotas = quota.NewLimiter(quota.Options{
		StartedAt: time.Now().Add(-time.Hour), Peers: func() quota.Peers { return alone{} }, Observer: f.Metrics, Logger: log.New(io.Discard),
		Configured: func(w string) (quota.Limit, int64, bool) { return gateway.QuotaOf(config, w) },
	})
	f.Metrics.SetWorkspaces(config)
}

func (f *fixture) serveWorkspace(id, path string) error {
	r := request(id, path)
	r.Identity.Workspace = "w"
	_, err := f.serve(r, route(catalog.Call, nil))
	return err
}

func TestRequestBeyondTheQuotaIsRefusedAtOnce(t *testing.T) {
	b := platformtest.NewBackend(t, "a")
	f := newFixture(t, b)
	f.withQuota()
	assert.NilError(t, f.serveWorkspace("one", "/call/x"))
	assert.NilError(t, f.serveWorkspace("two", "/call/x"))
	err := f.serveWorkspace("three", "/call/x")
	assert.Assert(t, errkind.Is(err, errkind.RateLimited), "%v", err)
	response := errkind.From(err).Response()
	assert.Equal(t, response.Outcome, errkind.NotRun)
	assert.Assert(t, response.RetryAfter > 50*time.Second && response.RetryAfter <= time.Minute, "%v", response.RetryAfter)
	assert.Equal(t, len(b.Requests()), 2)
}

// TestRefusedRequestKeepsItsPermit has no backend server at first.
func TestRefusedRequestKeepsItsPermit(t *testing.T) {
	f := newFixture(t)
	f.withQuota()
	for range 5 {
		r := request("none", "/call/x")
		r.Identity.Workspace = "w"
		r.ReceivedAt = r.ReceivedAt.Add(-time.Second) // the time of a start is over
		_, err := f.serve(r, route(catalog.Call, nil))
		assert.Assert(t, errkind.Is(err, errkind.NoBackend), "%v", err)
	}
	f.register(platformtest.NewBackend(t, "a"))
	assert.NilError(t, f.serveWorkspace("one", "/call/x"))
}

func TestQuotaSeriesEndWithTheirWorkspace(t *testing.T) {
	set := metrics.NewSet()
	f := newFixture(t, platformtest.NewBackend(t, "a"))
	f.Metrics = gateway.NewMetrics(set)
	f.withQuota()
	series := func() (n int) {
		for _, name := range set.ListMetricNames() {
			if name == `catkinrudder_gateway_quota_refusals_total{workspace="w"}` {
				n++
			}
		}
		return n
	}
	for _, id := range []string{"one", "two", "three"} {
		_ = f.serveWorkspace(id, "/call/x")
	}
	assert.Equal(t, series(), 1)
	f.Metrics.SetWorkspaces(catalog.NewConfig(2, nil, nil, catalog.Limits{}))
	_ = f.serveWorkspace("four", "/call/x")
	assert.Equal(t, series(), 0)
}
