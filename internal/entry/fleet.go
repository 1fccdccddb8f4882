package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/dgryski/go-rendezvous"
	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/logservice"
	"github.com/catkinrudder/catkinrudder/internal/peer"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/placement"
	"github.com/catkinrudder/catkinrudder/routing"
	"github.com/catkinrudder/catkinrudder/settings"
)

const (
	pollInterval  = 500 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// maxParallelReports limits the reports that one poll requests in parallel.
	maxParallelReports = 32
	// maxMissedReports is how many consecutive reports an entry or a sidecar may
	// miss before it counts as unavailable.
	maxMissedReports = 4
)

// member holds what this entry has recorded about one instance.
type member struct {
	instance logservice.Instance
	// incarnation is empty if no report has arrived or the last one was discarded.
	incarnation string
	// version is the configuration version in the last report.
	version uint64
	// missed counts the consecutive failed requests for a report.
	missed int
	// leaving is set if the platform or the sidecar reports that the instance is
	// leaving, draining if an entry reports that it is draining.
	leaving  bool
	draining bool
	// running is what the backend server runs, nil if it does not accept orders;
	// fence is the fence of the newest order that its sidecar has received.
	running *peerv1.Spec
	fence   uint64
	loading bool
	// jobs holds the ids of the batch jobs whose attempts the sidecar held at its
	// last report.
	jobs map[string]bool
}

// fleet holds the tables of instances. mu guards the fields below it.
type fleet struct {
	settings  settings.Settings
	clients   *peer.Clients
	logger    *log.Logger
	config    *desired.Table
	link      *link
	orders    *placement.Table
	instances *logservice.InstancesClient
	epoch     time.Time
	pollNow   chan struct{}

	mu      sync.Mutex
	members map[string]*member
	table   *routing.Table
	// targets are the instances that are polled, a subset of them in each round.
	targets []string
	round   int
	// hash and live cache the live entries; they are nil after a possible change.
	hash *rendezvous.Rendezvous
	live []string
}

func newFleet(s settings.Settings, clients *peer.Clients, logger *log.Logger, config *desired.Table, orders *placement.Table, link *link) *fleet {
	return &fleet{
		settings:  s,
		clients:   clients,
		logger:    logger,
		config:    config,
		link:      link,
		orders:    orders,
		instances: logservice.NewInstances(s.Platform.Instances),
		epoch:     time.Now(),
		pollNow:   make(chan struct{}, 1),
		members:   make(map[string]*member),
		table:     routing.New(s.Region, s.Zone, xxhash.Sum64String(s.Instance)),
	}
}

func (f *fleet) now() time.Duration { return time.Since(f.epoch) }

// run polls the platform's instance list and the listed instances until ctx is done.
func (f *fleet) run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		f.poll(ctx)
		select {
		case <-t.C:
		case <-f.pollNow:
		case <-ctx.Done():
			return
		}
	}
}

// configChanged triggers the next poll at once, unless a single poll reaches
// only a subset of the instances.
func (f *fleet) configChanged() {
	f.mu.Lock()
	rounds := pollRounds(len(f.targets))
	f.mu.Unlock()
	if rounds > 1 {
		return
	}
	select {
	case f.pollNow <- struct{}{}:
	default:
	}
}

func (f *fleet) poll(ctx context.Context) {
	if f.listDue() {
		if rows, err := f.instances.List(ctx); err == nil {
			f.sync(rows)
		}
	}
	var g errgroup.Group
	g.SetLimit(maxParallelReports)
	for _, m := range f.nextTargets() {
		switch settings.Role(m.instance.Role) {
		case settings.RoleSidecar:
			g.Go(func() error { f.pollSidecar(ctx, m); return nil })
		case settings.RoleEntry:
			g.Go(func() error { f.pollEntry(ctx, m); return nil })
		}
	}
	_ = g.Wait()
}

// sync applies the platform's instance list.
func (f *fleet) sync(rows []logservice.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[string]bool, len(rows))
	for _, row := range rows {
		seen[row.Name] = true
		m, ok := f.members[row.Name]
		if !ok || m.instance.PeerAddr != row.PeerAddr {
			m = &member{}
			f.members[row.Name] = m
		}
		m.instance = row
		if row.State == logservice.Leaving {
			f.markLeaving(m)
		}
	}
	for name := range f.members {
		if !seen[name] {
			f.remove(name)
		}
	}
	f.invalidateEntries()
	f.setTargets(f.selectTargets(rows))
}

// remove removes an instance; the caller holds mu.
func (f *fleet) remove(name string) {
	delete(f.members, name)
	f.table.Remove(name)
	event.Log(f.logger, event.BackendGone, "backend", name)
}

// markLeaving stops new attempts at an instance; the caller holds mu.
func (f *fleet) markLeaving(m *member) {
	if !m.leaving {
		event.Log(f.logger, event.BackendLeaving, "backend", m.instance.Name)
	}
	m.leaving = true
	f.invalidateEntries()
	f.table.Remove(m.instance.Name)
}

func (f *fleet) snapshot() []member {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]member, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, *m)
	}
	return out
}

// pollSidecar requests one sidecar's report and sends it a newer policy if there
// is one.
func (f *fleet) pollSidecar(ctx context.Context, m member) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req := connect.NewRequest(&peerv1.ReportRequest{Policy: f.policyFor(m), Order: f.orderFor(m)})
	resp, err := f.clients.Control(m.instance.PeerAddr).Report(ctx, req)
	if err == nil {
		f.link.control(m.instance.Region, req.Msg, resp.Msg)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	cur, ok := f.members[m.instance.Name]
	if !ok {
		return
	}
	if err != nil {
		f.recordMissedReport(cur)
		return
	}
	f.applyReport(cur, resp.Msg)
}

// recordMissedReport counts a failed request for a report; the caller holds mu.
func (f *fleet) recordMissedReport(m *member) {
	m.missed++
	if m.missed != maxMissedReports {
		return
	}
	m.incarnation = ""
	f.table.Remove(m.instance.Name)
	event.Log(f.logger, event.BackendGone, "backend", m.instance.Name)
}

// applyReport applies a sidecar's report; the caller holds mu.
func (f *fleet) applyReport(m *member, r *peerv1.ReportResponse) {
	m.missed = 0
	m.version = r.Load.ConfigVersion
	if m.incarnation != r.Incarnation {
		m.incarnation = r.Incarnation
		m.leaving = m.instance.State == logservice.Leaving
		event.Log(f.logger, event.BackendSeen, "backend", r.Instance, "incarnation", r.Incarnation, "service", r.Service)
	}
	if r.Load.Leaving {
		f.markLeaving(m)
	}
	m.running, m.fence, m.loading = r.Running, r.Fence, r.Loading
	m.jobs = make(map[string]bool, len(r.Held))
	for _, h := range r.Held {
		m.jobs[h.Job] = true
	}
	if m.leaving {
		return
	}
	if m.loading {
		f.table.Remove(m.instance.Name)
		return
	}
	f.table.Upsert(routing.Backend{
		Instance:    m.instance.Name,
		Addr:        m.instance.PeerAddr,
		Incarnation: r.Incarnation,
		Service:     r.Service,
		Region:      r.Region,
		Zone:        r.Zone,
		Models:      modelsOf(r),
	})
	f.table.Observe(f.now(), m.instance.Name, toLoad(r.Load))
}

func toLoad(l *peerv1.Load) routing.Load {
	return routing.Load{
		RunningOnline: int(l.RunningOnline),
		RunningBatch:  int(l.RunningBatch),
		QueuedOnline:  int(l.QueuedOnline),
		QueuedBatch:   int(l.QueuedBatch),
		Slots:         int(l.Slots),
		BatchRoom:     int(l.BatchRoom),
		StepTime:      time.Duration(l.StepUs) * time.Microsecond,
		Draining:      l.Leaving,
	}
}

// policyFor returns the policy for a sidecar that has an older one, otherwise nil.
func (f *fleet) policyFor(m member) *peerv1.Policy {
	v, ok := f.config.InForce()
	if !ok || v.Number <= m.version {
		return nil
	}
	svc, ok := v.Document.Service(m.instance.Service)
	if !ok {
		return nil
	}
	raw, err := toml.Marshal(svc)
	if err != nil {
		return nil
	}
	return &peerv1.Policy{Version: v.Number, Service: raw, ChecksFencing: svc.ChecksFencing}
}

func (f *fleet) pollEntry(ctx context.Context, m member) {
	if m.instance.Name == f.settings.Instance {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := f.clients.Entry(m.instance.PeerAddr).Status(ctx, connect.NewRequest(&peerv1.StatusRequest{}))
	f.mu.Lock()
	defer f.mu.Unlock()
	cur, ok := f.members[m.instance.Name]
	if !ok {
		return
	}
	if err != nil {
		cur.missed++
		f.invalidateEntries()
		return
	}
	if cur.missed > 0 || cur.draining != resp.Msg.Draining {
		f.invalidateEntries()
	}
	cur.missed = 0
	cur.incarnation = resp.Msg.Incarnation
	cur.version = resp.Msg.ConfigVersion
	cur.draining = resp.Msg.Draining
}

// pick selects a backend server for one attempt.
func (f *fleet) pick(q routing.Request) (routing.Decision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Pick(f.now(), q)
}

// observe records the load that an instance reported with a response.
func (f *fleet) observe(instance string, l *peerv1.Load) {
	if l == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[instance]; ok && l.Leaving {
		f.markLeaving(m)
		return
	}
	f.table.Observe(f.now(), instance, toLoad(l))
}

// recordResult records the result of an attempt.
func (f *fleet) recordResult(instance string, r routing.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.RecordResult(f.now(), instance, r) {
		event.Log(f.logger, event.BackendEjected, "backend", instance)
	}
}

// freeBatchSlots returns how many more batch attempts of a service would start at once.
func (f *fleet) freeBatchSlots(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.BatchRoom(f.now(), service)
}
