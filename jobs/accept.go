package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	// acceptTries bounds the conditional appends of one submission.
	acceptTries = 8
	// acceptDoubts bounds the appends without an answer of one submission.
	acceptDoubts = 2
	// refusedJob is when a caller should come back that the log refused, and
	// refusedAlone when one should that met a process without any connection.
	refusedJob   = time.Second
	refusedAlone = 50 * time.Millisecond
	// storeAway is the silence after which the log counts as out of reach.
	storeAway = time.Second
	// An append of a submission may take appendFactor times the moving average
	// of past ones, and at least minAppendTime.
	minAppendTime = 250 * time.Millisecond
	appendFactor  = 4
	appendWeight  = 0.2
)

// Submit accepts a job. It returns nil once the job stands on the log. A
// refusal with outcome not_run says that no item of the job will ever run.
func (s *Service) Submit(ctx context.Context, job *Job, quota int64) error {
	if s.table.Known(job.ID) {
		return nil
	}
	if !s.Ready() || s.opts.StoreAge() > storeAway {
		return s.submitElsewhere(ctx, job, quota)
	}
	err := s.SubmitLocal(ctx, job, quota)
	if errkind.Is(err, errkind.LogUnavailable) && errkind.From(err).Response().Outcome == errkind.NotRun {
		return s.submitElsewhere(ctx, job, quota)
	}
	return err
}

// submitElsewhere hands a submission to a process that reaches the log. Without
// one it is refused at once, so that the caller soon tries another process.
func (s *Service) submitElsewhere(ctx context.Context, job *Job, quota int64) error {
	if address, known := s.opts.Peers.StoreConnected(); known {
		return s.opts.Peers.Submit(ctx, address, job, quota)
	}
	after := refusedJob
	if s.opts.Peers.ReachableCount() == 0 {
		after = refusedAlone
	}
	return errkind.New(errkind.LogUnavailable, "job %s: the log is out of reach", job.ID).WithRetryAfter(after)
}

// SubmitLocal accepts a job through this process's own connection to the log.
func (s *Service) SubmitLocal(ctx context.Context, job *Job, quota int64) error {
	if s.table.Known(job.ID) {
		return nil
	}
	if !s.Ready() {
		return errkind.New(errkind.LogUnavailable, "jobs are not known yet").WithRetryAfter(refusedJob)
	}
	content, err := encode(job)
	if err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "job %s", job.ID)
	}
	value, err := encode(job.summary())
	if err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "job %s", job.ID)
	}
	s.accepting.Lock()
	defer s.accepting.Unlock()
	sh := s.shards[shardOf(job.ID, len(s.shards))]
	if err := s.writeContent(ctx, sh, split(contentKey(job.ID), content, s.opts.RecordBytes)); err != nil {
		return errkind.Wrap(err, errkind.LogUnavailable, "job %s is not accepted", job.ID).WithRetryAfter(refusedJob)
	}
	return s.accept(ctx, job, split(jobKey(job.ID), value, s.opts.RecordBytes), quota)
}

// writeContent appends the items of a job, which mean nothing without its
// summary. The content of a job that is refused stays until the shard's owner
// drops it: the same job may be accepted by another process at the same time.
func (s *Service) writeContent(ctx context.Context, sh *shard, records []keyedlog.Record) error {
	var err error
	for range acceptDoubts {
		if _, err = s.appendSoon(ctx, sh.content, records, keyedlog.Condition{}); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// accept appends the job's summary at the end of the jobs that the quota was
// checked against.
func (s *Service) accept(ctx context.Context, job *Job, records []keyedlog.Record, quota int64) error {
	part := keyedlog.Partition{Topic: s.opts.JobTopic}
	doubts := 0
	for range acceptTries {
		if s.table.Known(job.ID) {
			return nil
		}
		end := s.jobs.Next()
		waiting := s.waitingTokens(job.Route)
		if quota > 0 && waiting+job.Tokens() > quota {
			return s.refuseOverQuota(ctx, job, waiting, quota, doubts > 0)
		}
		at, err := s.appendSoon(ctx, part, records, keyedlog.Condition{AtEnd: end, Conditional: quota > 0})
		switch {
		case err == nil:
			s.applyOwn(part, records, at.First)
			return nil
		case errors.Is(err, keyedlog.ErrConflict):
			s.catchUp(ctx, end)
		case errors.Is(err, keyedlog.ErrRefused) && doubts == 0:
			return errkind.Wrap(err, errkind.LogUnavailable, "job %s is not accepted", job.ID).WithRetryAfter(refusedJob)
		default:
			doubts++
		}
		if ctx.Err() != nil || doubts >= acceptDoubts {
			break
		}
	}
	if doubts == 0 {
		return errkind.New(errkind.Overloaded, "job %s: too many jobs at once", job.ID).WithRetryAfter(refusedJob)
	}
	return errkind.New(errkind.Timeout, "job %s: the log does not answer", job.ID)
}

// refuseOverQuota refuses a job that does not fit, unless the log holds it already:
// another process may have accepted it a moment ago.
func (s *Service) refuseOverQuota(ctx context.Context, job *Job, waiting, quota int64, inDoubt bool) error {
	known, err := s.Confirm(ctx, job.ID)
	if known {
		return nil
	}
	if err != nil {
		return errkind.Wrap(err, errkind.LogUnavailable, "job %s does not fit by what is known here", job.ID).
			WithOutcome(outcomeOf(inDoubt)).WithRetryAfter(refusedJob)
	}
	e := errkind.New(errkind.RateLimited, "job %s: %d tokens wait, %d more exceed %d", job.ID, waiting, job.Tokens(), quota)
	if inDoubt {
		return errkind.Wrap(e, errkind.Timeout, "job %s: the log did not answer", job.ID)
	}
	return e.WithRetryAfter(refusedJob)
}

// outcomeOf says what is known of a job that is not accepted.
func outcomeOf(inDoubt bool) errkind.Outcome {
	if inDoubt {
		return errkind.Unknown
	}
	return errkind.NotRun
}

// appendSoon appends records within the time that an answer of the log takes by
// experience: a caller in doubt comes back to another process.
func (s *Service) appendSoon(ctx context.Context, p keyedlog.Partition, records []keyedlog.Record, c keyedlog.Condition) (keyedlog.AppendResult, error) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, max(minAppendTime, appendFactor*s.appendTime))
	defer cancel()
	at, err := s.appendAll(ctx, p, records, c)
	s.appendTime += time.Duration(appendWeight * float64(time.Since(begin)-s.appendTime))
	return at, err
}

// appendAll appends records in calls of the size that the log takes. The first
// piece, without which the others mean nothing, goes last.
func (s *Service) appendAll(ctx context.Context, p keyedlog.Partition, records []keyedlog.Record, c keyedlog.Condition) (keyedlog.AppendResult, error) {
	groups := group(records, s.opts.CallBytes)
	var at keyedlog.AppendResult
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
		delay.Wait(ctx, step)
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
