package jobs

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	// expireInterval is the time between two looks for jobs to drop.
	expireInterval = 5 * time.Second
	// stayMargin is added to the time that a job stays readable, for clocks
	// that differ.
	stayMargin = 10 * time.Second
)

// expire drops closed jobs of owned shards once their time to stay is over.
func (s *Service) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.dropOld(ctx, now)
		}
	}
}

// dropOld drops the results of a job first and the job last, so that a job that
// is known has all its results.
func (s *Service) dropOld(ctx context.Context, now time.Time) {
	if s.opts.Stay <= 0 {
		return
	}
	for _, old := range s.table.closedBefore(now.Add(-s.opts.Stay-stayMargin), s.runner.ownedJob) {
		sh := s.shards[shardOf(old.id, len(s.shards))]
		records := append(tombstones(jobKey(old.id), old.pieces), tombstones(endKey(old.id), 1)...)
		ok := s.drop(ctx, sh.part, old.results) &&
			s.drop(ctx, sh.content, tombstones(contentKey(old.id), old.contentPieces)) &&
			s.drop(ctx, keyedlog.Partition{Topic: s.opts.JobTopic}, records)
		if !ok {
			return
		}
	}
}

// oldJob is a job to drop.
type oldJob struct {
	id            string
	pieces        int
	contentPieces int
	results       []keyedlog.Record
}

// closedBefore reports whether the job was submitted before at and gets no more
// results, or was never accepted.
func (e *entry) closedBefore(at time.Time) bool {
	if e.job == nil {
		return e.items != nil && time.UnixMilli(e.contentMs).Before(at)
	}
	return !e.open() && e.job.submitted().Before(at)
}

// closedBefore lists the jobs that mine accepts and that can be dropped at a time
// when jobs submitted before at need not be kept.
func (t *Table) closedBefore(at time.Time, mine func(id string) bool) []oldJob {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var old []oldJob
	for id, e := range t.byID {
		if !mine(id) || !e.closedBefore(at) {
			continue
		}
		o := oldJob{id: id, pieces: e.pieces, contentPieces: e.contentPieces}
		for position := range e.results {
			o.results = append(o.results, tombstones(resultKey(id, position), e.resultPieces[position])...)
		}
		for item := range e.progressed {
			o.results = append(o.results, tombstones(progressKey(id, item), e.progressed[item])...)
		}
		old = append(old, o)
	}
	return old
}

// drop appends tombstones; it returns false if that failed.
func (s *Service) drop(ctx context.Context, p keyedlog.Partition, records []keyedlog.Record) bool {
	for _, g := range group(records, s.opts.CallBytes) {
		if _, err := s.opts.Log.Append(ctx, p, g, keyedlog.Condition{}); err != nil {
			event.Log(s.opts.Logger, event.LogDown, "call", "drop", "topic", p.Topic, "part", p.Index, "cause", err)
			return false
		}
	}
	return true
}
