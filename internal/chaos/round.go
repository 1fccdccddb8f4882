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
	// settle is how long the system has to find every instance.
	settle       = 20 * time.Second
	settlePoll   = 50 * time.Millisecond
	roundTimeout = 3 * time.Minute
)

// Round is one run of a plan.
type Round struct {
	plan      Plan
	cluster   *proctest.Cluster
	balancer  *balancer
	publisher *desired.Publisher
	log       *logFaults
	history   *History
	// healed is closed once every fault has ended, aged once what must stay
	// readable may be looked at.
	healed  chan struct{}
	aged    chan struct{}
	strikes sync.WaitGroup
	ctx     context.Context

	mu  sync.Mutex
	err error
}

// Run carries out a plan and checks its history. An error means that the round
// itself could not be run.
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
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	// A round that was broken off is not judged.
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "chaos: round")
	}
	return check(p, r.history, r.observe()), nil
}

// deployment is what every round runs on.
func deployment(dir string) proctest.Options {
	return proctest.Options{
		Entries: entries, Engines: engines, Plain: plains, Dir: dir,
		ModelService: modelService, Model: modelName, PlainService: plainService,
		Step: engineStep, PlainDelay: plainDelay, Document: document(0, 8),
	}
}

func newRound(ctx context.Context, p Plan, c *proctest.Cluster) *Round {
	return &Round{
		plan: p, cluster: c, balancer: newBalancer(c.Entries), publisher: desired.NewPublisher(c.Log.Log(), nil),
		log: &logFaults{log: c.Log}, history: newHistory(), healed: make(chan struct{}), aged: make(chan struct{}), ctx: ctx,
	}
}

// play runs the operations and the faults side by side.
func (r *Round) play(ctx context.Context) error {
	watch, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer stop()
	watchers.Go(func() { r.balancer.run(watch) })
	watchers.Go(func() { r.watchVersions(watch) })
	if err := r.awaitSettled(ctx); err != nil {
		return err
	}
	if err := r.firstVersion(ctx); err != nil {
		return err
	}
	var ops, faults sync.WaitGroup
	started := time.Now()
	for _, op := range r.plan.Ops {
		ops.Go(func() { delay.Wait(ctx, op.At-time.Since(started)); r.run(ctx, op) })
	}
	for _, f := range r.plan.Faults {
		faults.Go(func() { delay.Wait(ctx, f.At-time.Since(started)); r.inject(ctx, f) })
	}
	faults.Wait()
	delay.Wait(ctx, span-time.Since(started))
	if ctx.Err() != nil {
		ops.Wait()
		r.strikes.Wait()
		return errors.Wrap(ctx.Err(), "chaos: round")
	}
	r.heal()
	inForce := r.awaitInForce(ctx)
	r.history.add(func(h *History) { h.InForce = inForce })
	r.age(ctx)
	ops.Wait()
	r.strikes.Wait()
	return r.failure()
}

// awaitSettled waits until every entry knows every instance and the first
// configuration is in force everywhere.
func (r *Round) awaitSettled(ctx context.Context) error {
	for end := time.Now().Add(settle); time.Now().Before(end); delay.Wait(ctx, settlePoll) {
		if len(r.balancer.order(0)) == entries && r.allAt(ctx, 1) {
			return nil
		}
	}
	return errors.New("chaos: the deployment does not settle")
}

// heal ends every fault that is still in force.
func (r *Round) heal() {
	r.strikes.Wait()
	r.log.change(func(l *standin.LogFaults) { *l = standin.LogFaults{} })
	for _, n := range r.cluster.Nodes() {
		n.Resume()
		n.Links().Restore()
		r.fail(n.Start())
	}
	for _, n := range r.cluster.Nodes() {
		r.fail(n.WaitReady())
	}
	r.history.add(func(h *History) { h.Healed = time.Now() })
	close(r.healed)
}

// age lets every record of the round expire and replaces an entry, which then
// knows only what was renewed.
func (r *Round) age(ctx context.Context) {
	if r.plan.Profile == Expiring {
		delay.Wait(ctx, ageing)
		r.replace(r.cluster.Entries[0])
	}
	close(r.aged)
}

// await waits for a phase of the round; it returns false if ctx ended first.
func await(ctx context.Context, phase <-chan struct{}) bool {
	select {
	case <-phase:
		return true
	case <-ctx.Done():
		return false
	}
}

// fail keeps the first error of the round itself.
func (r *Round) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

func (r *Round) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// observe returns what the backend servers ran.
func (r *Round) observe() Observed {
	var o Observed
	for _, n := range r.cluster.Engines {
		o.Generations = append(o.Generations, n.Engine.Generations())
	}
	for _, n := range r.cluster.Plain {
		o.Executions = append(o.Executions, n.Plain.Executions())
	}
	return o
}
