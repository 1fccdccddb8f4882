package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// phase is the state of a shard's ownership in this process.
type phase uint8

const (
	notOwned  phase = iota // the shard is not owned by this process
	claiming               // the group has assigned the shard; the epoch is not set yet
	owning                 // only this process can write, and it has applied all that was written
	releasing              // the shard is given up; the state of its jobs is still to be cleared
)

const (
	producerName = "owner"
	// claimSequence is the sequence number of an owner's first append, its claim.
	claimSequence   = 1
	shardRetryDelay = 100 * time.Millisecond
)

// shard is one partition of the results and of the content of jobs, with the state of its
// ownership in this process.
type shard struct {
	s *Service
	// part holds the results, content holds the jobs' items.
	part    keyedlog.Partition
	content keyedlog.Partition

	// owns states that the phase is owning. It is set under mu, and read without it: the table asks for it under
	// its own lock, which the writer takes under mu.
	owns atomic.Bool
	// provedBreaks is how often the membership had broken when the ownership was last proved; proving states that a
	// proof is in progress.
	provedBreaks atomic.Int64
	proving      atomic.Bool

	mu       sync.Mutex
	phase    phase
	epoch    int64
	sequence int64
	// checked is the offset before which no other process has claimed the shard since this one has.
	checked int64
	// nextPositions is the next free position of each job that has results which are not
	// applied yet.
	nextPositions map[string]int
	// stopContent ends followContent.
	stopContent context.CancelFunc
	// pending holds the results to append. checkpoint requests that progress is
	// appended too, and checkpointAll that of all items.
	pending       []pendingResult
	checkpoint    bool
	checkpointAll bool
	// unsent holds the rest of records that are too long for one append.
	unsent [][]keyedlog.Record
	// flushed is closed when everything that was pending has been appended.
	flushed chan struct{}
	wakeup  chan struct{}
}

// pendingResult is a result that is not on the log yet.
type pendingResult struct {
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

// claim marks the shard as assigned to this process, which then has to take it over. It
// returns false if the shard is already claimed or owned. The content of the shard's jobs
// is followed until release.
func (sh *shard) claim(ctx context.Context) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.phase != notOwned {
		return false
	}
	sh.phase = claiming
	ctx, sh.stopContent = context.WithCancel(ctx)
	go sh.followContent(ctx)
	return true
}

// followContent follows the content of the shard's jobs.
func (sh *shard) followContent(ctx context.Context) {
	poll := keyedlog.PollConfig{MaxWait: followMaxWait, MinInterval: followMinInterval, RetryDelay: followRetryDelay}
	keyedlog.NewFollower(sh.s.opts.Log, sh.content, contentView{view{sh.s.table, sh.content}, sh}, poll, sh.s.opts.Observer).Run(ctx)
}

// contentView applies content to the table and wakes the runner. It implements
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

// noGeneration is stated for a release that no assignment of the group has caused.
const noGeneration = 0

// release gives up a claimed or owned shard, and logs the cause, further fields and the open work that the shard has.
// The shard can be claimed again only once the state of its jobs is cleared, because a new claim reads that state anew.
func (sh *shard) release(generation int64, cause any, kv ...any) {
	sh.releaseEpoch(anyEpoch, generation, cause, kv...)
}

// anyEpoch is stated for the release of a shard that is claimed, or owned under any epoch.
const anyEpoch = 0

// releaseEpoch is release for a shard that is owned under an epoch; under another one it stays.
func (sh *shard) releaseEpoch(epoch, generation int64, cause any, kv ...any) {
	previous, released := sh.beginRelease(epoch)
	if !released {
		return
	}
	open := sh.s.table.openWork(sh.contains)
	sh.s.table.clearJobs(sh.contains)
	sh.mu.Lock()
	sh.phase = notOwned
	sh.mu.Unlock()
	sh.s.shardsChanged.Store(true)
	kv = append([]any{"shard", sh.part.Index, "generation", generation, "cause", cause, "owned", previous == owning}, kv...)
	event.Log(sh.s.opts.Logger, event.ShardReleased, append(kv, open.fields()...)...)
}

// beginRelease ends the claim or the ownership, and returns which of them it was. It returns false if there was none, or
// none under the epoch.
func (sh *shard) beginRelease(epoch int64) (previous phase, released bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.phase != claiming && sh.phase != owning || epoch != anyEpoch && (sh.phase != owning || sh.epoch != epoch) {
		return sh.phase, false
	}
	previous = sh.phase
	sh.phase = releasing
	sh.owns.Store(false)
	sh.pending, sh.unsent = nil, nil
	sh.nextPositions = nil
	sh.stopContent()
	sh.stopContent = nil
	return previous, true
}

// contains reports whether a job belongs to the shard.
func (sh *shard) contains(id string) bool { return shardOf(id, len(sh.s.shards)) == sh.part.Index }

func (sh *shard) owned() bool { return sh.owns.Load() }

func (sh *shard) claimed() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.phase == claiming
}

// takeOver claims the shard under a new epoch, which fences all former owners, and then
// reads everything that they have written. If the record of the claim is that of another
// process, which has chosen the same epoch, it claims the shard again under a higher one.
func (sh *shard) takeOver(ctx context.Context) {
	epoch := sh.nextEpoch()
	for {
		sh.provedBreaks.Store(sh.s.breaks.Load())
		var ok bool
		if epoch, ok = sh.fence(ctx, epoch); !ok {
			return
		}
		records, end, ok := sh.readAllRetrying(ctx)
		if !ok {
			return
		}
		if claimedBy(records) == sh.s.opts.Member {
			view{sh.s.table, sh.part}.Apply(records)
			sh.becomeOwner(epoch, end)
			return
		}
		epoch++
	}
}

// nextEpoch returns the epoch under which to claim the shard: the time, and more than any epoch under which this process has
// owned it. The log would take appends under an epoch that was used before for repetitions.
func (sh *shard) nextEpoch() int64 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return max(sh.s.opts.Now().UnixMilli(), sh.epoch+1)
}

// fence appends a record with this process's name under an epoch that is at least first
// and higher than all others. If another process has used the same epoch before, the log
// takes the append for a repetition of that process's and ignores the record. It waits while the membership is not
// confirmed: the shard may have another owner by then.
func (sh *shard) fence(ctx context.Context, first int64) (epoch int64, ok bool) {
	epoch = first
	claim := splitValue(ownerKey, []byte(sh.s.opts.Member), sh.s.opts.RecordBytes)
	raise := int64(1)
	for ctx.Err() == nil && sh.claimed() {
		if !sh.s.membershipConfirmed() {
			delay.Wait(ctx, shardRetryDelay)
			continue
		}
		_, err := sh.s.opts.Log.Append(ctx, sh.part, claim, keyedlog.Condition{Producer: producerName, Epoch: epoch, Sequence: claimSequence})
		switch {
		case err == nil:
			return epoch, true
		case errors.Is(err, keyedlog.ErrFenced) || errors.Is(err, keyedlog.ErrSequence):
			epoch += raise // another clock is ahead of this one
			raise *= 2
		default:
			delay.Wait(ctx, shardRetryDelay)
		}
	}
	return 0, false
}

// claimedBy returns the name of the process whose claim is the last one in records.
func claimedBy(records []keyedlog.Record) string {
	for _, r := range records {
		if r.Key == chunkKey(ownerKey, 0) && len(r.Value) >= chunkHeaderBytes {
			return string(r.Value[chunkHeaderBytes:])
		}
	}
	return ""
}

// readAllRetrying calls readAll until it succeeds. It returns false if the claim ends.
func (sh *shard) readAllRetrying(ctx context.Context) (records []keyedlog.Record, end int64, ok bool) {
	for sh.claimed() && ctx.Err() == nil {
		records, end, err := sh.readAll(ctx)
		if err == nil {
			return records, end, true
		}
		event.Log(sh.s.opts.Logger, event.LogDown, "call", "read shard", "shard", sh.part.Index, "cause", err)
		delay.Wait(ctx, shardRetryDelay)
	}
	return nil, 0, false
}

// readAll returns the newest records of the shard. No other process can write to the
// shard, so the pages form a snapshot.
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

// becomeOwner makes a claimed shard an owned one, unless it was released in the meantime.
func (sh *shard) becomeOwner(epoch, end int64) {
	sh.mu.Lock()
	claimed := sh.phase == claiming
	if claimed {
		sh.phase, sh.epoch, sh.sequence, sh.checked = owning, epoch, claimSequence+1, end
		sh.nextPositions = make(map[string]int)
		sh.owns.Store(true)
	}
	sh.mu.Unlock()
	if !claimed {
		return
	}
	kv := []any{"shard", sh.part.Index, "epoch", epoch, "end", end, "jobs_read", sh.s.Ready()}
	event.Log(sh.s.opts.Logger, event.ShardOwned, append(kv, sh.s.table.openWork(sh.contains).fields()...)...)
	sh.s.shardsChanged.Store(true)
	sh.s.runner.wake()
}

// enqueue passes a result to the writer unless this was done in the current epoch, and
// returns the epoch, or 0 if the shard is not owned.
func (sh *shard) enqueue(job string, r Result, enqueuedEpoch int64) int64 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.phase != owning {
		return 0
	}
	if enqueuedEpoch == sh.epoch {
		return enqueuedEpoch
	}
	sh.pending = append(sh.pending, pendingResult{job, r})
	sh.wake()
	return sh.epoch
}

// reservePosition returns and reserves the next position of a job.
func (sh *shard) reservePosition(job string) int {
	p, known := sh.nextPositions[job]
	if !known {
		p = sh.s.table.resultPositions(job)
	}
	sh.nextPositions[job] = p + 1
	return p
}

// resultPositions returns how many positions of a job hold results.
func (t *Table) resultPositions(id string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e := t.byID[id]; e != nil {
		return len(e.results)
	}
	return 0
}

// recordAppend applies records that this owner has appended, unless the shard has been
// released in the meantime.
func (sh *shard) recordAppend(epoch int64, records []keyedlog.Record, at keyedlog.AppendResult) {
	sh.mu.Lock()
	current := sh.phase == owning && sh.epoch == epoch
	if current {
		sh.checked = max(sh.checked, at.End)
	}
	sh.mu.Unlock()
	if current {
		sh.s.applyAppended(sh.part, records, at.First)
	}
}

// notOwnedEpoch is the epoch of a shard that is not owned by this process.
const notOwnedEpoch = 0

// currentEpoch returns the epoch under which this process owns the shard, or notOwnedEpoch.
func (sh *shard) currentEpoch() int64 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.phase != owning {
		return notOwnedEpoch
	}
	return sh.epoch
}

// ownedShards returns the indices of the shards in a membership.
func ownedShards(parts []keyedlog.Partition, topic string, shards int) map[int]bool {
	owned := make(map[int]bool, len(parts))
	for _, p := range parts {
		if p.Topic == topic && p.Index < shards {
			owned[p.Index] = true
		}
	}
	return owned
}
