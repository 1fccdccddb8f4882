package jobs

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	// maxAcceptAttempts bounds the conditional appends of one submission.
	maxAcceptAttempts = 8
	// maxUnknownAppends bounds the appends of one submission that end without a
	// response.
	maxUnknownAppends = 2
	// submitRetryAfter is the Retry-After of a submission that the log refused.
	// isolatedRetryAfter is the Retry-After of a submission to a process that has no
	// connection at all.
	submitRetryAfter   = time.Second
	isolatedRetryAfter = 50 * time.Millisecond
	// storeUnreachableAfter is the time without a response after which the log counts as
	// unreachable.
	storeUnreachableAfter = time.Second
	// The timeout of an append for a submission is appendTimeoutFactor times the moving
	// average of past appends, and at least minAppendTimeout. appendTimeWeight is the
	// weight of the latest append in that average.
	minAppendTimeout    = 250 * time.Millisecond
	appendTimeoutFactor = 4
	appendTimeWeight    = 0.2
)

// Submit accepts a job. It returns nil once the job is on the log. A refusal with
// outcome not_run means that no item of the job will ever run.
func (s *Service) Submit(ctx context.Context, job *Job, quota int64) error {
	if s.table.Known(job.ID) {
		return nil
	}
	if !s.Ready() || s.opts.StoreAge() > storeUnreachableAfter {
		return s.forwardSubmission(ctx, job, quota)
	}
	err := s.SubmitLocal(ctx, job, quota)
	if errkind.Is(err, errkind.LogUnavailable) && errkind.From(err).Response().Outcome == errkind.NotRun {
		return s.forwardSubmission(ctx, job, quota)
	}
	return err
}

// forwardSubmission forwards a submission to a process that reaches the log. Without
// such a process it refuses at once, so that the caller soon tries another process.
func (s *Service) forwardSubmission(ctx context.Context, job *Job, quota int64) error {
	if address, known := s.opts.Peers.StoreConnectedPeer(); known {
		return s.opts.Peers.Submit(ctx, address, job, quota)
	}
	after := submitRetryAfter
	if s.opts.Peers.ReachableCount() == 0 {
		after = isolatedRetryAfter
	}
	return errkind.New(errkind.LogUnavailable, "job %s: the log is out of reach", job.ID).WithRetryAfter(after)
}

// SubmitLocal accepts a job through this process's own connection to the log.
func (s *Service) SubmitLocal(ctx context.Context, job *Job, quota int64) error {
	if s.table.Known(job.ID) {
		return nil
	}
	if !s.Ready() {
		return errkind.New(errkind.LogUnavailable, "jobs are not known yet").WithRetryAfter(submitRetryAfter)
	}
	encoded, err := encode(job)
	if err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "job %s", job.ID)
	}
	contents := contentValues(job.ID, encoded, s.opts.RecordBytes, s.opts.Peers.OldestFormat())
	summary, err := encode(job.summary(contents[0].id.digest))
	if err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "job %s", job.ID)
	}
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	sh := s.shards[shardOf(job.ID, len(s.shards))]
	for _, c := range contents {
		if err := s.writeContent(ctx, sh, c); err != nil {
			return errkind.Wrap(err, errkind.LogUnavailable, "job %s is not accepted", job.ID).WithRetryAfter(submitRetryAfter)
		}
	}
	return s.accept(ctx, job, splitValue(jobKey(job.ID), summary, s.opts.RecordBytes), quota)
}

// writeContent appends content, which has no effect without a summary that names it. The
// content of a refused job stays until the shard's owner deletes it, because a summary
// that names it may still be executed late.
func (s *Service) writeContent(ctx context.Context, sh *shard, c contentValue) error {
	fields := []any{"job", c.id.job, "shard", sh.part.Index, "content", c.id.digest, "records", len(c.records)}
	var err error
	for range maxUnknownAppends {
		if _, err = s.appendWithTimeout(ctx, sh.content, c.records, keyedlog.Condition{}); err == nil {
			event.Log(s.opts.Logger, event.ContentStored, fields...)
			return nil
		}
		if !errors.Is(err, keyedlog.ErrRefused) {
			event.Log(s.opts.Logger, event.ContentUnknown, append(slices.Clip(fields), "cause", err)...)
		}
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}

// accept appends the job's summary. With a quota, the append is conditional: it fails if
// the log holds records that the check of the quota did not take into account.
func (s *Service) accept(ctx context.Context, job *Job, records []keyedlog.Record, quota int64) error {
	part := keyedlog.Partition{Topic: s.opts.JobTopic}
	unknownAppends := 0
	for range maxAcceptAttempts {
		if s.table.Known(job.ID) {
			return nil
		}
		end := s.jobs.Next()
		waiting := s.waitingTokens(account{job.Workspace, job.Route})
		if quota > 0 && waiting+job.Tokens() > quota {
			return s.refuseOverQuota(ctx, job, waiting, quota, unknownAppends > 0)
		}
		at, err := s.appendWithTimeout(ctx, part, records, keyedlog.Condition{ExpectedEnd: end, Conditional: quota > 0})
		switch {
		case err == nil:
			s.applyAppended(part, records, at.First)
			return nil
		case errors.Is(err, keyedlog.ErrConflict):
			s.waitForFollower(ctx, end)
		case errors.Is(err, keyedlog.ErrRefused) && unknownAppends == 0:
			return errkind.Wrap(err, errkind.LogUnavailable, "job %s is not accepted", job.ID).WithRetryAfter(submitRetryAfter)
		default:
			unknownAppends++
		}
		if ctx.Err() != nil || unknownAppends >= maxUnknownAppends {
			break
		}
	}
	if unknownAppends == 0 {
		return errkind.New(errkind.Overloaded, "job %s: too many jobs at once", job.ID).WithRetryAfter(submitRetryAfter)
	}
	return errkind.New(errkind.Timeout, "job %s: the log does not answer", job.ID)
}

// refuseOverQuota refuses a job that exceeds the quota, unless the log already holds
// it, because another process may have just accepted it. mayBeAppended reports whether
// an earlier append of this submission has an unknown outcome.
func (s *Service) refuseOverQuota(ctx context.Context, job *Job, waiting, quota int64, mayBeAppended bool) error {
	known, err := s.Exists(ctx, job.ID)
	if known {
		return nil
	}
	if err != nil {
		return errkind.Wrap(err, errkind.LogUnavailable, "job %s does not fit by what is known here", job.ID).
			WithOutcome(refusalOutcome(mayBeAppended)).WithRetryAfter(submitRetryAfter)
	}
	e := errkind.New(errkind.RateLimited, "job %s: %d tokens wait, %d more exceed %d", job.ID, waiting, job.Tokens(), quota)
	if mayBeAppended {
		return errkind.Wrap(e, errkind.Timeout, "job %s: the log did not answer", job.ID)
	}
	return e.WithRetryAfter(submitRetryAfter)
}

// refusalOutcome returns the outcome to report for a job that is not accepted, given
// whether an append of it has an unknown outcome.
func refusalOutcome(mayBeAppended bool) errkind.Outcome {
	if mayBeAppended {
		return errkind.Unknown
	}
	return errkind.NotRun
}

// appendWithTimeout appends records with a timeout based on the duration of past appends,
// so that a caller whose append has no response soon retries at another process.
func (s *Service) appendWithTimeout(ctx context.Context, p keyedlog.Partition, records []keyedlog.Record, c keyedlog.Condition) (keyedlog.AppendResult, error) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, max(minAppendTimeout, appendTimeoutFactor*s.appendTime))
	defer cancel()
	at, err := s.appendAll(ctx, p, records, c)
	s.appendTime += time.Duration(appendTimeWeight * float64(time.Since(begin)-s.appendTime))
	return at, err
}

// appendAll appends records in calls of at most CallBytes. The group with the first
// chunk goes last, because the other chunks have no effect without it.
func (s *Service) appendAll(ctx context.Context, p keyedlog.Partition, records []keyedlog.Record, c keyedlog.Condition) (keyedlog.AppendResult, error) {
	batches := batchRecords(records, s.opts.CallBytes)
	var at keyedlog.AppendResult
	for i := len(batches) - 1; i >= 0; i-- {
		var err error
		if at, err = s.opts.Log.Append(ctx, p, batches[i], c); err != nil {
			return at, err
		}
		c.ExpectedEnd = at.End
	}
	return at, nil
}

// batchRecords divides records into groups of at most callBytes.
func batchRecords(records []keyedlog.Record, callBytes int) [][]keyedlog.Record {
	var batches [][]keyedlog.Record
	size := 0
	for _, r := range records {
		n := len(r.Key) + len(r.Value) + recordOverhead
		if len(batches) == 0 || size+n > callBytes {
			batches = append(batches, nil)
			size = 0
		}
		batches[len(batches)-1] = append(batches[len(batches)-1], r)
		size += n
	}
	return batches
}

// applyAppended applies records that this process has just appended, before the follower
// reads them back.
func (s *Service) applyAppended(p keyedlog.Partition, records []keyedlog.Record, first int64) {
	own := make([]keyedlog.Record, len(records))
	for i, r := range records {
		r.Offset = first + int64(i)
		own[i] = r
	}
	view{s.table, p}.Apply(own)
	s.runner.wake()
}

// waitForFollower waits up to 500 ms for the follower to read past offset from.
func (s *Service) waitForFollower(ctx context.Context, from int64) {
	const interval, limit = 5 * time.Millisecond, 500 * time.Millisecond
	for waited := time.Duration(0); waited < limit && s.jobs.Next() <= from && ctx.Err() == nil; waited += interval {
		delay.Wait(ctx, interval)
	}
}

// Exists reports whether the log holds the job. It reads to the end of the log
// and applies every record before it, so that a job that is still unknown was not
// accepted.
func (s *Service) Exists(ctx context.Context, id string) (known bool, err error) {
	part := keyedlog.Partition{Topic: s.opts.JobTopic}
	next := s.jobs.Next()
	h, err := s.opts.Log.Read(ctx, part, next, 0)
	if err != nil {
		return false, err
	}
	view{s.table, part}.Apply(h.Records)
	if h.Next < h.End {
		return s.table.Known(id), errors.New("jobs: read did not reach the end of the log")
	}
	return s.table.Known(id), nil
}

// Cancel cancels a job: its running items are stopped, and none of its items is started
// any more.
func (s *Service) Cancel(ctx context.Context, id string) error {
	part := keyedlog.Partition{Topic: s.opts.JobTopic}
	records := splitValue(cancelKey(id), []byte{1}, s.opts.RecordBytes)
	at, err := s.opts.Log.Append(ctx, part, records, keyedlog.Condition{})
	if err != nil {
		return errkind.Wrap(err, errkind.LogUnavailable, "job %s is not ended", id).WithOutcome(errkind.Unknown)
	}
	s.applyAppended(part, records, at.First)
	return nil
}
