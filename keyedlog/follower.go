package keyedlog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/delay"
)

// View is what a follower feeds. Its methods are called from one goroutine.
type View interface {
	// Rebuild replaces everything by the newest record of each key.
	Rebuild(records []Record)
	// Apply takes records in the order of their offsets.
	Apply(records []Record)
}

// Observer is told when a follower loses or regains the service.
type Observer func(p Partition, err error)

// PollConfig bounds how a follower reads.
type PollConfig struct {
	// Wait is how long one read may wait for a record.
	MaxWait time.Duration
	// Gap is the least time from the answer of one read to the next, which
	// lets records gather.
	MinInterval time.Duration
	// Retry is the pause after a failed read.
	RetryDelay time.Duration
}

// Follower keeps a View up to date with one partition.
type Follower struct {
	log     Reader
	part    Partition
	view    View
	pace    PollConfig
	observe Observer
	// relay, if set, is told how far the view is complete.
	relay  *Relay
	source Source

	next   atomic.Int64
	synced atomic.Int64 // unix nanoseconds of the last answer, 0 before the first rebuild
	broken bool
	// floor holds the offsets of the rebuilt keys while the history from the
	// rebuild's first page is replayed over them.
	floor map[string]int64
}

// NewFollower returns a follower; observe may be nil.
func NewFollower(log Reader, part Partition, view View, pace PollConfig, observe Observer) *Follower {
	if observe == nil {
		observe = func(Partition, error) {}
	}
	return &Follower{log: log, part: part, view: view, pace: pace, observe: observe}
}

// NewRelayedFollower returns a follower that feeds a relay's view and reads from
// source, which may be another relay.
func NewRelayedFollower(source Source, part Partition, relay *Relay, pace PollConfig, observe Observer) *Follower {
	f := NewFollower(source, part, relay, pace, observe)
	f.relay, f.source = relay, source
	return f
}

// Source is a reader that tells whether its last answer came from the service itself.
type Source interface {
	Reader
	Direct() bool
}

// Next returns the offset up to which the view is complete.
func (f *Follower) Next() int64 { return f.next.Load() }

// Age returns how long ago the service last confirmed the view, and false if
// it never has.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	at := f.synced.Load()
	if at == 0 {
		return 0, false
	}
	return now.Sub(time.Unix(0, at)), true
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	rebuild := true
	for ctx.Err() == nil {
		var err error
		if rebuild {
			err = f.rebuild(ctx)
			rebuild = err != nil
		} else {
			err = f.read(ctx)
			rebuild = errors.Is(err, ErrTruncated)
		}
		f.report(err)
		pause := f.gap()
		if err != nil && !errors.Is(err, ErrTruncated) {
			pause = f.pace.RetryDelay
		}
		delay.Wait(ctx, pause)
	}
}

// relayGap is the least time between two reads from a relay, which answers only
// when there is something new.
const relayGap = 20 * time.Millisecond

func (f *Follower) gap() time.Duration {
	if f.source != nil && !f.source.Direct() {
		return min(f.pace.MinInterval, relayGap)
	}
	return f.pace.MinInterval
}

func (f *Follower) report(err error) {
	if errors.Is(err, ErrTruncated) {
		err = nil
	}
	if err == nil {
		f.synced.Store(time.Now().UnixNano())
	}
	if f.relay != nil {
		f.relay.Advance(f.next.Load(), err == nil && f.source.Direct())
	}
	if f.broken != (err != nil) {
		f.broken = err != nil
		f.observe(f.part, err)
	}
}

// rebuild reads all pages. Pages are no snapshot: the history from the end that
// the first page names is replayed afterwards.
func (f *Follower) rebuild(ctx context.Context) error {
	var all []Record
	after, from := "", int64(-1)
	for {
		page, err := f.log.Newest(ctx, f.part, after)
		if err != nil {
			return err
		}
		if from < 0 {
			from = page.End
		}
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	f.floor = make(map[string]int64)
	for _, r := range all {
		if r.Offset >= from {
			f.floor[r.Key] = r.Offset
		}
	}
	f.view.Rebuild(all)
	f.next.Store(from)
	return nil
}

func (f *Follower) read(ctx context.Context) error {
	h, err := f.log.Read(ctx, f.part, f.next.Load(), f.pace.MaxWait)
	if err != nil {
		return err
	}
	if len(h.Records) > 0 {
		f.view.Apply(f.fresh(h.Records))
	}
	f.next.Store(h.Next)
	return nil
}

// fresh drops records that the rebuild already held in a newer form.
func (f *Follower) fresh(records []Record) []Record {
	if len(f.floor) == 0 {
		return records
	}
	kept := records[:0:0]
	for _, r := range records {
		floor, held := f.floor[r.Key]
		if held && r.Offset <= floor {
			if r.Offset == floor {
				delete(f.floor, r.Key)
			}
			continue
		}
		kept = append(kept, r)
	}
	return kept
}
