package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/eventstream"
	"github.com/catkinrudder/catkinrudder/internal/boottime"
	"github.com/catkinrudder/catkinrudder/internal/intake"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/quarantine"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// Options configure a Service.
type Options struct {
	// Log and Groups are the log service, which other packages call the store.
	Log    keyedlog.Log
	Groups keyedlog.Groups
	// Member identifies this process; it is unique over all processes and restarts.
	Member string
	// Instance is this process's name among its peers.
	Instance string
	// JobTopic, ContentTopic and ResultTopic are keyed topics of the log.
	JobTopic     string
	ContentTopic string
	ResultTopic  string
	// Shards is the number of partitions of each of ContentTopic and ResultTopic.
	Shards int
	// RecordBytes and CallBytes bound the size of a record and of an append.
	RecordBytes int
	CallBytes   int
	// Now returns the time of day; nil selects time.Now.
	Now func() time.Time
	// MinTTL is the shortest time to live of a group member.
	MinTTL time.Duration
	// Retention is how long a job can be read after its submission. Jobs are never
	// deleted if it is 0.
	Retention time.Duration

	// Config returns the current configuration, or nil if there is none yet.
	Config func() *catalog.Config
	// Backends returns the backend servers of a service.
	Backends func(service string) []catalog.Backend
	// AllBackends calls f for each backend server.
	AllBackends func(f func(catalog.Backend))
	Table       *balance.Table
	Pool        *upstream.Pool
	// Memory bounds what is kept of the outputs of items together; nil is unbounded.
	Memory *intake.Budget
	// Quarantine holds back items that crash backend servers. PromptParts returns the ids of
	// the prompt parts that an item with these header fields shares with others.
	Quarantine  *quarantine.Guard
	PromptParts func(header map[string]string) []string
	Logger      *log.Logger
	// StoreAge returns the time since the log last responded to a call of this
	// process. The group's heartbeat guarantees regular calls.
	StoreAge func() time.Duration
	// Peers are the other processes.
	Peers Peers
	// Capacity is this process's capacity in cores by its settings; 0 if it is unknown.
	Capacity float64
	// Observer is called when a follower loses or regains the log.
	Observer keyedlog.Observer
	// Decided is called for each decision on batch items that is counted; nil ignores them.
	Decided func(d Decision, reason string)
	// ResponseEnded is called for each response that has ended; nil ignores them.
	ResponseEnded func(routeKind string, evidence upstream.Evidence)
	// OutOfOrder is called for each event of an item that does not follow the one before it; nil
	// ignores them.
	OutOfOrder func(reason eventstream.Reason)
}

// ShardReport is the state of a shard as its owner reports it.
type ShardReport struct {
	Shard int   `cbor:"1,keyasint"`
	Epoch int64 `cbor:"2,keyasint"`
	// Offset is the offset up to which the owner has followed the job topic.
	Offset int64 `cbor:"3,keyasint"`
	// Waiting holds the tokens of unfinished items by route, for the jobs before
	// Offset that belong to no workspace.
	Waiting map[string]int64 `cbor:"4,keyasint,omitempty"`
	// WorkspaceWaiting holds the same for the jobs of workspaces, by accountKey. Partial states
	// that accounts are left out; their jobs count as unfinished.
	WorkspaceWaiting map[uint64]int64 `cbor:"5,keyasint,omitempty"`
	Partial          bool             `cbor:"6,keyasint,omitempty"`
}

// Peers gives access to the other processes, as far as they are reachable.
type Peers interface {
	// OwnerOf returns the address of the owner of a shard.
	OwnerOf(shard int) (address string, known bool)
	// ShardReport returns the newest report on a shard.
	ShardReport(shard int) (ShardReport, bool)
	// StoreConnectedPeer returns the address of a process that has recently had a response
	// from the store.
	StoreConnectedPeer() (address string, known bool)
	// NearestRTT returns the shortest duration of a call to the log that a
	// reachable process has reported.
	NearestRTT() (rtt time.Duration, known bool)
	// Capacities returns the present capacity of this process and those of the reachable
	// processes to which the log answers a short call within maxRTT; 0 is unknown.
	Capacities(maxRTT time.Duration) (own float64, peers []float64)
	// ReachableCount returns the number of reachable processes.
	ReachableCount() int
	// OldestFormat returns the lowest StoredFormat of all processes.
	OldestFormat() int
	// Submit forwards a submission to another process.
	Submit(ctx context.Context, address string, job *Job, quota int64) error
	// ItemBody queries an owner for the body of an item.
	ItemBody(ctx context.Context, address, id, itemID string) (body []byte, found bool, err error)
	// List queries an owner for a listing.
	List(ctx context.Context, address, id string, after int, wait time.Duration) (Listing, error)
}

// Service accepts, stores and runs batch jobs.
type Service struct {
	opts   Options
	table  *Table
	jobs   *keyedlog.Follower
	shards []*shard
	runner *runner
	// acceptMu serializes the submissions that this process accepts. appendTime is
	// the moving average of the duration of their appends.
	acceptMu   sync.Mutex
	appendTime time.Duration
	stopping   atomic.Bool
	// reportMu guards the reports, which are cached for reportInterval. shardsChanged
	// is set when the ownership of a shard has changed, which renews them early.
	reportMu      sync.Mutex
	reports       []ShardReport
	reportedAt    time.Time
	shardsChanged atomic.Bool
	// history holds the last report on each shard.
	history *reportHistory
	// rttMu guards the measured durations of short calls to the log.
	rttMu   sync.Mutex
	rtts    [rttSamples]time.Duration
	rttNext int
	// lastJoin is when the heartbeat began that the group last answered. breaks counts the answers that did not
	// continue the membership.
	lastJoin boottime.Stamp
	breaks   atomic.Int64
}

const (
	// followMaxWait is how long a read of the log waits for records. followMinInterval
	// is the minimum time between reads, in which records accumulate. followRetryDelay
	// is the delay after a failed read.
	followMaxWait     = 1500 * time.Millisecond
	followMinInterval = 15 * time.Millisecond
	followRetryDelay  = 150 * time.Millisecond
	// reportInterval is how long a report on the shards is cached.
	reportInterval = 100 * time.Millisecond
)

// New returns a service that does nothing until Run is called.
func New(opts Options) *Service {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Memory == nil {
		opts.Memory = intake.Unbounded()
	}
	s := &Service{opts: opts, history: newReportHistory(opts.Shards)}
	s.table = newTable(opts.Now, s.jobAccepted, s.logUnreadable)
	s.jobs = s.follower(keyedlog.Partition{Topic: opts.JobTopic})
	for i := range opts.Shards {
		s.shards = append(s.shards, newShard(s, i))
	}
	s.runner = newRunner(s)
	return s
}

func (s *Service) follower(p keyedlog.Partition) *keyedlog.Follower {
	poll := keyedlog.PollConfig{MaxWait: followMaxWait, MinInterval: followMinInterval, RetryDelay: followRetryDelay}
	return keyedlog.NewFollower(s.opts.Log, p, view{s.table, p}, poll, s.opts.Observer)
}

// Run follows the log, takes part in the shard assignment and runs items until ctx
// ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.jobs.Run(ctx) })
	for _, sh := range s.shards {
		wg.Go(func() { sh.runWriter(ctx) })
	}
	wg.Go(func() { s.runMembership(ctx) })
	wg.Go(func() { s.runExpiry(ctx) })
	wg.Go(func() { s.runner.run(ctx) })
	wg.Wait()
}

// Ready reports whether the accepted jobs have been read from the log.
func (s *Service) Ready() bool {
	_, known := s.jobs.Age()
	return known
}

// Reports returns a report on each shard that this process owns. The reports are
// renewed after reportInterval or when the ownership of a shard has changed.
func (s *Service) Reports() []ShardReport {
	s.reportMu.Lock()
	defer s.reportMu.Unlock()
	now := time.Now()
	if now.Sub(s.reportedAt) < reportInterval && !s.shardsChanged.Swap(false) {
		return s.reports
	}
	s.reportedAt = now
	s.reports = nil
	offset := s.jobs.Next()
	budget := maxReportedAccounts
	for _, sh := range s.shards {
		if epoch := sh.currentEpoch(); epoch > 0 {
			report := ShardReport{Shard: sh.part.Index, Epoch: epoch, Offset: offset}
			budget -= report.setWaiting(s.table.waitingTokens(sh.contains, 0, offset), budget)
			s.reports = append(s.reports, report)
		}
	}
	return s.reports
}

// Work returns what this process does with the open items of its shards.
func (s *Service) Work() Work {
	w := s.runner.waits.published()
	for _, sh := range s.shards {
		switch {
		case sh.owned():
			w.OwnedShards++
		case sh.claimed():
			w.ClaimedShards++
		}
	}
	return w
}

// Table returns the state of all jobs.
func (s *Service) Table() *Table { return s.table }

// jobAccepted logs a newly accepted job and wakes the runner.
func (s *Service) jobAccepted(id string, j *summary) {
	event.Log(s.opts.Logger, event.JobAccepted, "job", id, "workspace", j.Workspace, "route", j.Route, "items", len(j.Tokens), "tokens", j.totalTokens(),
		"shard", shardOf(id, s.opts.Shards))
	if s.runner != nil {
		s.runner.wake()
	}
}

func (s *Service) logUnreadable(p keyedlog.Partition, r keyedlog.Record, err error) {
	event.Log(s.opts.Logger, event.RecordSkipped, "topic", p.Topic, "part", p.Index, "offset", r.Offset, "key", r.Key, "cause", err)
}
