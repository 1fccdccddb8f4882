package keyedlog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/boottime"
	"github.com/catkinrudder/catkinrudder/internal/delay"
)

// View is the state that a follower maintains. Its methods are called from one
// goroutine.
type View interface {
	// Rebuild replaces the state with the newest record of each key.
	Rebuild(records []Record)
	// Apply applies records in the order of their offsets.
	Apply(records []Record)
}

// Filter is implemented by a View that can tell records that were executed or read late from current ones. A Relay asks
// it about each record, also about those that it doesn't pass on because nothing has changed.
type Filter interface {
	// Current returns the records without outdated ones. In place of an outdated record of a key that the view holds it
	// returns the record that it holds.
	Current(records []Record) []Record
}

// Observer is called when a follower loses the log service, with the error, and when it
// regains the service, with nil.
type Observer func(p Partition, err error)

// PollConfig configures how often a follower reads.
type PollConfig struct {
	// MaxWait is the maximum time that one read waits for a record.
	MaxWait time.Duration
	// MinInterval is the minimum time from the response of one read to the next read, in
	// which records accumulate.
	MinInterval time.Duration
	// RetryDelay is the delay after a failed read.
	RetryDelay time.Duration
}

// Follower keeps a View up to date with one partition.
type Follower struct {
	log     Reader
	part    Partition
	view    View
	poll    PollConfig
	observe Observer
	// relay, if set, receives the offset up to which the view is complete.
	relay  *Relay
	source Source

	next         atomic.Int64
	lastResponse boottime.Stamp // not set before the first rebuild
	// confirmed is when the last call began whose response has shown that the view is complete.
	confirmed boottime.Stamp
	failing   bool
	// rebuiltOffsets holds the offsets of the rebuilt keys while the history is replayed
	// from the end offset of the rebuild's first page.
	rebuiltOffsets map[string]int64

	confirmations confirmations
}

// NewFollower returns a follower of a partition; observe may be nil.
func NewFollower(log Reader, part Partition, view View, poll PollConfig, observe Observer) *Follower {
	if observe == nil {
		observe = func(Partition, error) {}
	}
	return &Follower{log: log, part: part, view: view, poll: poll, observe: observe, confirmations: confirmations{log: log}}
}

// NewRelayedFollower returns a follower that maintains the view of a relay and reads
// from source, which may be another relay. Confirm reads from log.
func NewRelayedFollower(source Source, log Reader, part Partition, relay *Relay, poll PollConfig, observe Observer) *Follower {
	f := NewFollower(source, part, relay, poll, observe)
	f.relay, f.source = relay, source
	f.confirmations.log = log
	return f
}

// Source is a Reader that reports whether its last response came from the log service
// itself.
type Source interface {
	Reader
	Direct() bool
}

// Next returns the offset up to which the view is complete.
func (f *Follower) Next() int64 { return f.next.Load() }

// Age returns the time since the log service last confirmed the view, and false if it
// never has.
func (f *Follower) Age() (time.Duration, bool) { return f.lastResponse.Age() }

// ConfirmedAge returns the time for which the view may have missed a record: that since the call
// began whose response last showed that there was none. A response can be old when it is read, after
// a suspension for example, so its own time proves nothing. It returns false if there was no such
// response.
func (f *Follower) ConfirmedAge() (time.Duration, bool) { return f.confirmed.Age() }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	rebuild := true
	for ctx.Err() == nil {
		rebuild = f.step(ctx, rebuild)
	}
}

// step makes one read, or a rebuild, and waits until the next is due. It reports whether the view has to be
// rebuilt. A confirmation that is asked for cuts a read and the wait short.
func (f *Follower) step(ctx context.Context, rebuild bool) bool {
	if rebuild {
		err := f.rebuild(ctx)
		f.report(err)
		delay.Wait(ctx, f.pauseAfter(err))
		return err != nil
	}
	stepCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := f.confirmations.begin(cancel)
	var err error
	if asked != nil {
		err = f.confirm(ctx)
		asked.finish(err)
	} else if err = f.read(stepCtx); stepCtx.Err() != nil {
		return false // a confirmation is asked for, or the process stops
	}
	f.report(err)
	delay.Wait(stepCtx, f.pauseAfter(err))
	return errors.Is(err, ErrTruncated)
}

func (f *Follower) pauseAfter(err error) time.Duration {
	if err != nil && !errors.Is(err, ErrTruncated) {
		return f.poll.RetryDelay
	}
	return f.minInterval()
}

// relayMinInterval is the minimum time between two reads from a relay, which responds
// only when there is a change.
const relayMinInterval = 20 * time.Millisecond

func (f *Follower) minInterval() time.Duration {
	if f.source != nil && !f.source.Direct() {
		return min(f.poll.MinInterval, relayMinInterval)
	}
	return f.poll.MinInterval
}

func (f *Follower) report(err error) {
	if errors.Is(err, ErrTruncated) {
		err = nil
	}
	if err == nil {
		f.lastResponse.Set()
	}
	if f.relay != nil {
		f.relay.Advance(f.next.Load(), err == nil && f.source.Direct())
	}
	if f.failing != (err != nil) {
		f.failing = err != nil
		f.observe(f.part, err)
	}
}

// rebuild reads all pages. The pages are not a snapshot, so the history is replayed
// afterwards from the end offset of the first page.
func (f *Follower) rebuild(ctx context.Context) error {
	began := boottime.Now()
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
	f.rebuiltOffsets = make(map[string]int64)
	for _, r := range all {
		if r.Offset >= from {
			f.rebuiltOffsets[r.Key] = r.Offset
		}
	}
	f.view.Rebuild(all)
	f.next.Store(from)
	f.confirmed.SetAt(began)
	return nil
}

// read applies the records after those that the view holds.
func (f *Follower) read(ctx context.Context) error {
	began := boottime.Now()
	h, err := f.log.Read(ctx, f.part, f.next.Load(), f.poll.MaxWait)
	if err != nil {
		return err
	}
	_, err = f.apply(h, began)
	return err
}

// apply applies what a call that began at a time has read, and reports whether the view is complete up to
// that time. A log that ends before the view was set back to an earlier state: what follows is not in
// their order, and the view is rebuilt.
func (f *Follower) apply(h History, began time.Duration) (complete bool, err error) {
	if h.End < f.next.Load() {
		return false, ErrTruncated
	}
	if len(h.Records) > 0 {
		f.view.Apply(f.skipRebuilt(h.Records))
	}
	f.next.Store(h.Next)
	if h.Next < h.End {
		return false, nil
	}
	f.confirmed.SetAt(began)
	return true, nil
}

// skipRebuilt removes records that are not newer than those of the rebuild.
func (f *Follower) skipRebuilt(records []Record) []Record {
	if len(f.rebuiltOffsets) == 0 {
		return records
	}
	kept := records[:0:0]
	for _, r := range records {
		offset, rebuilt := f.rebuiltOffsets[r.Key]
		if rebuilt && r.Offset <= offset {
			if r.Offset == offset {
				delete(f.rebuiltOffsets, r.Key)
			}
			continue
		}
		kept = append(kept, r)
	}
	return kept
}
