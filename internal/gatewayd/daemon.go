// Package gatewayd assembles the gateway process for the platform: it reads the
// settings, follows the store, serves callers and shuts down gracefully.
package gatewayd

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/gateway"
	"github.com/catkinrudder/catkinrudder/internal/intake"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/origins"
	"github.com/catkinrudder/catkinrudder/peering"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/quarantine"
	"github.com/catkinrudder/catkinrudder/quota"
	"github.com/catkinrudder/catkinrudder/ratelimit"
	"github.com/catkinrudder/catkinrudder/serving"
	"github.com/catkinrudder/catkinrudder/upstream"
	"github.com/catkinrudder/catkinrudder/waiting"
)

const (
	// memoryLimitFraction is the fraction of the process's memory limit that is set as
	// the soft memory limit of the garbage collector.
	memoryLimitFraction = 0.6
	// gcPercent is the heap growth between two collections. The heap is small, and
	// memory costs more than the processor time that a higher value would save.
	gcPercent = 40
	// dialTimeout bounds the time to connect to a backend server.
	dialTimeout = 400 * time.Millisecond
	// expireInterval is the time between two scans for lapsed registrations and
	// idle connections.
	expireInterval = 200 * time.Millisecond
	// The read intervals of the followers: changes of the configuration and of the
	// backend servers are needed soon, the directory of gateways rarely changes.
	followMaxWait        = 1200 * time.Millisecond
	configMinInterval    = 20 * time.Millisecond
	backendMinInterval   = 200 * time.Millisecond
	directoryMaxWait     = 3 * time.Second
	partMaxWait          = 5 * time.Second
	softwareMaxWait      = 10 * time.Second
	directoryMinInterval = 100 * time.Millisecond
	followRetryDelay     = 150 * time.Millisecond

	// ordinaryLinesPerSecond is the budget of ordinary log lines per second.
	ordinaryLinesPerSecond = 400

	jobTopic       = "jobs"
	contentTopic   = "contents"
	resultTopic    = "results"
	directoryTopic = "gateways"
	// softwareTopic holds the software that has been in service lately.
	softwareTopic = "software"
	// partTopic holds the prompt parts that are held.
	partTopic = "held-parts"
)

// Daemon is one gateway process.
type Daemon struct {
	settings    platform.Settings
	log         *log.Logger
	sink        *event.Sink
	lineLimiter *event.LineLimiter
	metrics     *metrics.Set

	store    *platform.Store
	gateway  *gateway.Gateway
	backends *discovery.Backends
	software *discovery.SoftwareHistory
	// intake bounds what is kept of the responses of backend servers in progress, outputs what is kept of the
	// outputs of items.
	intake  *intake.Budget
	outputs *intake.Budget
	pool    *upstream.Pool
	jobs    *jobs.Service
	peering *peering.Peering
	origins *origins.Table
	guard   *quarantine.Guard
	limits  *ratelimit.Limiter
	quotas  *quota.Limiter
	// relay serves the registrations of backend servers to other gateways.
	relay     *keyedlog.Relay
	followers []*keyedlog.Follower
	// registrations follows the registrations of backend servers.
	registrations *keyedlog.Follower
	draining      chan struct{}
	// hup receives SIGHUP from the start, because an unhandled SIGHUP would
	// terminate the process.
	hup chan os.Signal
}

// New returns a daemon that does nothing until Run is called. logger writes to sink.
func New(s platform.Settings, logger *log.Logger, sink *event.Sink) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: logger, sink: sink, lineLimiter: event.NewLineLimiter(ordinaryLinesPerSecond),
		metrics: metrics.NewSet(), origins: origins.NewTable(), draining: make(chan struct{}), hup: make(chan os.Signal, 1),
	}
	event.SetLineLimiter(d.lineLimiter)
	signal.Notify(d.hup, syscall.SIGHUP)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryLimitFraction))
		debug.SetGCPercent(gcPercent)
	}
	conn, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", s.IP, s.FirstPort))
	if err != nil {
		return nil, errors.Wrap(err, "listen on the peer address")
	}
	d.store = platform.NewStore(s.Store.Address)
	gatewayMetrics := gateway.NewMetrics(d.metrics)
	gatewayMetrics.SetZones(s.Zone, s.RegionOf)
	d.store.OnCall = func(call string, o platform.CallOutcome, took time.Duration) {
		gatewayMetrics.StoreCalled(call, string(o), took)
	}
	d.intake = intake.NewBudget(intake.LargestFirst, s.MemoryBytes, func() { gatewayMetrics.ResponseDropped(gateway.KeptResponses) })
	d.outputs = intake.NewBudget(intake.NewestFirst, s.MemoryBytes, func() { gatewayMetrics.ResponseDropped(gateway.KeptOutputs) })
	gatewayMetrics.ObserveKept(gateway.KeptResponses, d.intake.Kept)
	gatewayMetrics.ObserveKept(gateway.KeptOutputs, d.outputs.Kept)
	d.pool = upstream.NewPool(upstream.Options{
		Codec: platform.Codec{}, Memory: d.intake, DialTimeout: dialTimeout, OnConnect: gatewayMetrics.ConnectionOpened, OnAttemptEnd: gatewayMetrics.AttemptEnded,
		Admit:      func(ctx context.Context, a serving.Attempt) error { return d.limits.Admit(ctx, a.BackendID, a.Batch) },
		OnResponse: d.responseReceived,
		OnTransfer: func(a serving.Attempt, bytes int64) {
			gatewayMetrics.Transferred(d.backends.Zone(a.BackendID), a.Crossing, bytes)
		},
	})
	table := balance.New(balance.Options{
		Zone: s.Zone, RegionOf: s.RegionOf, PeerTTL: peering.ReportTTL, Paths: paths(s.Paths), Seed: uint64(time.Now().UnixNano()),
	})
	d.backends = discovery.NewBackends(platform.DecodeBackend, d.backendChanged, time.Now)
	d.software = discovery.NewSoftwareHistory(d.backends, origins.Retention, time.Now)
	configs := discovery.NewConfigView(platform.ConfigKey, platform.DecodeConfig, d.configChanged, d.configRefused)
	d.limits = ratelimit.NewLimiter(d.limitOptions(table))
	d.quotas = quota.NewLimiter(d.quotaOptions(configs, gatewayMetrics))
	d.guard = quarantine.NewGuard(d.guardOptions(configs, table))
	crowd := waiting.NewCrowd(peering.ReportTTL)
	d.peering = peering.New(peering.Options{
		Name: s.Instance, Region: s.Region, Zone: s.Zone, LinkMbps: s.LinkMbps, Capacity: peering.StatedCapacity(s.CPUShare, s.LinkMbps), Table: table, Logger: logger, Conn: conn, Client: upstream.PeerClient(), Origins: d.origins, Evidence: d.guard,
		Limits: d.limits, Quotas: d.quotas, RegionOf: s.RegionOf, ConfigVersion: d.peerConfigVersion,
		Waiting: func() map[uint32]waiting.Count { return d.gateway.Waiting() }, Crowd: crowd,
		Shards: func() []jobs.ShardReport { return d.jobs.Reports() }, StoreAge: d.store.Age,
		StoreRTT: func() time.Duration { return d.jobs.StoreRTT() }, BackendID: d.backendID,
	})
	d.relay = keyedlog.NewRelay(d.backends, platform.ComparableBackend)
	d.jobs = jobs.New(d.jobOptions(configs, table, gatewayMetrics))
	gatewayMetrics.ObserveWork(d.jobs.Work)
	configFollower := d.follow(platform.ConfigTopic, configs, keyedlog.PollConfig{MaxWait: followMaxWait, MinInterval: configMinInterval, RetryDelay: followRetryDelay})
	d.registrations = keyedlog.NewRelayedFollower(d.peering.NewSource(d.store), d.store, keyedlog.Partition{Topic: platform.BackendTopic}, d.relay,
		keyedlog.PollConfig{MaxWait: followMaxWait, MinInterval: backendMinInterval, RetryDelay: followRetryDelay}, d.storeAvailabilityChanged)
	d.followers = []*keyedlog.Follower{
		configFollower,
		d.registrations,
		d.follow(platform.KeyedTopic(directoryTopic), d.peering, keyedlog.PollConfig{MaxWait: directoryMaxWait, MinInterval: directoryMinInterval, RetryDelay: followRetryDelay}),
		d.follow(platform.KeyedTopic(softwareTopic), d.software, keyedlog.PollConfig{MaxWait: softwareMaxWait, MinInterval: directoryMinInterval, RetryDelay: followRetryDelay}),
		d.follow(platform.KeyedTopic(partTopic), d.guard, keyedlog.PollConfig{MaxWait: partMaxWait, MinInterval: directoryMinInterval, RetryDelay: followRetryDelay}),
	}
	d.gateway = &gateway.Gateway{
		Configs: configs, Backends: d.backends, Software: d.software, Table: table, Pool: d.pool, Jobs: d.jobs,
		Log: logger, Metrics: gatewayMetrics, Draining: d.draining, Shutdown: gateway.NewShutdown(),
		StoreAge: d.store.Age, RegistrationAge: d.registrations.ConfirmedAge, ConfirmRegistrations: d.registrations.Confirm, Origins: d.peering, Quarantine: d.guard, Crowd: crowd, Quotas: d.quotas,
		Revocation: revocation(s, configFollower),
	}
	return d, nil
}

func (d *Daemon) follow(topic string, view keyedlog.View, poll keyedlog.PollConfig) *keyedlog.Follower {
	return keyedlog.NewFollower(d.store, keyedlog.Partition{Topic: topic}, view, poll, d.storeAvailabilityChanged)
}

// Run serves until ctx ends and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var wg sync.WaitGroup
	for _, f := range d.followers {
		wg.Go(func() { f.Run(work) })
	}
	wg.Go(func() { d.jobs.Run(work) })
	wg.Go(func() { d.peering.Run(work) })
	wg.Go(func() { d.limits.Run(work) })
	wg.Go(func() { d.quotas.Run(work) })
	wg.Go(func() { d.runExpiry(work) })
	wg.Go(func() { d.reportDroppedLines(work) })
	wg.Go(func() { d.watchSettings(work) })
	wg.Go(func() { d.register(work) })
	wg.Go(func() { d.bootstrap(work) })
	wg.Go(func() { d.recordSoftware(work) })
	wg.Go(func() { d.catchUpConfig(work) })
	stopLog, logDone := d.runSink()
	err := d.serve(ctx)
	stopWork()
	wg.Wait()
	event.Log(d.log, event.Stopped, "instance", d.settings.Instance)
	stopLog()
	<-logDone
	return err
}

// register registers this gateway in the directory of gateways.
func (d *Daemon) register(ctx context.Context) {
	value, err := peering.EncodePeer(peering.Peer{
		Address: fmt.Sprintf("%s:%d", d.settings.IP, d.settings.FirstPort), Region: d.settings.Region,
		LinkMbps: d.settings.LinkMbps, Zone: d.settings.Zone, Capacity: peering.StatedCapacity(d.settings.CPUShare, d.settings.LinkMbps),
	})
	if err != nil {
		event.Log(d.log, event.RecordSkipped, "topic", platform.KeyedTopic(directoryTopic), "cause", err)
		return
	}
	for ctx.Err() == nil {
		if err := d.writeDirectory(ctx, value); err == nil {
			return
		}
		delay.Wait(ctx, followRetryDelay)
	}
}

func (d *Daemon) writeDirectory(ctx context.Context, value []byte) error {
	part := keyedlog.Partition{Topic: platform.KeyedTopic(directoryTopic)}
	record := keyedlog.Record{Key: d.settings.Instance, Value: value}
	_, err := d.store.Append(ctx, part, []keyedlog.Record{record}, keyedlog.Condition{})
	return err
}

func (d *Daemon) runExpiry(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.backends.Expire()
			d.pool.CloseExpired(now)
		}
	}
}
