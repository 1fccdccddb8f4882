package jobs

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
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
	// JobTopic, ContentTopic and ResultTopic are keyed topics of the log.
	JobTopic     string
	ContentTopic string
	ResultTopic  string
	Shards       int
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
	// StoreAge returns how long ago the log last answered a call of this
	// process; the group's heartbeat is the call that it always makes.
	StoreAge func() time.Duration
	// Peers are the other processes.
	Peers Peers
	// Observe is told when a follower loses or regains the log.
	Observe keyedlog.Observer
}

// ShardReport tells what the owner of a shard knows of it.
type ShardReport struct {
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
	ShardReport(shard int) (ShardReport, bool)
	// WithStore returns the address of a process that has heard from the store
	// of late.
	StoreConnected() (address string, known bool)
	// NearestRTT returns the shortest time of a call to the log that a process
	// that is heard has reported.
	NearestRTT() (rtt time.Duration, known bool)
	// Alive returns how many processes are heard.
	ReachableCount() int
	// Submit hands a submission to another process.
	Submit(ctx context.Context, address string, job *Job, quota int64) error
	// Body asks an owner for the body of an item.
	ItemBody(ctx context.Context, address, id, itemID string) (body []byte, found bool, err error)
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
	// accepting serializes the acceptances of this process. appendTime is the
	// moving average of how long their appends take.
	accepting  sync.Mutex
	appendTime time.Duration
	stopping   atomic.Bool
	// reporting guards the reports, which are kept for a short while.
	reporting     sync.Mutex
	reports       []ShardReport
	reportedAt    time.Time
	shardsChanged atomic.Bool
	// rttGuard guards the measured times of short calls to the log.
	rttGuard sync.Mutex
	rtts     [rttSamples]time.Duration
	rttNext  int
	joinedAt atomic.Int64 // Unix nanoseconds of the last confirmed membership
}

const (
	// followWait is how long a read of the log waits for records, followGap
	// the time in which records gather between reads.
	followWait = 1500 * time.Millisecond
	followGap  = 15 * time.Millisecond
	followStop = 150 * time.Millisecond
	// reportInterval is how long a report on the shards is kept.
	reportInterval = 100 * time.Millisecond
)

// New returns a service; Run makes it work.
func New(opts Options) *Service {
	s := &Service{opts: opts}
	s.table = newTable(s.logAccepted, s.logUnreadable)
	s.jobs = s.follower(keyedlog.Partition{Topic: opts.JobTopic})
	for i := range opts.Shards {
		s.shards = append(s.shards, newShard(s, i))
	}
	s.runner = newRunner(s)
	return s
}

func (s *Service) follower(p keyedlog.Partition) *keyedlog.Follower {
	pace := keyedlog.PollConfig{MaxWait: followWait, MinInterval: followGap, RetryDelay: followStop}
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
func (s *Service) Reports() []ShardReport {
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
			s.reports = append(s.reports, ShardReport{Shard: sh.part.Index, Epoch: epoch, Offset: offset, Waiting: waiting})
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
		if report, known := s.opts.Peers.ShardReport(sh.part.Index); known && !sh.owned() {
			from = report.Offset
			sum += report.Waiting[route]
		}
		sum += s.table.waiting(sh.holds, from, math.MaxInt64)[route]
	}
	return sum
}

// Table returns the folded state.
func (s *Service) Table() *Table { return s.table }

func (s *Service) logAccepted(id string, j *summary) {
	event.Log(s.opts.Logger, event.JobAccepted, "job", id, "route", j.Route, "items", len(j.Tokens), "tokens", j.total(),
		"shard", shardOf(id, s.opts.Shards))
	if s.runner != nil {
		s.runner.wake()
	}
}

func (s *Service) logUnreadable(p keyedlog.Partition, r keyedlog.Record, err error) {
	event.Log(s.opts.Logger, event.RecordSkipped, "topic", p.Topic, "part", p.Index, "offset", r.Offset, "cause", err)
}
