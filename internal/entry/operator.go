package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/ops"
	"github.com/catkinrudder/catkinrudder/internal/opsapi"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/settings"
)

// drainTimeout limits a drain request that is forwarded to a sidecar.
const drainTimeout = 5 * time.Second

// metricSet holds the entry's metrics.
type metricSet struct {
	set            *metrics.Set
	requestSeconds *metrics.Histogram
}

func newMetricSet() *metricSet {
	set := metrics.NewSet()
	return &metricSet{set: set, requestSeconds: set.NewHistogram("catkinrudder_entry_request_duration_seconds")}
}

func (m *metricSet) refused(k errkind.Kind) *metrics.Counter {
	return m.set.GetOrCreateCounter(`catkinrudder_entry_requests_refused_total{kind="` + string(k) + `"}`)
}

// operatorRoutes registers the endpoints of the operator listener.
func (e *Server) operatorRoutes(h *server.Hertz) {
	ops.Health(h, e.ready)
	ops.Metrics(h, e.metrics.set)
	h.GET("/operator/status", e.status)
	h.GET("/operator/backends", e.backends)
	h.GET("/operator/jobs", e.jobs)
	h.POST("/operator/drain", e.drainInstance)
}

func (e *Server) status(_ context.Context, c *app.RequestContext) {
	out := opsapi.ProcessList{Processes: []opsapi.Process{{
		Instance:      e.settings.Instance,
		Role:          string(settings.RoleEntry),
		Region:        e.settings.Region,
		Zone:          e.settings.Zone,
		Incarnation:   e.incarnation,
		ConfigVersion: e.configVersion(),
		Draining:      e.draining.Load(),
	}}}
	for _, m := range e.fleet.snapshot() {
		if m.instance.Name == e.settings.Instance {
			continue
		}
		out.Processes = append(out.Processes, m.status())
	}
	slices.SortFunc(out.Processes, func(a, b opsapi.Process) int { return cmp.Compare(a.Instance, b.Instance) })
	e.writeJSON(c, out)
}

func (m member) status() opsapi.Process {
	p := opsapi.Process{
		Instance:      m.instance.Name,
		Role:          m.instance.Role,
		Region:        m.instance.Region,
		Zone:          m.instance.Zone,
		Incarnation:   m.incarnation,
		ConfigVersion: m.version,
		Draining:      m.draining || m.leaving,
	}
	if m.missed >= maxMissedReports {
		p.Error = "no report"
	}
	return p
}

func (e *Server) backends(_ context.Context, c *app.RequestContext) {
	e.writeJSON(c, opsapi.BackendList{Backends: e.fleet.backendStatus()})
}

func (f *fleet) backendStatus() []opsapi.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []opsapi.Backend{}
	for _, b := range f.table.Backends() {
		l, _ := f.table.LoadOf(b.Instance)
		out = append(out, opsapi.Backend{
			Instance: b.Instance, Service: b.Service, Region: b.Region, Zone: b.Zone, Incarnation: b.Incarnation,
			RunningOnline: l.RunningOnline, RunningBatch: l.RunningBatch,
			QueuedOnline: l.QueuedOnline, QueuedBatch: l.QueuedBatch,
			Slots: l.Slots, BatchRoom: l.BatchRoom, StepUS: l.StepTime.Microseconds(), Leaving: l.Draining,
			Ejected: f.table.Ejected(f.now(), b.Instance),
		})
	}
	return out
}

// drainInstance drains this entry, or forwards the drain request to a sidecar.
func (e *Server) drainInstance(ctx context.Context, c *app.RequestContext) {
	name := c.Query("instance")
	if name == "" || name == e.settings.Instance {
		select {
		case e.drainRequests <- struct{}{}:
		default:
		}
		e.writeJSON(c, opsapi.DrainResult{Instance: e.settings.Instance, InProgress: int(e.inProgress.Load())})
		return
	}
	addr, ok := e.fleet.sidecarAddr(name)
	if !ok {
		e.writeError(c, errkind.New(errkind.NotFound, "no sidecar runs on instance %q", name).WithParam("instance"))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	resp, err := e.clients.Control(addr).Drain(ctx, connect.NewRequest(&peerv1.DrainRequest{}))
	if err != nil {
		e.writeError(c, errkind.Wrap(err, errkind.NoBackend, "instance %s does not answer", name))
		return
	}
	e.writeJSON(c, opsapi.DrainResult{Instance: name, InProgress: int(resp.Msg.InProgress)})
}

func (f *fleet) sidecarAddr(name string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[name]
	if !ok || m.instance.Role != string(settings.RoleSidecar) {
		return "", false
	}
	return m.instance.PeerAddr, true
}
