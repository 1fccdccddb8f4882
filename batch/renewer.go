package batch

import (
	"context"
	"math"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/event"
)

const (
	// renewAgeFraction is the fraction of the log's retention after which a record
	// is renewed. The rest bounds how long the log may be unavailable and by how
	// much the clocks of two instances may differ.
	renewAgeFraction = 1.0 / 3
	// renewSteps is the number of passes over the due rows per renewal age.
	renewSteps = 64
	// renewBatch is the minimum of the number of rows that one step may renew. If
	// there are more rows than steps of that size can renew, the limit of a step
	// is raised so that every row is renewed within 1/renewSpread of the renewal
	// age. Renewals after an outage then cause no burst, and none comes too late.
	renewBatch  = 32
	renewSpread = 4
	// renewRetries is how many times per renewal age a failed renewal is retried.
	renewRetries = 16
)

// RenewerOptions configure a Renewer.
type RenewerOptions struct {
	Shards []Shard
	// Owner reports whether this process currently renews a shard. Two renewers
	// at once cost additional appends and are otherwise harmless.
	Owner func(shard int) bool
	// LogRetention is how long the log service retains a record.
	LogRetention time.Duration
	Logger       *log.Logger
}

// Renewer renews what must outlive the log's retention: files with their content,
// jobs, and the result segments of open jobs.
type Renewer struct {
	opts RenewerOptions
	age  time.Duration
	// failed holds, for each row whose renewal failed, the time until which the
	// row is skipped, so that it does not delay the renewal of others.
	failed map[string]time.Time
}

// NewRenewer returns a renewer that is inactive until Run is called.
func NewRenewer(opts RenewerOptions) *Renewer {
	age := time.Duration(float64(opts.LogRetention) * renewAgeFraction)
	return &Renewer{opts: opts, age: age, failed: make(map[string]time.Time)}
}

// Run renews until ctx ends.
func (r *Renewer) Run(ctx context.Context) {
	ticker := time.NewTicker(max(r.age/renewSteps, time.Second))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := r.Step(ctx, time.Now()); err != nil && ctx.Err() == nil {
			event.Log(r.opts.Logger, event.RenewalFailed, "stream", "batch", "err", err)
		}
	}
}

// Step renews a bounded number of due rows in each owned shard and returns the
// first error. It is not safe for concurrent use.
func (r *Renewer) Step(ctx context.Context, now time.Time) error {
	for id, until := range r.failed {
		if now.After(until) {
			delete(r.failed, id)
		}
	}
	var first error
	for _, s := range r.opts.Shards {
		if !r.opts.Owner(s.ID) {
			continue
		}
		if err := r.renewShard(ctx, s, now); err != nil && first == nil {
			first = errors.Wrapf(err, "batch: renew shard %d", s.ID)
		}
	}
	return first
}

func (r *Renewer) renewShard(ctx context.Context, s Shard, now time.Time) error {
	skip := func(id string) bool {
		_, ok := r.failed[id]
		return ok
	}
	d := s.Table.due(now, now.Add(-r.age), renewStepLimit(s.Table.rowCount()), skip)
	store := blob.NewStore(s.Stream)
	var first error
	recordError := func(id string, err error) {
		if err == nil {
			return
		}
		r.failed[id] = now.Add(r.age / renewRetries)
		if first == nil {
			first = errors.Wrap(err, id)
		}
	}
	for _, seg := range d.segments {
		recordError(seg.id(), renewSegment(ctx, s.Stream, seg, now))
	}
	for _, f := range d.files {
		recordError(f.record.File.ID, renewFile(ctx, s.Stream, store, f))
	}
	for _, j := range d.jobs {
		recordError(j.Job.ID, renewJob(ctx, s.Stream, store, j))
	}
	return first
}

// renewStepLimit returns how many of a number of rows one step may renew.
func renewStepLimit(rows int) int { return max(renewBatch, (rows*renewSpread+renewSteps-1)/renewSteps) }

func renewFile(ctx context.Context, stream Stream, store *blob.Store, f dueFile) error {
	if f.copyContent {
		w, err := store.Write(ctx, store.Open(ctx, f.record.File.Content, 0), math.MaxInt64)
		if err != nil {
			return err
		}
		if w.SHA256 != f.record.File.SHA256 {
			return errors.Errorf("batch: content of file %s does not match its SHA-256 hash", f.record.File.ID)
		}
		f.record.File.Content = w.Manifest
	}
	return commit(ctx, stream, KindRenewFile, f.record)
}

func renewJob(ctx context.Context, stream Stream, store *blob.Store, j RenewJob) error {
	if len(j.Input) > 0 {
		w, err := store.Write(ctx, store.Open(ctx, j.Input, 0), math.MaxInt64)
		if err != nil {
			return err
		}
		j.Input = w.Manifest
	}
	return commit(ctx, stream, KindRenewJob, j)
}

// renewSegment appends a segment again with only the items whose first completion
// it holds.
func renewSegment(ctx context.Context, stream Stream, d dueSegment, now time.Time) error {
	s, err := loadSegment(ctx, stream, d.row)
	if err != nil {
		return err
	}
	results, err := s.Results()
	if err != nil {
		return err
	}
	kept := results[:0]
	for k, res := range results {
		if d.row.holds(k) {
			kept = append(kept, res)
		}
	}
	if s, err = NewSegment(d.job, kept, now.Unix()); err != nil {
		return err
	}
	return commit(ctx, stream, KindRenewSegment, RenewSegment{Segment: s, Accepted: d.row.accepted, Base: d.base})
}
