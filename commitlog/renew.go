package commitlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/catkinrudder/catkinrudder/internal/delay"
)

// RenewalSource returns what must be appended again before the log drops it.
type RenewalSource interface {
	// Renewals returns at most limit entries that renew or retire what is
	// retained only by records below an offset. It returns none if nothing is left.
	Renewals(ctx context.Context, before Offset, limit int) ([]Entry, error)
}

const (
	// renewalSteps is the number of passes that a Renewer makes per retention.
	renewalSteps = 32
	// renewalBatch bounds the entries of one renewal commit.
	renewalBatch = 64
	// renewalSlackBytes is by how many bytes a renewal may exceed its original, so
	// that everything that could be appended can be renewed.
	renewalSlackBytes = 4 << 10
)

// Renewer renews state that must outlive the log's retention, once the state is
// older than half of that retention. The caller decides which process runs a
// Renewer; two at once cost additional appends but are correct. The age of
// records that were in the log at the start is unknown; they are renewed as if
// they were that old.
type Renewer struct {
	stream    *Stream
	source    RenewalSource
	retention time.Duration
	limit     *rate.Limiter
	horizon   horizon
}

// NewRenewer returns a renewer that makes at most perSecond commits a second, for
// a log that retains records for retention.
func NewRenewer(s *Stream, source RenewalSource, retention time.Duration, perSecond float64) *Renewer {
	return &Renewer{
		stream:    s,
		source:    source,
		retention: retention,
		limit:     rate.NewLimiter(rate.Limit(perSecond), 1),
		horizon:   horizon{age: retention / 2},
	}
}

// Run renews until ctx ends. The stream must have caught up before.
func (r *Renewer) Run(ctx context.Context) {
	r.horizon.before = r.stream.NextOffset()
	for {
		r.horizon.observe(time.Now(), r.stream.NextOffset())
		_, _ = r.RenewDue(ctx)
		step := r.retention / renewalSteps
		if !delay.Wait(ctx, step/2+rand.N(step)) {
			return
		}
	}
}

// RenewDue renews everything that is due and returns the number of appended
// entries. It stops at the first error.
func (r *Renewer) RenewDue(ctx context.Context) (int, error) {
	n := 0
	for {
		entries, err := r.source.Renewals(ctx, r.horizon.before, renewalBatch)
		if err != nil || len(entries) == 0 {
			return n, err
		}
		for len(entries) > 0 {
			k := prefixLen(entries, r.stream.opts.MaxRecordBytes)
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
		return errors.Wrap(err, "commitlog: wait for renewal rate limit")
	}
	_, err := r.stream.commit(ctx, entries, r.stream.opts.MaxCommitBytes+renewalSlackBytes)
	return err
}

// prefixLen returns how many of the leading entries fit into maxBytes, at least
// one.
func prefixLen(entries []Entry, maxBytes int) int {
	size := len(entries[0].Body)
	for i := 1; i < len(entries); i++ {
		size += len(entries[i].Body)
		if size > maxBytes {
			return i
		}
	}
	return len(entries)
}

// horizon tracks the offset below which records are older than age.
type horizon struct {
	age     time.Duration
	before  Offset
	samples []sample
}

type sample struct {
	at  time.Time
	end Offset
}

// observe records the end of the log at a time on the local clock.
func (h *horizon) observe(now time.Time, end Offset) {
	h.samples = append(h.samples, sample{now, end})
	for len(h.samples) > 0 && now.Sub(h.samples[0].at) >= h.age {
		h.before = max(h.before, h.samples[0].end)
		h.samples = h.samples[1:]
	}
}
