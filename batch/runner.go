package batch

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
)

// Times and limits of the runner.
const (
	tickInterval       = 25 * time.Millisecond
	commitRetryDelay   = 200 * time.Millisecond
	jobRetryDelay      = time.Second
	maxBufferedBytes   = 8 << 20
	maxBackgroundTasks = 2
	// inputCacheSize is the number of input chunks cached for each shard.
	inputCacheSize = 8
	// DefaultRetention is how long results stay readable if their service
	// declares no retention.
	DefaultRetention = 30 * 24 * time.Hour
)

// Stream is the part of commitlog.Stream that the runner uses.
type Stream interface {
	blob.Stream
	// CatchUp blocks until everything that is in the log now has been folded.
	CatchUp(ctx context.Context) error
}

// Shard is one stream of files and jobs, with its fold.
type Shard struct {
	ID     int
	Stream Stream
	Table  *Table
}

// Services is the part of the desired state that the runner uses.
type Services interface {
	Catalog
	// MaxTries returns the maximum number of tries of one item, zero if unset.
	MaxTries(service string) int
	// ResultRetention returns how long results stay readable, zero if unset.
	ResultRetention(service string) time.Duration
}

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	// Incarnation of this process; attempt ids start with it.
	Incarnation string
	Shards      []Shard
	Dispatcher  Dispatcher
	Services    Services
	// Owner reports whether this process currently runs the jobs of a shard. Two
	// simultaneous owners duplicate work but never produce a second result.
	Owner func(shard int) bool
	// RecoverShard is called by a new owner once it has folded what was in the
	// log, and no item is dispatched before it returns nil. It may be nil. It is
	// intended to query sidecars for attempts that former owners left running.
	RecoverShard func(ctx context.Context, shard int) error
	Logger       *log.Logger
}

// Runner runs the jobs of the shards it owns.
type Runner struct {
	opts      RunnerOptions
	sched     *Scheduler
	shards    []*shardState
	ended     chan endedAttempt
	callbacks chan func()
	wg        sync.WaitGroup

	// The fields below are accessed only by the goroutine that calls Run.
	attempts   map[AttemptID]*attempt
	jobs       map[string]*jobState
	pending    []AttemptEnd
	buffered   int
	background int
}

// jobState is the state that the owner of a job keeps in addition to its row.
type jobState struct {
	shard     *shardState
	collector collector
	// committing counts the segments whose commit has not completed.
	committing int
	// running counts the attempts whose goroutine has not returned, including
	// stopped ones.
	running int
	// inBackground reports that the job is being validated or completed.
	inBackground bool
	// expired reports that the scheduler has expired the job.
	expired bool
}

// attempt is an attempt that the scheduler has started and whose end has not been
// processed yet.
type attempt struct {
	job      *jobState
	item     uint32
	customID string
	cancel   context.CancelFunc
	stopped  bool
}

// endedAttempt is an attempt that has ended, with its final result if it has one.
type endedAttempt struct {
	id       AttemptID
	customID string
	result   *Result
	ended    AttemptEnd
}

// NewRunner returns a runner that is inactive until Run is called.
func NewRunner(opts RunnerOptions) *Runner {
	r := &Runner{
		opts:      opts,
		sched:     NewScheduler(),
		ended:     make(chan endedAttempt, 256),
		callbacks: make(chan func(), 16),
		attempts:  make(map[AttemptID]*attempt),
		jobs:      make(map[string]*jobState),
	}
	for _, s := range opts.Shards {
		r.shards = append(r.shards, &shardState{Shard: s, store: blob.NewCachingStore(s.Stream, inputCacheSize)})
	}
	return r
}

// Run runs jobs until ctx ends and then waits for the goroutines it started.
func (r *Runner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case e := <-r.ended:
			r.handleEnded(e)
		case f := <-r.callbacks:
			f()
		}
		r.drainEvents()
		r.tick(ctx, time.Now())
	}
}

// drainEvents handles all pending events without blocking.
func (r *Runner) drainEvents() {
	for {
		select {
		case e := <-r.ended:
			r.handleEnded(e)
		case f := <-r.callbacks:
			f()
		default:
			return
		}
	}
}

func (r *Runner) handleEnded(e endedAttempt) {
	a, ok := r.attempts[e.id]
	if !ok {
		return
	}
	a.cancel()
	a.job.running--
	if e.result != nil {
		a.job.collector.add(time.Now(), *e.result)
		r.buffered += e.result.size()
	}
	if a.stopped {
		delete(r.attempts, e.id)
		return
	}
	a.customID = e.customID
	r.pending = append(r.pending, e.ended)
}

func (r *Runner) tick(ctx context.Context, now time.Time) {
	r.syncShards(ctx)
	in := r.gatherInputs(ctx, now)
	out := r.sched.Tick(now, in)
	for _, g := range out.Exhausted {
		r.failExhausted(now, g)
	}
	for _, e := range in.Ended {
		delete(r.attempts, e.Attempt)
	}
	for _, id := range out.Stop {
		r.stop(id)
	}
	for _, job := range out.Expire {
		if js, ok := r.jobs[job]; ok {
			js.expired = true
		}
	}
	for _, st := range out.Start {
		r.startRange(ctx, st)
	}
	r.flush(ctx, now)
}

// spawn runs work on a new goroutine, and the function that work returns on the
// goroutine that calls Run.
func (r *Runner) spawn(ctx context.Context, work func() func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f := work()
		select {
		case r.callbacks <- f:
		case <-ctx.Done():
		}
	}()
}

// gatherInputs collects the inputs of the scheduler and starts the background
// tasks that open jobs need.
func (r *Runner) gatherInputs(ctx context.Context, now time.Time) Inputs {
	in := Inputs{FreeSlots: make(map[string]int), Ended: r.pending, Paused: r.buffered >= maxBufferedBytes}
	r.pending = nil
	open := make(map[string]bool)
	for _, s := range r.shards {
		if !s.owned || !s.ready {
			continue
		}
		for _, v := range s.Table.OpenJobs() {
			open[v.ID] = true
			js := r.ensureJob(s, v.ID)
			r.runBackground(ctx, now, js, v)
			if v.Status != InProgress || js.expired {
				continue
			}
			in.Jobs = append(in.Jobs, r.jobInput(s, v))
			if _, ok := in.FreeSlots[v.Service]; !ok {
				in.FreeSlots[v.Service] = r.opts.Dispatcher.FreeSlots(v.Service)
			}
		}
	}
	r.removeIdleJobs(open)
	return in
}

func (r *Runner) ensureJob(s *shardState, id string) *jobState {
	js, ok := r.jobs[id]
	if !ok {
		js = &jobState{shard: s}
		r.jobs[id] = js
	}
	return js
}

// removeIdleJobs removes jobs that are no longer run here once they are idle.
func (r *Runner) removeIdleJobs(open map[string]bool) {
	for id, js := range r.jobs {
		if !open[id] && js.idle() && !js.inBackground {
			delete(r.jobs, id)
		}
	}
}

// idle reports whether every attempt has returned and every result is folded.
func (js *jobState) idle() bool {
	return js.running == 0 && js.committing == 0 && len(js.collector.results) == 0
}

func (r *Runner) jobInput(s *shardState, v JobView) JobInput {
	return JobInput{
		ID: v.ID, Service: v.Service, Total: v.Total, Left: v.Total - v.SucceededItems - v.FailedItems, Deadline: time.Unix(v.Deadline, 0),
		MaxTries: r.opts.Services.MaxTries(v.Service),
		Done:     func(item uint32) bool { return s.Table.ItemDone(v.ID, item) },
	}
}

// runBackground starts the validation or the completion of a job when it is due.
func (r *Runner) runBackground(ctx context.Context, now time.Time, js *jobState, v JobView) {
	if js.inBackground || r.background >= maxBackgroundTasks {
		return
	}
	late := js.expired || now.Unix() >= v.Deadline
	var work func(context.Context, *shardState, JobView, bool) error
	switch {
	case v.Status == Validating && !late:
		work = r.validate
	case v.Status == Validating, v.Status == Finalizing, v.Status == Cancelling, v.Status == InProgress && js.expired:
		if v.Status != Finalizing && !js.idle() {
			return
		}
		work = r.finish
	default:
		return
	}
	js.inBackground = true
	r.background++
	expired := late && (v.Status == Validating || v.Status == InProgress)
	r.spawn(ctx, func() func() {
		err := work(ctx, js.shard, v, expired)
		if err != nil {
			event.Log(r.opts.Logger, event.JobStepFailed, "job", v.ID, "status", v.Status, "err", err)
			delay.Wait(ctx, jobRetryDelay)
		}
		return func() {
			js.inBackground = false
			r.background--
		}
	})
}

// flush commits the buffered results that are due.
func (r *Runner) flush(ctx context.Context, now time.Time) {
	for id, js := range r.jobs {
		ending := js.running == 0 && len(js.collector.results) > 0
		if !js.collector.shouldFlush(now) && !ending {
			continue
		}
		results, size := js.collector.takeAll()
		js.committing++
		r.spawn(ctx, func() func() {
			err := commitSegment(ctx, js.shard.Stream, id, results)
			if err != nil {
				event.Log(r.opts.Logger, event.JobStepFailed, "job", id, "items", len(results), "err", err)
			} else {
				r.logItemsDone(id, results)
			}
			return func() {
				js.committing--
				r.buffered -= size
			}
		})
	}
}

func (r *Runner) logItemsDone(job string, results []Result) {
	for _, res := range results {
		event.Log(r.opts.Logger, event.ItemDone, "job", job, "item", res.Index, "status", res.Status, "error", res.ErrorCode)
	}
}

// commitSegment retries the append of results until they have been folded. A
// segment that is appended twice is harmless: the first completion of an item
// wins.
func commitSegment(ctx context.Context, stream Stream, job string, results []Result) error {
	s, err := NewSegment(job, results, time.Now().Unix())
	if err != nil {
		return err
	}
	e, err := commitlog.NewEntry(KindSegment, s)
	if err != nil {
		return err
	}
	for {
		_, err = stream.Commit(ctx, e)
		if err == nil || ctx.Err() != nil {
			return err
		}
		delay.Wait(ctx, commitRetryDelay)
	}
}
