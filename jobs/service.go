package jobs

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// Options are the settings of a Service.
type Options struct {
	Log    keyedlog.Log
	Groups keyedlog.Groups
	// Member names this process, unique among all that ever lived.
	Member string
	// Instance is this process's name towards its peers.
	Instance string
	// JobTopic and ResultTopic are keyed topics of the log.
	JobTopic    string
	ResultTopic string
	Shards      int
	// RecordBytes and CallBytes bound a record and an append.
	RecordBytes int
	CallBytes   int
	// MinTTL is the shortest time to live of a group's member.
	MinTTL time.Duration
	// Stay is how long a job can be read after its submission.
	Stay time.Duration

	Configs  func() *catalog.Config
	Backends func(service string) []catalog.Backend
	// AllBackends calls f for each backend server.
	AllBackends func(f func(catalog.Backend))
	Table       *balance.Table
	Pool        *upstream.Pool
	Logger      *log.Logger
	// Peers are the other processes.
	Peers Peers
	// Observe is told when a follower loses or regains the log.
	Observe keyedlog.Observer
}

// Report tells what the owner of a shard knows of it.
type Report struct {
	Shard int   `cbor:"1,keyasint"`
	Epoch int64 `cbor:"2,keyasint"`
	// Offset is how far the owner has followed the jobs.
	Offset int64 `cbor:"3,keyasint"`
	// Waiting holds the tokens of unfinished items by route, of jobs before
	// Offset.
	Waiting map[string]int64 `cbor:"4,keyasint,omitempty"`
}

// Peers are the other processes, as this one hears of them.
type Peers interface {
	// OwnerOf returns the address of the owner of a shard.
	OwnerOf(shard int) (address string, known bool)
	// Report returns the newest report on a shard.
	Report(shard int) (Report, bool)
	// List asks an owner for a listing.
	List(ctx context.Context, address, id string, after int, wait time.Duration) (Listing, error)
}

// Service accepts, keeps and runs batch jobs.
type Service struct {
	opts   Options
	table  *Table
	jobs   *keyedlog.Follower
	shards []*shard
	runner *runner
	// accepting serializes the acceptances of this process.
	accepting sync.Mutex
	stopping  atomic.Bool
	// reporting guards the reports, which are kept for a short while.
	reporting     sync.Mutex
	reports       []Report
	reportedAt    time.Time
	shardsChanged atomic.Bool
	joinedAt      atomic.Int64 // Unix nanoseconds of the last confirmed membership
}

const (
	// followWait is how long a read of the log waits for records, followGap
	// the time in which records gather between reads.
	followWait = 1500 * time.Millisecond
	followGap  = 15 * time.Millisecond
	followStop = 150 * time.Millisecond
	// acceptTries bounds the conditional appends of one submission.
	acceptTries = 8
	// looseQuota is the part of a quota up to which a job is accepted without
	// regard to other acceptances at the same moment.
	looseQuota = 0.5
	refusedJob = time.Second
	// reportInterval is how long a report on the shards is kept.
	reportInterval = 100 * time.Millisecond
)

// New returns a service; Run makes it work.
func New(opts Options) *Service {
	s := &Service{opts: opts}
	s.table = NewTable(s.logAccepted, s.logUnreadable)
	s.jobs = s.follower(keyedlog.Partition{Topic: opts.JobTopic})
	for i := range opts.Shards {
		part := keyedlog.Partition{Topic: opts.ResultTopic, Index: i}
		s.shards = append(s.shards, newShard(s, part))
	}
	s.runner = newRunner(s)
	return s
}

func (s *Service) follower(p keyedlog.Partition) *keyedlog.Follower {
	pace := keyedlog.Pace{Wait: followWait, Gap: followGap, Retry: followStop}
	return keyedlog.NewFollower(s.opts.Log, p, view{s.table, p}, pace, s.opts.Observe)
}

// Run follows the log, takes part in the ownership of shards and runs items
// until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.jobs.Run(ctx) })
	for _, sh := range s.shards {
		wg.Go(func() { sh.write(ctx) })
	}
	wg.Go(func() { s.membership(ctx) })
	wg.Go(func() { s.expire(ctx) })
	wg.Go(func() { s.runner.run(ctx) })
	wg.Wait()
}

// Ready reports whether the accepted jobs are known.
func (s *Service) Ready() bool {
	_, known := s.jobs.Age(time.Now())
	return known
}

// Reports returns a report on each shard that this process owns. It is made
// anew after reportInterval or when a shard has changed hands.
func (s *Service) Reports() []Report {
	s.reporting.Lock()
	defer s.reporting.Unlock()
	now := time.Now()
	if now.Sub(s.reportedAt) < reportInterval && !s.shardsChanged.Swap(false) {
		return s.reports
	}
	s.reportedAt = now
	s.reports = nil
	offset := s.jobs.Next()
	for _, sh := range s.shards {
		if epoch := sh.currentEpoch(); epoch > 0 {
			waiting := s.table.waiting(sh.holds, 0, offset)
			s.reports = append(s.reports, Report{Shard: sh.part.Index, Epoch: epoch, Offset: offset, Waiting: waiting})
		}
	}
	return s.reports
}

// waitingTokens sums the tokens of unfinished items on a route. What an owner
// has not reported counts as unfinished.
func (s *Service) waitingTokens(route string) int64 {
	var sum int64
	for _, sh := range s.shards {
		from := int64(0)
		if report, known := s.opts.Peers.Report(sh.part.Index); known && !sh.owned() {
			from = report.Offset
			sum += report.Waiting[route]
		}
		sum += s.table.waiting(sh.holds, from, math.MaxInt64)[route]
	}
	return sum
}

// Table returns the folded state.
func (s *Service) Table() *Table { return s.table }

// Submit accepts a job. It returns nil once the job stands on the log. A
// refusal with outcome not_run says that no item of the job will ever run.
func (s *Service) Submit(ctx context.Context, job *Job, quota int64) error {
	if s.table.Known(job.ID) {
		return nil
	}
	if !s.Ready() {
		return errkind.New(errkind.LogUnavailable, "jobs are not known yet").WithRetryAfter(refusedJob)
	}
	value, err := encode(job)
	if err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "job %s", job.ID)
	}
	s.accepting.Lock()
	defer s.accepting.Unlock()
	return s.accept(ctx, job, split(jobKey(job.ID), value, s.opts.RecordBytes), quota)
}

// accept appends the job's records at the end of the jobs that the quota was
// checked against.
func (s *Service) accept(ctx context.Context, job *Job, records []keyedlog.Record, quota int64) error {
	part := keyedlog.Partition{Topic: s.opts.JobTopic}
	inDoubt := false
	for range acceptTries {
		if s.table.Known(job.ID) {
			return nil
		}
		end := s.jobs.Next()
		waiting := s.waitingTokens(job.Route)
		if quota > 0 && waiting+job.Tokens() > quota {
			return s.overQuota(job, waiting, quota, inDoubt)
		}
		cond := keyedlog.Condition{AtEnd: end, Conditional: true}
		if quota == 0 || float64(waiting+job.Tokens()) <= looseQuota*float64(quota) {
			cond = keyedlog.Condition{}
		}
		at, err := s.appendAll(ctx, part, records, cond)
		switch {
		case err == nil:
			s.applyOwn(part, records, at.First)
			return nil
		case errors.Is(err, keyedlog.ErrConflict):
			s.catchUp(ctx, end)
		case errors.Is(err, keyedlog.ErrRefused) && !inDoubt:
			return errkind.Wrap(err, errkind.LogUnavailable, "job %s is not accepted", job.ID).WithRetryAfter(refusedJob)
		default:
			inDoubt = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	if !inDoubt {
		return errkind.New(errkind.Overloaded, "job %s: too many jobs at once", job.ID).WithRetryAfter(refusedJob)
	}
	return errkind.New(errkind.Timeout, "job %s: the log does not answer", job.ID)
}

func (s *Service) overQuota(job *Job, waiting, quota int64, inDoubt bool) error {
	e := errkind.New(errkind.RateLimited, "job %s: %d tokens wait, %d more exceed %d", job.ID, waiting, job.Tokens(), quota)
	if inDoubt {
		return errkind.Wrap(e, errkind.Timeout, "job %s: the log did not answer", job.ID)
	}
	return e.WithRetryAfter(refusedJob)
}

// appendAll appends records in calls of the size that the log takes. The first
// piece, without which the others mean nothing, goes last.
func (s *Service) appendAll(ctx context.Context, p keyedlog.Partition, records []keyedlog.Record, c keyedlog.Condition) (keyedlog.Appended, error) {
	groups := group(records, s.opts.CallBytes)
	var at keyedlog.Appended
	for i := len(groups) - 1; i >= 0; i-- {
		var err error
		if at, err = s.opts.Log.Append(ctx, p, groups[i], c); err != nil {
			return at, err
		}
		c.AtEnd = at.End
	}
	return at, nil
}

// group parts records into runs of at most callBytes.
func group(records []keyedlog.Record, callBytes int) [][]keyedlog.Record {
	var groups [][]keyedlog.Record
	size := 0
	for _, r := range records {
		n := len(r.Key) + len(r.Value) + recordOverhead
		if len(groups) == 0 || size+n > callBytes {
			groups = append(groups, nil)
			size = 0
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], r)
		size += n
	}
	return groups
}

// applyOwn folds records that this process has just appended, before the
// follower reads them back.
func (s *Service) applyOwn(p keyedlog.Partition, records []keyedlog.Record, first int64) {
	own := make([]keyedlog.Record, len(records))
	for i, r := range records {
		r.Offset = first + int64(i)
		own[i] = r
	}
	view{s.table, p}.Apply(own)
	s.runner.wake()
}

// catchUp waits a moment for the follower to go past from.
func (s *Service) catchUp(ctx context.Context, from int64) {
	const step, most = 5 * time.Millisecond, 500 * time.Millisecond
	for waited := time.Duration(0); waited < most && s.jobs.Next() <= from && ctx.Err() == nil; waited += step {
		time.Sleep(step)
	}
}

// Confirm makes sure that the job is not known because it was not accepted: it
// reads the log's end and waits until everything before it is folded.
func (s *Service) Confirm(ctx context.Context, id string) (known bool, err error) {
	part := keyedlog.Partition{Topic: s.opts.JobTopic}
	next := s.jobs.Next()
	h, err := s.opts.Log.Read(ctx, part, next, 0)
	if err != nil {
		return false, err
	}
	view{s.table, part}.Apply(h.Records)
	if h.Next < h.End {
		return s.table.Known(id), errors.New("jobs: far behind the log")
	}
	return s.table.Known(id), nil
}

// End ends a job: none of its items is started any more.
func (s *Service) End(ctx context.Context, id string) error {
	part := keyedlog.Partition{Topic: s.opts.JobTopic}
	records := split(endKey(id), []byte{1}, s.opts.RecordBytes)
	at, err := s.opts.Log.Append(ctx, part, records, keyedlog.Condition{})
	if err != nil {
		return errkind.Wrap(err, errkind.LogUnavailable, "job %s is not ended", id).WithOutcome(errkind.Unknown)
	}
	s.applyOwn(part, records, at.First)
	return nil
}

func (s *Service) logAccepted(j *Job) {
	event.Log(s.opts.Logger, event.JobAccepted, "job", j.ID, "route", j.Route, "items", len(j.Items), "tokens", j.Tokens(),
		"shard", shardOf(j.ID, s.opts.Shards))
	if s.runner != nil {
		s.runner.wake()
	}
}

func (s *Service) logUnreadable(p keyedlog.Partition, r keyedlog.Record, err error) {
	event.Log(s.opts.Logger, event.RecordSkipped, "topic", p.Topic, "part", p.Index, "offset", r.Offset, "cause", err)
}
