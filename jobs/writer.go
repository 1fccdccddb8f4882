package jobs

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	// checkpointInterval is the time between two appends of the progress of items
	// that have no progress on the log yet; checkpointJitter is a random addition.
	// Every fullCheckpointEvery-th append holds the progress of all running items.
	checkpointInterval  = 200 * time.Millisecond
	checkpointJitter    = 100 * time.Millisecond
	fullCheckpointEvery = 4
)

func (sh *shard) wake() {
	select {
	case sh.wakeup <- struct{}{}:
	default:
	}
}

// runWriter appends results and progress in batches, one append at a time. An append
// without a response is repeated under its sequence number until its outcome is
// known.
func (sh *shard) runWriter(ctx context.Context) {
	timer := time.NewTimer(checkpointInterval)
	defer timer.Stop()
	for tick := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			sh.requestCheckpoint(tick%fullCheckpointEvery == 0)
			tick++
			timer.Reset(checkpointInterval + rand.N(checkpointJitter))
		case <-sh.wakeup:
		}
		for ctx.Err() == nil {
			records, cond, ok := sh.nextBatch()
			if !ok || !sh.appendUntilKnown(ctx, records, cond) {
				break
			}
		}
		sh.signalFlushed()
	}
}

// requestCheckpoint makes the next append include progress: that of all items, or
// only that of items that have no progress on the log.
func (sh *shard) requestCheckpoint(all bool) <-chan struct{} {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.checkpoint = true
	sh.checkpointAll = sh.checkpointAll || all
	return sh.flushed
}

// signalFlushed wakes the callers of flush unless a checkpoint is still requested.
func (sh *shard) signalFlushed() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.checkpoint {
		return
	}
	close(sh.flushed)
	sh.flushed = make(chan struct{})
}

// flush appends all pending results and the progress of all items.
func (sh *shard) flush(ctx context.Context) {
	if !sh.owned() {
		return
	}
	flushed := sh.requestCheckpoint(true)
	sh.wake()
	select {
	case <-ctx.Done():
		event.Log(sh.s.opts.Logger, event.LogDown, "call", "save progress", "shard", sh.part.Index, "cause", ctx.Err())
	case <-flushed:
	}
}

// nextBatch returns the records to append next: results, and progress if a checkpoint is due. Records that are
// too long for one append follow in further ones, first chunks first: those of an owner that was lost in
// between are replaced in that order before the value is whole.
func (sh *shard) nextBatch() ([]keyedlog.Record, keyedlog.Condition, bool) {
	progress := sh.progressRecords()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.phase != owning {
		return nil, keyedlog.Condition{}, false
	}
	records := progress
	if len(sh.unsent) == 0 {
		records = append(sh.resultRecords(), progress...)
	}
	sh.unsent = append(sh.unsent, batchRecords(records, sh.s.opts.CallBytes)...)
	if len(sh.unsent) == 0 {
		return nil, keyedlog.Condition{}, false
	}
	records, sh.unsent = sh.unsent[0], sh.unsent[1:]
	cond := keyedlog.Condition{Producer: producerName, Epoch: sh.epoch, Sequence: sh.sequence}
	sh.sequence++
	return records, cond, true
}

// resultRecords assigns positions to pending results, as many as fit into an append
// that also holds progress, and returns their records and the tombstones of the items'
// progress. The caller holds the lock.
func (sh *shard) resultRecords() []keyedlog.Record {
	var records []keyedlog.Record
	size, taken := 0, 0
	for _, p := range sh.pending {
		value, err := encode(p.result)
		if err != nil {
			sh.s.logUnreadable(sh.part, keyedlog.Record{Key: p.job}, err)
			taken++
			continue
		}
		if size += len(value) + recordOverhead; size > sh.s.opts.CallBytes/2 && len(records) > 0 {
			break
		}
		records = append(records, splitValue(resultKey(p.job, sh.reservePosition(p.job)), value, sh.s.opts.RecordBytes)...)
		records = append(records, tombstones(progressKey(p.job, p.result.Item), sh.s.table.progressChunks(p.job, p.result.Item))...)
		taken++
	}
	sh.pending = sh.pending[taken:]
	return records
}

// progressRecords returns the progress of items if a checkpoint is due, as much as
// fits into an append that also holds results.
func (sh *shard) progressRecords() []keyedlog.Record {
	sh.mu.Lock()
	due, all := sh.checkpoint, sh.checkpointAll
	sh.checkpoint, sh.checkpointAll = false, false
	sh.mu.Unlock()
	if !due {
		return nil
	}
	var records []keyedlog.Record
	size := 0
	for key, p := range sh.s.runner.unsavedProgress(sh, all) {
		value, err := encode(p)
		if err != nil {
			sh.s.logUnreadable(sh.part, keyedlog.Record{Key: key}, err)
			continue
		}
		if size += len(value) + recordOverhead; size > sh.s.opts.CallBytes/2 {
			break // the other items run without a checkpoint until the next one
		}
		records = append(records, splitValue(key, value, sh.s.opts.RecordBytes)...)
	}
	return records
}

// progressChunks returns how many records hold the progress of an item.
func (t *Table) progressChunks(id string, item int) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e := t.byID[id]; e != nil {
		return e.progressChunks[item]
	}
	return 0
}

// appendUntilKnown repeats an append until its outcome is known, and reports whether it
// succeeded. If the log rejects the epoch or the sequence number, it releases the shard
// and returns false. It also returns false if the shard's epoch has changed in the
// meantime or if ctx ends.
func (sh *shard) appendUntilKnown(ctx context.Context, records []keyedlog.Record, cond keyedlog.Condition) bool {
	for ctx.Err() == nil {
		at, err := sh.s.opts.Log.Append(ctx, sh.part, records, cond)
		if err == nil {
			sh.recordAppend(cond.Epoch, records, at)
			return true
		}
		if errors.Is(err, keyedlog.ErrFenced) || errors.Is(err, keyedlog.ErrSequence) {
			sh.release(noGeneration, err)
			return false
		}
		if cond.Epoch != sh.currentEpoch() {
			return false
		}
		delay.Wait(ctx, shardRetryDelay)
	}
	return false
}
