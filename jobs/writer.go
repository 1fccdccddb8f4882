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
	// that have none on the log yet; checkpointSpread is added at random. Each
	// fullCheckpoint-th append holds the progress of all running items.
	checkpointInterval = 200 * time.Millisecond
	checkpointSpread   = 100 * time.Millisecond
	fullCheckpoint     = 4
)

func (sh *shard) wake() {
	select {
	case sh.wakeup <- struct{}{}:
	default:
	}
}

// write appends results and progress in groups, one append at a time. An append
// without an answer is repeated under its sequence number until its outcome is
// known.
func (sh *shard) write(ctx context.Context) {
	timer := time.NewTimer(checkpointInterval)
	defer timer.Stop()
	for beat := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			sh.requestCheckpoint(beat%fullCheckpoint == 0)
			beat++
			timer.Reset(checkpointInterval + rand.N(checkpointSpread))
		case <-sh.wakeup:
		}
		for ctx.Err() == nil {
			records, cond, ok := sh.nextGroup()
			if !ok || !sh.appendUntilKnown(ctx, records, cond) {
				break
			}
		}
		sh.noteFlushed()
	}
}

// requestCheckpoint makes the next append hold progress: that of all items, or
// of those that have none on the log.
func (sh *shard) requestCheckpoint(all bool) <-chan struct{} {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.checkpoint = true
	sh.checkpointAll = sh.checkpointAll || all
	return sh.flushed
}

func (sh *shard) noteFlushed() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.checkpoint {
		return
	}
	close(sh.flushed)
	sh.flushed = make(chan struct{})
}

// flush appends everything that waits and the progress of all items.
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

// nextGroup returns the records to append next: results, and progress if that
// is due.
func (sh *shard) nextGroup() ([]keyedlog.Record, keyedlog.Condition, bool) {
	progress := sh.progressRecords()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.phase != owning {
		return nil, keyedlog.Condition{}, false
	}
	records := append(sh.resultRecords(), progress...)
	if len(records) == 0 {
		return nil, keyedlog.Condition{}, false
	}
	cond := keyedlog.Condition{Producer: producerName, Epoch: sh.epoch, Sequence: sh.sequence}
	sh.sequence++
	return records, cond, true
}

// resultRecords gives positions to the results that wait, as many as fit into an
// append beside some progress. The caller holds the lock.
func (sh *shard) resultRecords() []keyedlog.Record {
	var records []keyedlog.Record
	size, taken := 0, 0
	for _, f := range sh.finished {
		value, err := encode(f.result)
		if err != nil {
			sh.s.logUnreadable(sh.part, keyedlog.Record{Key: f.job}, err)
			taken++
			continue
		}
		if size += len(value) + recordOverhead; size > sh.s.opts.CallBytes/2 && len(records) > 0 {
			break
		}
		records = append(records, split(resultKey(f.job, sh.position(f.job)), value, sh.s.opts.RecordBytes)...)
		records = append(records, tombstones(progressKey(f.job, f.result.Item), sh.s.table.progressPieces(f.job, f.result.Item))...)
		taken++
	}
	sh.finished = sh.finished[taken:]
	return records
}

// progressRecords returns the progress of items if that is due, as much as fits
// into an append beside results.
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
			break // the rest runs on without a checkpoint until the next one
		}
		records = append(records, split(key, value, sh.s.opts.RecordBytes)...)
	}
	return records
}

// progressPieces returns how many records hold the progress of an item.
func (t *Table) progressPieces(id string, item int) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e := t.byID[id]; e != nil {
		return e.progressed[item]
	}
	return 0
}

func (sh *shard) appendUntilKnown(ctx context.Context, records []keyedlog.Record, cond keyedlog.Condition) bool {
	for ctx.Err() == nil {
		at, err := sh.s.opts.Log.Append(ctx, sh.part, records, cond)
		if err == nil {
			sh.wrote(cond.Epoch, records, at)
			return true
		}
		if errors.Is(err, keyedlog.ErrFenced) || errors.Is(err, keyedlog.ErrSequence) {
			sh.release()
			event.Log(sh.s.opts.Logger, event.ShardReleased, "shard", sh.part.Index, "generation", 0, "cause", err)
			return false
		}
		if cond.Epoch != sh.currentEpoch() {
			return false
		}
		delay.Wait(ctx, shardRetry)
	}
	return false
}
