package commitlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/catkinrudder/catkinrudder/internal/delay"
)

// RenewalSource says what must be appended again before the log drops it.
type RenewalSource interface {
	// Renewals returns at most limit entries that restate or retire what is
	// kept only by records below an offset, none if there is nothing left.
	Renewals(ctx context.Context, before Offset, limit int) ([]Entry, error)
}

const (
	// renewalSteps is how many times a Renewer looks at the log per retention.
	renewalSteps = 32
	// renewalBatch bounds the entries of one renewal commit.
	renewalBatch = 64
	// renewalSlack is how many bytes larger than its original a renewal may
	// be, so that whatever could be appended can be restated.
	renewalSlack = 4 << 10
)

// Renewer restates what must outlive the log's retention once it is older than
// half of it. Which process runs a Renewer is the caller's choice; two at once
// cost appends and harm nothing. What was in the log at the start has an
// unknown age and is restated as if it were that old.
type Renewer struct {
	stream    *Stream
	source    RenewalSource
	retention time.Duration
	limit     *rate.Limiter
	horizon   horizon
}

// NewRenewer returns a renewer that appends at most perSecond commits a second
// for a log that keeps records for retention.
func NewRenewer(s *Stream, source RenewalSource, retention time.Duration, perSecond float64) *Renewer {
	return &Renewer{
		stream:    s,
		source:    source,
		retention: retention,
		limit:     rate.NewLimiter(rate.Limit(perSecond), 1),
		horizon:   horizon{age: retention / 2},
	}
}

// Run renews until ctx ends. The stream must be caught up first.
func (r *Renewer) Run(ctx context.Context) {
	r.horizon.before = r.stream.NextOffset()
	for {
		r.horizon.observe(time.Now(), r.stream.NextOffset())
		_, _ = r.Pass(ctx)
		step := r.retention / renewalSteps
		if !delay.Wait(ctx, step/2+rand.N(step)) {
			return
		}
	}
}

// Pass renews everything that is due and returns the number of entries that
// were appended. It stops at the first error.
func (r *Renewer) Pass(ctx context.Context) (int, error) {
	n := 0
	for {
		entries, err := r.source.Renewals(ctx, r.horizon.before, renewalBatch)
		if err != nil || len(entries) == 0 {
			return n, err
		}
		for len(entries) > 0 {
			k := chunk(entries, r.stream.opts.MaxRecordBytes)
			if err := r.commit(ctx, entries[:k]); err != nil {
				return n, err
			}
			n += k
			entries = entries[k:]
		}
	}
}

func (r *Renewer) commit(ctx context.Context, entries []Entry) error {
	if err := r.limit.Wait(ctx); err != nil {
		return errors.Wrap(err, "commitlog: renewal rate")
	}
	_, err := r.stream.commit(ctx, entries, r.stream.opts.MaxCommitBytes+renewalSlack)
	return err
}

// chunk returns how many of the leading entries fit maxBytes, at least one.
func chunk(entries []Entry, maxBytes int) int {
	size := len(entries[0].Body)
	for i := 1; i < len(entries); i++ {
		size += len(entries[i].Body)
		if size > maxBytes {
			return i
		}
	}
	return len(entries)
}

// horizon follows the offset below which records are older than age.
type horizon struct {
	age     time.Duration
	before  Offset
	samples []sample
}

type sample struct {
	at  time.Time
	end Offset
}

// observe notes the end of the log at a time of this process's own clock.
func (h *horizon) observe(now time.Time, end Offset) {
	h.samples = append(h.samples, sample{now, end})
	for len(h.samples) > 0 && now.Sub(h.samples[0].at) >= h.age {
		h.before = max(h.before, h.samples[0].end)
		h.samples = h.samples[1:]
	}
}
