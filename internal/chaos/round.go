package chaos

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/internal/standin"
)

const (
	engineStep = 6 * time.Millisecond
	plainDelay = 20 * time.Millisecond
	// settleTimeout bounds the wait until every entry has registered every instance.
	settleTimeout      = 20 * time.Second
	settlePollInterval = 50 * time.Millisecond
	roundTimeout       = 3 * time.Minute
)

// Round is an execution of a plan.
type Round struct {
	plan      Plan
	cluster   *proctest.Cluster
	balancer  *balancer
	publisher *desired.Publisher
	log       *logFaults
	history   *History
	// faultsEnded is closed once every fault has ended. expired is closed after
	// that, once records that were not renewed have expired in an Expiring round.
	faultsEnded chan struct{}
	expired     chan struct{}
	strikes     sync.WaitGroup
	ctx         context.Context

	mu  sync.Mutex
	err error
}

// Run runs a plan and checks its history. It returns an error if the round could not be
// run to its end.
func Run(ctx context.Context, p Plan, dir string) (*Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	o := deployment(dir)
	if p.Profile == Expiring {
		o.LogRetention = logRetention
	}
	cluster, err := proctest.Start(o)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	r := newRound(ctx, p, cluster)
	if err := r.runPlan(ctx); err != nil {
		return nil, err
	}
	// An aborted round is not checked.
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "chaos: round")
	}
	return check(p, r.history, r.backendHistory()), nil
}

// deployment returns the deployment that every round uses.
func deployment(dir string) proctest.Options {
	return proctest.Options{
		Entries: entries, Engines: engines, Plain: plainServices, Dir: dir,
		ModelService: modelService, Model: modelName, PlainService: plainService,
		Step: engineStep, PlainDelay: plainDelay, Document: document(0, 8),
	}
}

func newRound(ctx context.Context, p Plan, c *proctest.Cluster) *Round {
	return &Round{
		plan: p, cluster: c, balancer: newBalancer(c.Entries), publisher: desired.NewPublisher(c.Log.Log(), nil),
		log: &logFaults{log: c.Log}, history: newHistory(), faultsEnded: make(chan struct{}), expired: make(chan struct{}), ctx: ctx,
	}
}

// runPlan runs the operations and injects the faults concurrently.
func (r *Round) runPlan(ctx context.Context) error {
	watch, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer stop()
	watchers.Go(func() { r.balancer.run(watch) })
	watchers.Go(func() { r.watchVersions(watch) })
	if err := r.awaitSettled(ctx); err != nil {
		return err
	}
	if err := r.recordFirstVersion(ctx); err != nil {
		return err
	}
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
	if ctx.Err() != nil {
		ops.Wait()
		r.strikes.Wait()
		return errors.Wrap(ctx.Err(), "chaos: round")
	}
	r.endFaults()
	inForce := r.awaitInForce(ctx)
	r.history.update(func(h *History) { h.InForceAfter = inForce })
	r.awaitExpiry(ctx)
	ops.Wait()
	r.strikes.Wait()
	return r.firstError()
}

// awaitSettled waits until every instance is registered at every entry and the first
// configuration is in force everywhere.
func (r *Round) awaitSettled(ctx context.Context) error {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); delay.Wait(ctx, settlePollInterval) {
		if len(r.balancer.readyFrom(0)) == entries && r.allAtVersion(ctx, 1) {
			return nil
		}
	}
	return errors.New("chaos: timed out waiting for the deployment to become ready")
}

// endFaults ends every fault that is still in effect.
func (r *Round) endFaults() {
	r.strikes.Wait()
	r.log.update(func(l *standin.LogFaults) { *l = standin.LogFaults{} })
	for _, n := range r.cluster.Nodes() {
		n.Resume()
		n.Links().Restore()
		r.recordError(n.Start())
	}
	for _, n := range r.cluster.Nodes() {
		r.recordError(n.WaitReady())
	}
	r.history.update(func(h *History) { h.FaultsEnded = time.Now() })
	close(r.faultsEnded)
}

// awaitExpiry waits until every record of the round has expired and replaces an entry.
// The new entry can read only what was renewed.
func (r *Round) awaitExpiry(ctx context.Context) {
	if r.plan.Profile == Expiring {
		delay.Wait(ctx, expiryWait)
		r.replace(r.cluster.Entries[0])
	}
	close(r.expired)
}

// awaitPhase waits for a phase of the round. It returns false if ctx ends first.
func awaitPhase(ctx context.Context, phase <-chan struct{}) bool {
	select {
	case <-phase:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordError records the first error of the round itself.
func (r *Round) recordError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

func (r *Round) firstError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// backendHistory returns what the backend servers ran.
func (r *Round) backendHistory() BackendHistory {
	var o BackendHistory
	for _, n := range r.cluster.Engines {
		o.Generations = append(o.Generations, n.Engine.Generations())
	}
	for _, n := range r.cluster.Plain {
		o.Executions = append(o.Executions, n.Plain.Executions())
	}
	return o
}
