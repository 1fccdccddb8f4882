package jobs

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	// expireInterval is the time between two scans for expired jobs.
	expireInterval = 5 * time.Second
	// clockSkewMargin is added to the retention of a job to allow for clock skew.
	clockSkewMargin = 10 * time.Second
)

// runExpiry deletes finished jobs of owned shards once their retention is over.
func (s *Service) runExpiry(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.deleteExpired(ctx, now)
		}
	}
}

// deleteExpired deletes the expired jobs of owned shards. It deletes the results of a
// job first and the job last, so that every job that is still known has all its
// results. A process that may lack some of a job's results leaves the job to the owner that has them.
func (s *Service) deleteExpired(ctx context.Context, now time.Time) {
	if s.opts.Retention <= 0 {
		return
	}
	for _, job := range s.table.expiredBefore(now.Add(-s.opts.Retention-clockSkewMargin), s.confirmedOwner) {
		sh := s.shards[shardOf(job.id, len(s.shards))]
		records := append(tombstones(jobKey(job.id), job.summaryChunks), tombstones(cancelKey(job.id), 1)...)
		ok := s.appendTombstones(ctx, sh.part, job.results) &&
			s.appendTombstones(ctx, sh.content, job.contents) &&
			s.appendTombstones(ctx, keyedlog.Partition{Topic: s.opts.JobTopic}, records)
		if !ok {
			return
		}
	}
}

// expiredJob is a job to delete.
type expiredJob struct {
	id            string
	summaryChunks int
	// contents and results are the tombstones of the job's contents and of its results and progress.
	contents []keyedlog.Record
	results  []keyedlog.Record
}

// expiredBefore reports whether the job was submitted before at and either gets no more
// results, as all are there or as its items can't be read, or was never accepted.
func (e *entry) expiredBefore(at time.Time) bool {
	if e.job == nil {
		return e.contentExpiredBefore(at)
	}
	return (!e.open() || e.lacksContent()) && e.job.submitted().Before(at)
}

// expiredBefore returns the jobs selected by include that can be deleted when jobs
// submitted before at need not be retained.
func (t *Table) expiredBefore(at time.Time, include func(id string) bool) []expiredJob {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var expired []expiredJob
	for id, e := range t.byID {
		if !include(id) || !e.expiredBefore(at) {
			continue
		}
		job := expiredJob{id: id, summaryChunks: e.summaryChunks, contents: e.contentTombstones(id)}
		for position := range e.results {
			job.results = append(job.results, tombstones(resultKey(id, position), e.resultChunks[position])...)
		}
		for item := range e.progressChunks {
			job.results = append(job.results, tombstones(progressKey(id, item), e.progressChunks[item])...)
		}
		expired = append(expired, job)
	}
	return expired
}

// appendTombstones appends tombstones and reports whether all appends succeeded.
func (s *Service) appendTombstones(ctx context.Context, p keyedlog.Partition, records []keyedlog.Record) bool {
	for _, g := range batchRecords(records, s.opts.CallBytes) {
		if _, err := s.opts.Log.Append(ctx, p, g, keyedlog.Condition{}); err != nil {
			event.Log(s.opts.Logger, event.LogDown, "call", "drop", "topic", p.Topic, "part", p.Index, "cause", err)
			return false
		}
	}
	return true
}
