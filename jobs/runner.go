package jobs

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/quarantine"
	"github.com/catkinrudder/catkinrudder/serving"
)

const (
	// maxCycleInterval is the maximum time between two cycles of the runner, in which
	// it stops and starts items.
	maxCycleInterval = 100 * time.Millisecond
	// minCycleInterval is the minimum time between two cycles.
	minCycleInterval = 8 * time.Millisecond
	// cycleJitter is a random addition to minCycleInterval, so that processes that see
	// the same free slot do not start an item at the same moment.
	cycleJitter = 8 * time.Millisecond
	// itemRetryDelay is the delay before an item is retried after a failed run. After an
	// interrupted one it is interruptedRetryDelay: if the run has ended its server, the next
	// one would end another before the quarantine counts the first.
	itemRetryDelay        = 150 * time.Millisecond
	interruptedRetryDelay = 400 * time.Millisecond
	// maxUnansweredStops is how many runs of an item may be preempted before the backend
	// server has answered. The next run is left alone until it has an answer, because an
	// item that can't be done must not reach backend servers again after three answers
	// that say so, even if they were not read. A third run may end with its shard's owner.
	maxUnansweredStops = 1
	// maxConcurrentRuns bounds the items that one process runs concurrently.
	maxConcurrentRuns = 256
)

// runner starts items of owned shards and stops them when online requests need their
// slots.
type runner struct {
	s       *Service
	wakeups chan struct{}

	mu   sync.Mutex
	runs map[itemRef]*run
	// estimates holds the estimated durations of items.
	estimates estimator
	// gaps decides when items start beside online requests.
	gaps *gaps
	// backlog estimates the unfinished items of all processes.
	backlog backlog
	// withoutRoute holds since when the configuration has had no route for an open job.
	withoutRoute map[string]time.Time
	// waits follows why open items have no run.
	waits *waits
	// cycles counts the cycles.
	cycles uint64
	// maxRuns bounds the runs in progress.
	maxRuns int
	// active counts the runs in progress.
	active  sync.WaitGroup
	stopped bool
}

func newRunner(s *Service) *runner {
	return &runner{s: s, wakeups: make(chan struct{}, 1), runs: make(map[itemRef]*run), estimates: newEstimator(), gaps: newGaps(s), backlog: backlog{s: s}, waits: newWaits(), maxRuns: concurrentRuns(s.opts.Capacity)}
}

// wake starts the next cycle early.
func (r *runner) wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

func (r *runner) run(ctx context.Context) {
	ticker := time.NewTicker(maxCycleInterval)
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
		delay.Wait(ctx, minCycleInterval+rand.N(cycleJitter))
	}
}

// cycle stops the runs that must not continue and then starts the items that find a
// slot, in the order of their due times.
func (r *runner) cycle(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	r.cycles++
	r.cancelStale()
	r.boundOutputs(now)
	r.preempt(now)
	r.enqueueResults()
	r.gaps.beginCycle(now)
	config := r.s.opts.Config()
	if config == nil {
		r.surveyWaits(nil, r.s.table.openJobs(r.ownsJob), [2]*pass{}, now)
		return
	}
	open, withoutRoute := r.openJobs(config, now)
	open = r.giveUpExpired(open, now)
	used := make(map[string]bool)
	passes := [...]*pass{newPass(true, used), newPass(false, used)}
	for _, p := range passes {
		for _, j := range open {
			if !r.startItems(ctx, j, p, now) {
				break
			}
		}
	}
	r.surveyWaits(open, withoutRoute, passes, now)
}

// cancelStale stops runs of items that need no result any more and of shards that are
// not owned, and removes those runs once they have ended.
func (r *runner) cancelStale() {
	for ref, u := range r.runs {
		if r.ownsJob(ref.job) && r.s.table.isOpen(ref) {
			continue
		}
		if u.backend != "" {
			u.cancel()
			continue
		}
		u.memory.Close()
		delete(r.runs, ref)
		if !r.s.table.isOpen(ref) {
			r.s.opts.Quarantine.Forget([]string{quarantine.ItemSuspect(ref.job, ref.item)})
		}
	}
}

// runFor returns the run of an item, and creates it if there is none.
func (r *runner) runFor(j openJob, item int) *run {
	ref := itemRef{j.id, item}
	u := r.runs[ref]
	if u == nil {
		u = &run{
			ref: ref, request: j.content[item].ID, progress: j.progress[item], checkpointed: j.progress[item].withoutText(), route: j.job.Route, due: j.due,
			suspects: append(r.s.opts.PromptParts(j.content[item].Header), quarantine.ItemSuspect(ref.job, ref.item)),
		}
		u.openMemory(r.s.opts.Memory)
		r.runs[ref] = u
	}
	return u
}

func (r *runner) runningCount() int {
	n := 0
	for _, u := range r.runs {
		if u.backend != "" {
			n++
		}
	}
	return n
}

// startItem starts an item if there is a slot for it. It returns why it does not.
func (r *runner) startItem(ctx context.Context, j openJob, u *run, p *pass, now time.Time) WaitReason {
	choice, found := r.pickBackend(j, u, p.used, now)
	switch found {
	case waitsForOrigin:
		return found.reason()
	case noSlot, waitsForGap:
		p.full[r.serviceOf(j, u)] = found.reason()
		return found.reason()
	}
	verdict := r.s.opts.Quarantine.Check(u.suspects, balance.Batch)
	p.tried = p.tried || verdict.Held()
	trial, ok := r.beginTrial(u.suspects, verdict, choice)
	if !ok {
		u.suspect = verdict.Suspect
		r.s.opts.Table.Release(choice.Backend.ID, balance.Batch)
		return WaitHeld
	}
	p.used[choice.Backend.ID] = true
	r.launch(ctx, j, u, choice, trial, now)
	return notWaiting
}

// launch begins a run of an item at the chosen backend server.
func (r *runner) launch(ctx context.Context, j openJob, u *run, choice balance.Choice, trial *quarantine.Trial, now time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	u.backend, u.cancel, u.answered, u.stopping = choice.Backend.ID, cancel, false, false
	u.placedBeside = choice.Load.Online
	u.memory.Reopen(cancel)
	u.beginRun(now)
	delete(r.waits.items, u.ref)
	start := r.gaps.started(choice.Backend.Service, u.backend, r.backfillItem(j, u, choice.Backend.Service, now), now)
	event.Log(r.s.opts.Logger, event.ItemPlaced, "job", u.ref.job, "item", u.ref.item, "request", u.request, "backend", u.backend,
		"online", choice.Load.Online, "batch", choice.Load.Batch, "slots", choice.Backend.Slots,
		"version", choice.Backend.Version, "resume_after", u.progress.LastEvent, "due_in", j.due.Sub(now), "start", start)
	r.active.Add(1)
	go r.execute(ctx, j, u, choice.Backend, u.progress, trial)
}

// execute runs an item once and handles the outcome.
func (r *runner) execute(ctx context.Context, j openJob, u *run, b catalog.Backend, p Progress, trial *quarantine.Trial) {
	defer r.active.Done()
	begin := time.Now()
	progress := r.s.opts.Quarantine.Follow(func() []string { return u.suspects })
	out := r.s.runItemIsolated(ctx, itemRequest(j, &j.content[u.ref.item]), b, p, runObserver{
		answered: func() { r.recordAnswer(u) }, progressed: func(p Progress) { r.recordProgress(u, p) },
		event: func() { progress.Event(); u.recordEvent() }, keep: u.keepOutput,
	})
	out = u.withoutDropped(out)
	if out.end == runCancelled {
		progress.Stopped()
	}
	r.s.opts.Table.Release(b.ID, balance.Batch)
	examination := r.recordRunEnd(b, u.suspects, begin, out.end)
	if out.end == runNotStarted {
		trial.NotRun()
	} else {
		trial.End(examination)
	}
	r.endRun(j, u, out, p, begin)
	r.wake()
}

// endRun records the end of a run that began with the progress before at the time begin, and handles the outcome.
func (r *runner) endRun(j openJob, u *run, out outcome, before Progress, begin time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.cancel()
	u.backend = ""
	r.estimates.recordRun(j.job.Route, out.progress.Events-before.Events, time.Since(begin))
	out.progress.UnansweredStops = u.progress.UnansweredStops
	if out.end == runCancelled && !u.answered {
		out.progress.UnansweredStops++
	}
	u.progress = out.progress
	u.endMemory(out.end, time.Now())
	r.handleOutcome(j, u, out)
}

// beginTrial begins the trial of held suspects at the chosen backend server; the trial is nil if none is held. It
// returns false if the run must not start there now.
func (r *runner) beginTrial(suspects []string, verdict quarantine.Verdict, choice balance.Choice) (trial *quarantine.Trial, ok bool) {
	if verdict.WantsIdle() && choice.Load != (balance.Counts{}) {
		return nil, false
	}
	return r.s.opts.Quarantine.Begin(suspects, choice.Backend, balance.Batch)
}

// recordRunEnd records what a run's end says about the suspects of its item. It returns the examination of the
// backend server if that has broken off the run, and nil otherwise.
func (r *runner) recordRunEnd(b catalog.Backend, suspects []string, began time.Time, end runEnd) *quarantine.Examination {
	switch end {
	case runComplete:
		r.s.opts.Quarantine.RunCompleted(suspects)
	case runInterrupted:
		return r.s.opts.Quarantine.RunInterrupted(b, suspects, began) // the next run is later than the decision
	}
	return nil
}

// stop cancels all runs and waits until their outcomes are handled.
func (r *runner) stop(ctx context.Context) {
	r.mu.Lock()
	r.stopped = true
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

// itemRequest returns the request of an item of a job.
func itemRequest(j openJob, item *Item) *serving.Request {
	r := &serving.Request{
		ID: item.ID, Method: "POST", Host: j.job.Host, Target: item.Target, Path: item.Target,
		Header: make(map[string][]string, len(item.Header)), Body: item.Body, ReceivedAt: time.Now(),
		Identity: j.identity,
	}
	for name, value := range item.Header {
		r.Header.Set(name, value)
	}
	return r
}
