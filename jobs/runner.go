package jobs

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/serving"
)

const (
	// runnerTick is the longest time between two looks at what can be started
	// or has to stop.
	runnerTick = 100 * time.Millisecond
	// runnerGap is the least time between two looks.
	runnerGap = 8 * time.Millisecond
	// runnerSpread is added at random to runnerGap, so that processes that see
	// the same free slot do not start at the same moment.
	runnerSpread = 8 * time.Millisecond
	// itemPause is how long an item waits after a run that failed.
	itemPause = 150 * time.Millisecond
	// maxRuns bounds the items that one process runs at once.
	maxRuns = 256
)

// itemRef names an item.
type itemRef struct {
	job  string
	item int
}

// run is an item that this process works on or has worked on.
type run struct {
	ref      itemRef
	progress Progress
	// saved is the progress that was last handed to the shard's writer.
	saved Progress
	// backend is where it runs, empty if it does not.
	backend string
	cancel  context.CancelFunc
	// due orders runs; the latest due is stopped first.
	due time.Time
	// notBefore is when the item may be tried again.
	notBefore time.Time
	// result is set once the item is done. It was handed to the shard's writer
	// under epoch, and is again under a later one if it was lost in between.
	result *Result
	epoch  int64
}

// runner starts items of owned shards and stops them when online requests need
// their slots.
type runner struct {
	s       *Service
	wakeups chan struct{}

	mu   sync.Mutex
	runs map[itemRef]*run
	// pace is how fast items go.
	pace pace
	// active counts the runs in progress.
	active sync.WaitGroup
	halted bool
}

func newRunner(s *Service) *runner {
	return &runner{s: s, wakeups: make(chan struct{}, 1), runs: make(map[itemRef]*run), pace: newPace()}
}

func (r *runner) wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

func (r *runner) run(ctx context.Context) {
	ticker := time.NewTicker(runnerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wakeups:
		case <-r.s.opts.Table.CapacityChanged():
		}
		r.cycle(ctx, time.Now())
		delay.Wait(ctx, runnerGap+rand.N(runnerSpread))
	}
}

// cycle looks at everything once: it stops what must not go on, then starts
// what finds a slot, the item that is due first at first.
func (r *runner) cycle(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.halted {
		return
	}
	r.stopForeign()
	r.yield(now)
	config := r.s.opts.Configs()
	if config == nil {
		return
	}
	begun := make(map[string]bool)
	open := r.openJobs(config)
	for _, hopeful := range []bool{true, false} {
		for _, j := range open {
			if !r.startItems(ctx, j, hopeful, begun, now) {
				break
			}
		}
	}
}

// stopForeign stops runs of jobs that have ended or whose shard is not owned.
func (r *runner) stopForeign() {
	for ref, u := range r.runs {
		if r.s.shards[shardOf(ref.job, len(r.s.shards))].owned() && r.s.table.isOpen(ref) {
			continue
		}
		if u.backend != "" {
			u.cancel()
			continue
		}
		delete(r.runs, ref)
	}
}

// yield stops batch runs where online requests have taken more than the slots
// that are left.
func (r *runner) yield(now time.Time) {
	byBackend := make(map[string][]*run)
	for _, u := range r.runs {
		if u.backend != "" {
			byBackend[u.backend] = append(byBackend[u.backend], u)
		}
	}
	if len(byBackend) == 0 {
		return
	}
	r.s.opts.AllBackends(func(b catalog.Backend) {
		held := byBackend[b.ID]
		if len(held) == 0 {
			return
		}
		excess := r.s.opts.Table.ExcessBatch(r.s.opts.Instance, b, now)
		slices.SortFunc(held, func(x, y *run) int { return y.due.Compare(x.due) })
		for _, u := range held[:min(excess, len(held))] {
			event.Log(r.s.opts.Logger, event.BatchPreempted, "job", u.ref.job, "item", u.ref.item, "backend", b.ID, "excess", excess)
			u.cancel()
		}
	})
}

// startItems starts the items of a job that find a slot, one at a backend server
// in each cycle: begun lists those that have got one. Items that can be done in
// time go first, over all jobs; hopeful says which are meant. It returns false if
// no backend server takes more.
func (r *runner) startItems(ctx context.Context, j openJob, hopeful bool, begun map[string]bool, now time.Time) bool {
	retained := j.route.JobRetention <= 0 || now.Before(j.job.submitted().Add(j.route.JobRetention))
	for _, item := range j.items {
		u := r.runOf(j, item)
		if u.result != nil {
			r.handOver(u)
			continue
		}
		if u.backend != "" || now.Before(u.notBefore) || hopeful != r.pace.inTime(j.job.Route, u.progress.Events, j.due.Sub(now)) {
			continue
		}
		if !retained {
			r.deliver(u, Result{Item: item, Text: u.progress.Text}, "retention is over")
			continue
		}
		if r.running() >= maxRuns || !r.start(ctx, j, u, begun, now) {
			return false
		}
	}
	return true
}

// runOf returns the run of an item, which it begins if there is none.
func (r *runner) runOf(j openJob, item int) *run {
	ref := itemRef{j.id, item}
	u := r.runs[ref]
	if u == nil {
		u = &run{ref: ref, progress: j.progress[item], saved: j.progress[item], due: j.due}
		r.runs[ref] = u
	}
	return u
}

func (r *runner) running() int {
	n := 0
	for _, u := range r.runs {
		if u.backend != "" {
			n++
		}
	}
	return n
}

// start starts an item; it returns false if no backend server has a free slot.
func (r *runner) start(ctx context.Context, j openJob, u *run, begun map[string]bool, now time.Time) bool {
	service := j.route.PickService(float64(u.ref.item%10) / 10)
	item := &j.content[u.ref.item]
	need := balance.Requirements{Class: balance.Batch, Exclude: begun}
	choice, ok := r.s.opts.Table.Pick(r.s.opts.Backends(service), need, now)
	if !ok {
		return false
	}
	runCtx, cancel := context.WithCancel(ctx)
	u.backend, u.cancel = choice.Backend.ID, cancel
	begun[u.backend] = true
	event.Log(r.s.opts.Logger, event.ItemPlaced, "job", u.ref.job, "item", u.ref.item, "request", item.ID, "backend", u.backend,
		"online", choice.Load.Online, "batch", choice.Load.Batch, "slots", choice.Backend.Slots,
		"resume_after", u.progress.LastEvent, "due_in", j.due.Sub(now))
	r.active.Add(1)
	go r.work(runCtx, j, u, choice.Backend, u.progress)
	return true
}

// work runs an item once and settles it.
func (r *runner) work(ctx context.Context, j openJob, u *run, b catalog.Backend, p Progress) {
	defer r.active.Done()
	begin := time.Now()
	out := r.s.runItem(ctx, itemRequest(j.job.Host, &j.content[u.ref.item]), b, p, func(p Progress) { r.report(u, p) })
	r.s.opts.Table.Release(b.ID, balance.Batch)
	r.mu.Lock()
	defer r.mu.Unlock()
	u.cancel()
	u.backend = ""
	r.pace.note(j.job.Route, out.progress.Events-p.Events, time.Since(begin))
	u.progress = out.progress
	r.settle(j, u, out)
	r.wake()
}

// stop ends all runs and waits until they are settled.
func (r *runner) stop(ctx context.Context) {
	r.mu.Lock()
	r.halted = true
	for _, u := range r.runs {
		if u.backend != "" {
			u.cancel()
		}
	}
	r.mu.Unlock()
	done := make(chan struct{})
	go func() { r.active.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// itemRequest returns the request of an item.
func itemRequest(host string, item *Item) *serving.Request {
	r := &serving.Request{
		ID: item.ID, Method: "POST", Host: host, Target: item.Target, Path: item.Target,
		Header: make(map[string][]string, len(item.Header)), Body: item.Body, ReceivedAt: time.Now(),
	}
	for name, value := range item.Header {
		r.Header.Set(name, value)
	}
	return r
}
