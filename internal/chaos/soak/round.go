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
	// recovery is how soon after the last fault requests must succeed again.
	recovery = 10 * time.Second
	// recoveredRow is the number of requests in a row that show it.
	recoveredRow = 10

	grace = 6 * time.Second
	// memoryMB is that of the smallest machine.
	memoryMB = 184
	stay     = 2 * time.Minute
)

// Round is one run of a plan.
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

	// rolling is held while a gateway is replaced in a planned round: the
	// platform replaces one at a time.
	rolling    sync.Mutex
	publishing sync.Mutex
	published  int

	mu     sync.Mutex
	healed time.Time
	err    error
}

// Run carries out a plan and judges it. Settings and logs of the gateways go to
// dir. An error means that the round itself could not be run.
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
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "soak: round")
	}
	return check(p, r.history, r.observe()), nil
}

func newRound(p Plan, dir string) (*Round, error) {
	r := &Round{plan: p, dir: dir, store: platformtest.StartStore(), history: &History{Struck: make(map[string]int)}}
	r.faults.log = r.store.Log
	r.links = &peerLinks{}
	r.rotation = &rotation{missed: make(map[*proctest.Gateway]int)}
	for i := range servers {
		r.servers = append(r.servers, newServer(fmt.Sprintf("i%d", i), zoneOf(i), r.store.Log))
	}
	for i := range p.Gateways {
		g, err := proctest.NewGateway(fmt.Sprintf("g%d", i), proctest.GatewayOptions{
			Dir: dir, StoreAddress: r.store.ListenFiltered(r.links.view(i)), Shards: keyedlogtest.Shards, Zone: zoneOf(i), RegionOf: regionOf,
			MemoryMB: memoryMB, Grace: grace, DrainTime: drainTime, JobRetention: stay,
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

// play starts everything, runs the operations and the faults side by side, and
// waits until the operations have ended.
func (r *Round) play(ctx context.Context) error {
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
		ops.Go(func() { delay.Wait(ctx, op.At-time.Since(started)); r.operate(ctx, op) })
	}
	for _, f := range r.plan.Faults {
		faults.Go(func() { delay.Wait(ctx, f.At-time.Since(started)); r.inject(ctx, f) })
	}
	faults.Wait()
	delay.Wait(ctx, span-time.Since(started))
	r.heal()
	r.awaitRecovery(ctx)
	ops.Wait()
	delay.Wait(ctx, configBound-time.Since(r.healed))
	r.noteCrashes()
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
	for end := time.Now().Add(startTimeout); time.Now().Before(end); delay.Wait(ctx, lookInterval) {
		if r.allReady() {
			return nil
		}
	}
	return errors.New("soak: the gateways do not get ready")
}

func (r *Round) allReady() bool {
	for _, g := range r.gateways {
		if !g.Ready() {
			return false
		}
	}
	return true
}

func (r *Round) operate(ctx context.Context, op Op) {
	switch op.Kind {
	case Job:
		r.job(ctx, op)
	case Publish:
		r.publish(ctx)
	default:
		rec := r.callers[op.Caller].send(ctx, op)
		r.history.add(func(h *History) { h.Records = append(h.Records, rec) })
	}
}

// awaitRecovery sends requests until a number of them in a row succeeded.
func (r *Round) awaitRecovery(ctx context.Context) {
	taken := time.Duration(-1)
	row := 0
	for i := 0; time.Since(r.healed) < recovery && ctx.Err() == nil; i++ {
		c := newCaller(r.rotation)
		rec := c.send(ctx, Op{Kind: SafeCall, ID: fmt.Sprintf("s%d-after%d", r.plan.Seed, i)})
		if row++; !rec.Whole || rec.Status != 200 {
			row = 0
			delay.Wait(ctx, lookInterval)
		}
		if row == recoveredRow {
			taken = time.Since(r.healed)
			break
		}
	}
	r.history.add(func(h *History) { h.Recovered = taken })
}

func (r *Round) noteCrashes() {
	for _, g := range r.gateways {
		if !g.Running() {
			r.history.add(func(h *History) { h.Crashes = append(h.Crashes, g.Name) })
		}
	}
}

func (r *Round) isHealed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.healed.IsZero()
}

// overdue reports whether every item should have its result by now.
func (r *Round) overdue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.healed.IsZero() && time.Since(r.healed) > finishTime
}

// inTouch reports whether a gateway was undisturbed, and reached the store, for
// the whole time.
func (r *Round) inTouch(gateway string, begin, end time.Time) bool {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	return inTouch(r.history.Disturbed, gateway, begin, end)
}

func inTouch(disturbed []Interval, gateway string, begin, end time.Time) bool {
	for _, d := range disturbed {
		if (d.What == gateway || d.What == everyGateway) && d.overlaps(begin, end) {
			return false
		}
	}
	return true
}

// fail keeps the first error of the round itself.
func (r *Round) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// observe returns every life of every backend server.
func (r *Round) observe() []*boot {
	var out []*boot
	for _, s := range r.servers {
		out = append(out, s.lives()...)
	}
	return out
}
