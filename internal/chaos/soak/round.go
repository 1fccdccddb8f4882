package soak

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const (
	roundTimeout = 2 * time.Minute
	startTimeout = 20 * time.Second
	// recoveryBound is how soon after the last fault requests must succeed again.
	recoveryBound = 10 * time.Second
	// recoverySuccesses is the number of consecutive successes that show recovery.
	recoverySuccesses = 10

	// grace is the gateways' time from SIGTERM to exit.
	grace = 6 * time.Second
	// memoryMB is the memory limit of the smallest instance.
	memoryMB     = 184
	jobRetention = 2 * time.Minute
)

// Round is an execution of a plan.
type Round struct {
	plan     Plan
	dir      string
	store    *platformtest.Store
	servers  []*server
	gateways []*proctest.Gateway
	links    *peerLinks
	rotation *rotation
	callers  []*caller
	faults   storeFaults
	history  *History

	// replacing is held while a gateway is replaced in a planned round, because the
	// platform replaces one at a time.
	replacing  sync.Mutex
	publishing sync.Mutex
	published  int

	mu            sync.Mutex
	faultsEndedAt time.Time
	err           error
}

// Run runs a plan and checks its history. Settings and logs of the gateways are written to
// dir, or to a temporary directory if dir is empty. Run returns an error if the round could
// not be run to its end.
func Run(ctx context.Context, p Plan, dir string) (*chaos.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if dir == "" {
		scratch, err := os.MkdirTemp("", "catkinrudder-soak-")
		if err != nil {
			return nil, errors.Wrap(err, "soak")
		}
		defer func() { _ = os.RemoveAll(scratch) }()
		dir = scratch
	}
	r, err := newRound(p, dir)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.runPlan(ctx); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "soak: round")
	}
	return check(p, r.history, r.incarnations()), nil
}

func newRound(p Plan, dir string) (*Round, error) {
	r := &Round{plan: p, dir: dir, store: platformtest.StartStore(), history: &History{Injected: make(map[string]int)}}
	r.faults.log = r.store.Log
	r.links = &peerLinks{}
	r.rotation = &rotation{missed: make(map[*proctest.Gateway]int)}
	for i := range servers {
		r.servers = append(r.servers, newServer(fmt.Sprintf("i%d", i), zoneOf(i), i < len(p.Closes) && p.Closes[i], r.store.Log))
	}
	for i := range p.Gateways {
		g, err := proctest.NewGateway(fmt.Sprintf("g%d", i), proctest.GatewayOptions{
			Dir: dir, StoreAddress: r.store.ListenFiltered(r.links.filterFor(i)), Shards: keyedlogtest.Shards, Zone: zoneOf(i), RegionOf: regionOf,
			MemoryMB: memoryMB, Grace: grace, DrainTime: drainTime, JobRetention: jobRetention, Quotas: quotaBounds,
		})
		if err != nil {
			r.close()
			return nil, err
		}
		r.gateways = append(r.gateways, g)
	}
	if err := r.links.connect(r.gateways); err != nil {
		r.close()
		return nil, err
	}
	r.rotation.gateways = r.gateways
	for range callers {
		r.callers = append(r.callers, newCaller(r.rotation))
	}
	return r, nil
}

func (r *Round) close() {
	for _, g := range r.gateways {
		g.Close()
	}
	r.links.close()
	for _, s := range r.servers {
		s.close()
	}
	r.store.Close()
}

// runPlan starts everything, runs the operations and injects the faults concurrently, and
// waits until the operations have ended.
func (r *Round) runPlan(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	watch, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer stop()
	watchers.Go(func() { r.rotation.run(watch) })
	watchers.Go(func() { r.watchVersions(watch) })
	var ops, faults sync.WaitGroup
	started := time.Now()
	for _, op := range r.plan.Ops {
		ops.Go(func() { delay.Wait(ctx, op.At-time.Since(started)); r.runOp(ctx, op) })
	}
	for _, f := range r.plan.Faults {
		faults.Go(func() { delay.Wait(ctx, f.At-time.Since(started)); r.inject(ctx, f) })
	}
	faults.Wait()
	delay.Wait(ctx, workloadDuration-time.Since(started))
	r.endFaults()
	r.awaitRecovery(ctx)
	ops.Wait()
	delay.Wait(ctx, configBound-time.Since(r.faultsEndedAt))
	r.recordCrashes()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

func (r *Round) start(ctx context.Context) error {
	r.publish(ctx)
	for _, s := range r.servers {
		if err := s.start(); err != nil {
			return err
		}
	}
	for _, g := range r.gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); delay.Wait(ctx, pollInterval) {
		if r.allReady() {
			return nil
		}
	}
	return errors.New("soak: timed out waiting for the gateways to become ready")
}

func (r *Round) allReady() bool {
	for _, g := range r.gateways {
		if !g.Ready() {
			return false
		}
	}
	return true
}

func (r *Round) runOp(ctx context.Context, op Op) {
	switch op.Kind {
	case Job:
		r.runJob(ctx, op)
	case Publish:
		r.publish(ctx)
	default:
		rec := r.callers[op.Caller].send(ctx, op)
		r.history.update(func(h *History) { h.Records = append(h.Records, rec) })
		if again, ok := rec.resume(); ok {
			r.runOp(ctx, again)
		}
	}
}

// awaitRecovery sends requests until recoverySuccesses consecutive ones have succeeded.
func (r *Round) awaitRecovery(ctx context.Context) {
	recovered := time.Duration(-1)
	successes := 0
	for i := 0; time.Since(r.faultsEndedAt) < recoveryBound && ctx.Err() == nil; i++ {
		c := newCaller(r.rotation)
		rec := c.send(ctx, Op{Kind: SafeCall, ID: fmt.Sprintf("s%d-after%d", r.plan.Seed, i)})
		if successes++; !rec.Complete || rec.Status != 200 {
			successes = 0
			delay.Wait(ctx, pollInterval)
		}
		if successes == recoverySuccesses {
			recovered = time.Since(r.faultsEndedAt)
			break
		}
	}
	r.history.update(func(h *History) { h.Recovered = recovered })
}

func (r *Round) recordCrashes() {
	for _, g := range r.gateways {
		if !g.Running() {
			r.history.update(func(h *History) { h.Crashes = append(h.Crashes, g.Name) })
		}
	}
}

func (r *Round) faultsEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.faultsEndedAt.IsZero()
}

// overdue reports whether the time in which all items must have their results is over.
func (r *Round) overdue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.faultsEndedAt.IsZero() && time.Since(r.faultsEndedAt) > finishTime
}

// undisturbedDuring reports whether a gateway was undisturbed and reached the store from
// begin to end.
func (r *Round) undisturbedDuring(gateway string, begin, end time.Time) bool {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	return undisturbed(r.history.Disturbed, gateway, begin, end)
}

func undisturbed(disturbed []Interval, gateway string, begin, end time.Time) bool {
	for _, d := range disturbed {
		if (d.Target == gateway || d.Target == allGateways) && d.overlaps(begin, end) {
			return false
		}
	}
	return true
}

// recordError records the first error of the round itself.
func (r *Round) recordError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// incarnations returns all incarnations of all backend servers.
func (r *Round) incarnations() []*incarnation {
	var out []*incarnation
	for _, s := range r.servers {
		out = append(out, s.allIncarnations()...)
	}
	return out
}
