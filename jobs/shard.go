package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// phase is how far this process is with a shard.
type phase uint8

const (
	foreign  phase = iota // another process owns the shard
	claiming              // the group has named this process; the epoch is not set yet
	owning                // this process alone can write, and has folded all that was written
)

const (
	producerName = "owner"
	shardRetry   = 100 * time.Millisecond
)

// shard is one partition of the results.
type shard struct {
	s *Service
	// part holds the results, content the jobs' items.
	part    keyedlog.Partition
	content keyedlog.Partition

	mu       sync.Mutex
	phase    phase
	epoch    int64
	sequence int64
	// end is the end of the partition after all that this owner has read and
	// written, while no append is in progress.
	end int64
	// next is the next free position of each job with results that are not
	// folded yet.
	next map[string]int
	// stopContent ends followContent.
	stopContent context.CancelFunc
	// finished waits to be appended; checkpoint says that progress does, and
	// checkpointAll that of all items.
	finished      []finished
	checkpoint    bool
	checkpointAll bool
	// flushed is closed when everything that waited has been appended.
	flushed chan struct{}
	wakeup  chan struct{}
}

// finished is a result on its way to the log.
type finished struct {
	job    string
	result Result
}

func newShard(s *Service, index int) *shard {
	return &shard{
		s:       s,
		part:    keyedlog.Partition{Topic: s.opts.ResultTopic, Index: index},
		content: keyedlog.Partition{Topic: s.opts.ContentTopic, Index: index},
		wakeup:  make(chan struct{}, 1), flushed: make(chan struct{}),
	}
}

// claim starts to take the shard on; it returns false if that was done before.
// The items of the shard's jobs are followed until it is released.
func (sh *shard) claim(ctx context.Context) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.phase != foreign {
		return false
	}
	sh.phase = claiming
	ctx, sh.stopContent = context.WithCancel(ctx)
	go sh.followContent(ctx)
	return true
}

// followContent reads the items of the shard's jobs.
func (sh *shard) followContent(ctx context.Context) {
	pace := keyedlog.PollConfig{MaxWait: followWait, MinInterval: followGap, RetryDelay: followStop}
	keyedlog.NewFollower(sh.s.opts.Log, sh.content, contentView{view{sh.s.table, sh.content}, sh}, pace, sh.s.opts.Observe).Run(ctx)
}

// contentView feeds content into the table and wakes the runner. It implements
// keyedlog.View.
type contentView struct {
	view
	sh *shard
}

// Rebuild implements keyedlog.View.
func (v contentView) Rebuild(records []keyedlog.Record) { v.Apply(records) }

// Apply implements keyedlog.View.
func (v contentView) Apply(records []keyedlog.Record) {
	v.view.Apply(records)
	v.sh.s.runner.wake()
}

// release gives the shard up; it returns false if it was foreign.
func (sh *shard) release() bool {
	sh.mu.Lock()
	was := sh.phase
	sh.phase = foreign
	sh.finished = nil
	sh.next = nil
	if sh.stopContent != nil {
		sh.stopContent()
		sh.stopContent = nil
	}
	sh.mu.Unlock()
	sh.s.shardsChanged.Store(true)
	if was != foreign {
		sh.s.table.forget(sh.holds)
	}
	return was != foreign
}

// holds reports whether a job belongs to the shard.
func (sh *shard) holds(id string) bool { return shardOf(id, len(sh.s.shards)) == sh.part.Index }

func (sh *shard) owned() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.phase == owning
}

func (sh *shard) claimed() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.phase == claiming
}

// takeOver sets a new epoch, which fences all former owners, and then reads
// everything that they wrote.
func (sh *shard) takeOver(ctx context.Context) {
	epoch, ok := sh.fence(ctx)
	for ok && sh.claimed() && ctx.Err() == nil {
		records, end, err := sh.readAll(ctx)
		if err == nil {
			view{sh.s.table, sh.part}.Apply(records)
			sh.own(epoch, end)
			return
		}
		event.Log(sh.s.opts.Logger, event.LogDown, "call", "read shard", "shard", sh.part.Index, "cause", err)
		delay.Wait(ctx, shardRetry)
	}
}

// fence sets an epoch above all others.
func (sh *shard) fence(ctx context.Context) (epoch int64, ok bool) {
	epoch = time.Now().UnixMilli()
	raise := int64(1)
	for ctx.Err() == nil && sh.claimed() {
		_, err := sh.s.opts.Log.Append(ctx, sh.part, nil, keyedlog.Condition{Producer: producerName, Epoch: epoch})
		switch {
		case err == nil:
			return epoch, true
		case errors.Is(err, keyedlog.ErrFenced):
			epoch += raise // another clock is ahead of this one
			raise *= 2
		default:
			delay.Wait(ctx, shardRetry)
		}
	}
	return 0, false
}

// readAll returns the newest records of the shard. Nobody else writes it, so the
// pages are a snapshot.
func (sh *shard) readAll(ctx context.Context) (records []keyedlog.Record, end int64, err error) {
	after := ""
	for {
		page, err := sh.s.opts.Log.Newest(ctx, sh.part, after)
		if err != nil {
			return nil, 0, err
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return records, page.End, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

func (sh *shard) own(epoch, end int64) {
	sh.mu.Lock()
	if sh.phase == claiming {
		sh.phase, sh.epoch, sh.sequence, sh.end = owning, epoch, 1, end
		sh.next = make(map[string]int)
	}
	sh.mu.Unlock()
	event.Log(sh.s.opts.Logger, event.ShardOwned, "shard", sh.part.Index, "epoch", epoch, "end", end)
	sh.s.shardsChanged.Store(true)
	sh.s.runner.wake()
}

// verify gives the shard up if the log holds more than this owner has read and
// written.
func (sh *shard) verify(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	sh.mu.Lock()
	end, epoch := sh.end, sh.epoch
	sh.mu.Unlock()
	h, err := sh.s.opts.Log.Read(ctx, sh.part, end, 0)
	if err != nil && !errors.Is(err, keyedlog.ErrTruncated) {
		return err
	}
	sh.mu.Lock()
	stale := sh.phase == owning && sh.epoch == epoch && sh.end == end && (err != nil || h.End > end)
	sh.mu.Unlock()
	if stale && sh.release() {
		event.Log(sh.s.opts.Logger, event.ShardReleased, "shard", sh.part.Index, "generation", 0, "cause", "another owner has written")
	}
	return nil
}

// add hands a result to the writer unless that was done in the present epoch,
// and returns the epoch; 0 if the shard is not owned.
func (sh *shard) add(job string, r Result, before int64) int64 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.phase != owning {
		return 0
	}
	if before == sh.epoch {
		return before
	}
	sh.finished = append(sh.finished, finished{job, r})
	sh.wake()
	return sh.epoch
}

// position returns the next position of a job.
func (sh *shard) position(job string) int {
	p, begun := sh.next[job]
	if !begun {
		p = sh.s.table.positions(job)
	}
	sh.next[job] = p + 1
	return p
}

// positions returns how many positions of a job hold results.
func (t *Table) positions(id string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e := t.byID[id]; e != nil {
		return len(e.results)
	}
	return 0
}

// wrote folds records that this owner has appended, unless the shard was given
// up meanwhile.
func (sh *shard) wrote(epoch int64, records []keyedlog.Record, at keyedlog.AppendResult) {
	sh.mu.Lock()
	still := sh.phase == owning && sh.epoch == epoch
	if still {
		sh.end = max(sh.end, at.End)
	}
	sh.mu.Unlock()
	if still {
		sh.s.applyOwn(sh.part, records, at.First)
	}
}

func (sh *shard) currentEpoch() int64 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.phase != owning {
		return 0
	}
	return sh.epoch
}

// ownedShards returns the shards among the partitions of a membership.
func ownedShards(parts []keyedlog.Partition, topic string, shards int) map[int]bool {
	owned := make(map[int]bool, len(parts))
	for _, p := range parts {
		if p.Topic == topic && p.Index < shards {
			owned[p.Index] = true
		}
	}
	return owned
}
