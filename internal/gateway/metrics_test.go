package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/internal/gateway"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/serving"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// TestBackendSeriesAreBounded adds and removes backend servers: an attempt
// that ends after the removal must not create a series again.
func TestBackendSeriesAreBounded(t *testing.T) {
	set := metrics.NewSet()
	m := gateway.NewMetrics(set)
	for i := range 100 {
		id := "i-" + strings.Repeat("x", i)
		m.AddBackend(id)
		m.AttemptEnded(id, upstream.Complete)
		m.AttemptEnded(id, upstream.Failed)
		m.RemoveBackend(id)
		m.AttemptEnded(id, upstream.Interrupted)
	}
	assert.Equal(t, len(set.ListMetricNames()), 0)
	m.AddBackend("i-1")
	m.AttemptEnded("i-1", upstream.NotRun)
	assert.DeepEqual(t, set.ListMetricNames(), []string{`catkinrudder_gateway_backend_attempts_total{backend="i-1",outcome="not_run"}`})
}

// TestZoneSeriesAreBounded counts bytes of attempts in zones that the settings do not name.
func TestZoneSeriesAreBounded(t *testing.T) {
	set := metrics.NewSet()
	m := gateway.NewMetrics(set)
	m.SetZones("a", map[string]string{"a": "r", "b": "r"})
	m.Transferred("b", string(balance.ZoneFuller), 10)
	m.Transferred("b", "", 5)
	for i := range 20 {
		m.Transferred(strings.Repeat("x", i), string(balance.Home), 1)
	}
	assert.DeepEqual(t, set.ListMetricNames(), []string{
		`catkinrudder_gateway_zone_bytes_total{from="a",to="b",reason="item"}`,
		`catkinrudder_gateway_zone_bytes_total{from="a",to="b",reason="own_zone_fuller"}`,
		`catkinrudder_gateway_zone_bytes_total{from="a",to="unknown",reason="own_zone"}`,
	})
	assert.Equal(t, set.GetOrCreateCounter(`catkinrudder_gateway_zone_bytes_total{from="a",to="unknown",reason="own_zone"}`).Get(), uint64(20))
}

// TestWorkspaceSeriesAreBounded counts refusals of workspaces that come and go.
func TestWorkspaceSeriesAreBounded(t *testing.T) {
	b := platformtest.NewBackend(t, "a")
	f := newFixture(t, b)
	set := metrics.NewSet()
	f.Metrics = gateway.NewMetrics(set)
	refuse := func(workspace string) {
		r := request("one", "/call/x")
		r.Identity = serving.Identity{Checked: true, Workspace: workspace}
		_, err := f.serve(r, route(catalog.Call, func(r *catalog.Route) { r.Splits = []catalog.Split{{Service: "none", Weight: 1}} }))
		assert.Assert(t, err != nil)
	}
	refuse("unconfigured")
	series := func() (n int) {
		for _, name := range set.ListMetricNames() {
			if strings.HasPrefix(name, "catkinrudder_gateway_workspace_refusals_total") {
				n++
			}
		}
		return n
	}
	assert.Equal(t, series(), 0)
	for generation := range 3 {
		var workspaces []catalog.Workspace
		for i := range 300 {
			workspaces = append(workspaces, catalog.Workspace{Name: fmt.Sprint(generation, `"`, i)})
		}
		f.Metrics.SetWorkspaces(catalog.NewConfig(1, nil, nil, catalog.Limits{}, workspaces...))
		for _, w := range workspaces {
			refuse(w.Name)
		}
		refuse("")
		assert.Equal(t, series(), 256+2)
	}
	f.Metrics.SetWorkspaces(catalog.NewConfig(1, nil, nil, catalog.Limits{}))
	assert.Equal(t, series(), 2)
}

func TestRequestsAreCountedByOutcome(t *testing.T) {
	b := platformtest.NewBackend(t, "a")
	f := newFixture(t, b)
	set := metrics.NewSet()
	f.Metrics = gateway.NewMetrics(set)
	_, err := f.serve(request("one", "/call/x"), route(catalog.Call, nil))
	assert.NilError(t, err)
	b.Close()
	f.Pool.CloseIdle(b.Address)
	_, err = f.serve(request("two", "/call/x"), route(catalog.Call, nil))
	assert.Assert(t, err != nil)
	for outcome, want := range map[string]uint64{"answered": 1, "not_run": 1, "failed": 0, "aborted": 0} {
		name := `catkinrudder_gateway_requests_total{route_kind="call",outcome="` + outcome + `"}`
		assert.Equal(t, set.GetOrCreateCounter(name).Get(), want, outcome)
	}
}

// TestTextFromOutsideMakesValidSeries guards against an id, a service or a workspace that ends the process:
// the library panics on a name that it can't read.
func TestTextFromOutsideMakesValidSeries(t *testing.T) {
	for _, text := range []string{`i-5"2e`, `i-5\`, `i-5\"`, "i-5\n2e", `"} 1`, `a="b",`, "\xff\x00", "i-é", ""} {
		set := metrics.NewSet()
		m := gateway.NewMetrics(set)
		m.AddBackend(text)
		m.AttemptEnded(text, upstream.Complete)
		assert.Equal(t, len(set.ListMetricNames()), 1, "%q", text)
		m.RemoveBackend(text)
		assert.Equal(t, len(set.ListMetricNames()), 0, "%q", text)
		m.SetZones(text, map[string]string{text: "r"})
		m.Transferred(text, "", 1)
		m.SetWorkspaces(catalog.NewConfig(1, nil, nil, catalog.Limits{}, catalog.Workspace{Name: text}))
		m.SetWorkspaces(catalog.NewConfig(2, nil, nil, catalog.Limits{}))
		for _, name := range set.ListMetricNames() {
			assert.NilError(t, metrics.ValidateMetric(name), "%q", text)
		}
	}
}

// TestRemovalOfOneBackendKeepsTheSeriesOfOthers guards against ids that contain the label of another.
func TestRemovalOfOneBackendKeepsTheSeriesOfOthers(t *testing.T) {
	set := metrics.NewSet()
	m := gateway.NewMetrics(set)
	for _, id := range []string{"i-1", `x{backend="i-1`, `,backend="i-1"`, "i-12"} {
		m.AddBackend(id)
		m.AttemptEnded(id, upstream.Complete)
	}
	m.RemoveBackend("i-1")
	assert.Equal(t, len(set.ListMetricNames()), 3)
}

// TestGaugesOfOpenItemsCoverEveryReason exports the gauges of a process that has seen nothing yet.
func TestGaugesOfOpenItemsCoverEveryReason(t *testing.T) {
	set := metrics.NewSet()
	gateway.NewMetrics(set).ObserveWork(func() jobs.Work { return jobs.Work{Runs: 2, OldestEvent: time.Now().Add(-time.Hour), OwnedShards: 3} })
	var out strings.Builder
	set.WritePrometheus(&out)
	for _, reason := range jobs.WaitReasons() {
		for _, name := range []string{"catkinrudder_gateway_items_waiting", "catkinrudder_gateway_items_waiting_oldest_seconds"} {
			line := fmt.Sprintf("%s{reason=%q} 0\n", name, reason)
			assert.Assert(t, strings.Contains(out.String(), line), "%s is missing in\n%s", line, &out)
		}
	}
	for _, line := range []string{"catkinrudder_gateway_item_runs 2\n", "catkinrudder_gateway_item_runs_silent_seconds 3600",
		"catkinrudder_gateway_shards{phase=\"owned\"} 3\n", "catkinrudder_gateway_shards{phase=\"claimed\"} 0\n"} {
		assert.Assert(t, strings.Contains(out.String(), line), "%s is missing in\n%s", line, &out)
	}
}
