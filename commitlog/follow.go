package commitlog

import (
	"context"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
)

const (
	// pruneIntervalRecords is how far the oldest retained offset must advance, in
	// records, between two passes over the recorded writers.
	pruneIntervalRecords = 1024
)

// errLogTruncated reports that the log ends below the folded offset.
var errLogTruncated = errors.New("commitlog: log ends below the folded offset")

// Resetter is implemented by a Fold that must be notified when records were
// dropped by the log's retention before they were folded. The fold has not
// received the records below first and must rebuild its state from the records
// that follow. Reset is called by the goroutine that calls Apply.
type Resetter interface {
	Reset(first Offset)
}

// Pruner is implemented by a Fold that keeps some state only as long as the log
// retains a record of it. Prune is called periodically with the oldest retained
// offset, by the goroutine that calls Apply.
type Pruner interface {
	Prune(first Offset)
}

// followLoop folds the stream, starting at its oldest retained record.
func (s *Stream) followLoop(ctx context.Context) {
	wait := newBackoff()
	limit := firstReadRecords
	for ctx.Err() == nil {
		page, err := s.readPage(ctx, limit)
		if ctx.Err() != nil {
			return
		}
		s.setReadDown(err)
		if err != nil {
			delay.Wait(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		limit = nextReadLimit(page, limit)
		s.foldPage(page)
		if len(page.Records) == 0 && page.Next <= s.NextOffset() {
			delay.Wait(ctx, minBackoff)
		}
	}
}

// nextReadLimit returns the number of records to request after a page, so that
// the memory for a page does not grow with the size of the records.
func nextReadLimit(page Page, limit int) int {
	size := 0
	for _, r := range page.Records {
		size += len(r.Payload)
	}
	if size == 0 {
		return limit
	}
	return min(max(pageBytes*len(page.Records)/size, 1), maxReadRecords)
}

func (s *Stream) readPage(ctx context.Context, limit int) (Page, error) {
	at := s.NextOffset()
	page, err := s.log.Read(ctx, s.name, at, limit, readWait)
	if err == nil && page.Next < at {
		return Page{}, errors.Wrapf(errLogTruncated, "folded up to %d, log ends at %d", at, page.Next)
	}
	return page, err
}

func (s *Stream) foldPage(page Page) {
	s.skipTo(page.First)
	for _, r := range page.Records {
		if r.Offset < s.NextOffset() {
			continue
		}
		s.skipTo(r.Offset)
		s.foldRecord(r)
		s.advance(r.Offset + 1)
	}
	if s.prune(page.First) {
		if p, ok := s.opts.Fold.(Pruner); ok {
			p.Prune(page.First)
		}
	}
}

// skipTo advances to an offset and resets the fold if records were missed. A
// stream starts at the oldest retained record, so the first page has no gap.
func (s *Stream) skipTo(first Offset) {
	s.mu.Lock()
	at, started := s.folded, s.started
	s.started = true
	s.mu.Unlock()
	if first <= at {
		return
	}
	if started {
		event.Log(s.opts.Logger, event.RetentionGap, "stream", s.name, "from", at, "first", first)
		if r, ok := s.opts.Fold.(Resetter); ok {
			r.Reset(first)
		}
	}
	s.advance(first)
}

func (s *Stream) foldRecord(r Record) {
	env, err := unmarshalEnvelope(r.Payload)
	if err != nil {
		event.Log(s.opts.Logger, event.RecordSkipped, "stream", s.name, "offset", r.Offset, "err", err)
		return
	}
	if !s.isNew(env, r.Offset) {
		return
	}
	for i, e := range env.Entries {
		if err := s.opts.Fold.Apply(Position{Offset: r.Offset, Index: i}, e); err != nil {
			event.Log(s.opts.Logger, event.RecordSkipped, "stream", s.name, "offset", r.Offset, "index", i, "kind", e.Kind, "err", err)
		}
	}
	if env.Writer != s.opts.Writer {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishSeq(env.Seq, Position{Offset: r.Offset}, nil)
}

// isNew reports whether the record's sequence number is higher than every earlier
// one of its writer. Otherwise the record is a duplicate, or a copy that took
// effect late, after a record with a higher sequence number.
func (s *Stream) isNew(env envelope, at Offset) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if env.Seq <= s.lastSeq[env.Writer].seq {
		return false
	}
	s.lastSeq[env.Writer] = writerPos{seq: env.Seq, at: at}
	return true
}

// prune removes the writers whose newest record is no longer retained. A
// duplicate that takes effect after its original has expired is not recognised;
// a fold that cannot tolerate such duplicates compares versions. prune reports
// whether it made a pass.
func (s *Stream) prune(first Offset) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first < s.pruned+pruneIntervalRecords {
		return false
	}
	s.pruned = first
	for w, p := range s.lastSeq {
		if p.at < first && w != s.opts.Writer {
			delete(s.lastSeq, w)
		}
	}
	return true
}

func (s *Stream) advance(to Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.folded = to
	close(s.advanced)
	s.advanced = make(chan struct{})
}

func (s *Stream) setAppendDown(err error) { s.setDown(&s.appendDown, err) }

func (s *Stream) setReadDown(err error) { s.setDown(&s.readDown, err) }

// setDown stores the result of one call and logs when the log service as a whole
// becomes unavailable or available again.
func (s *Stream) setDown(flag *bool, err error) {
	s.mu.Lock()
	before := s.appendDown || s.readDown
	*flag = err != nil
	after := s.appendDown || s.readDown
	s.mu.Unlock()
	switch {
	case before == after:
	case after:
		event.Log(s.opts.Logger, event.LogDown, "stream", s.name, "err", err)
	default:
		event.Log(s.opts.Logger, event.LogUp, "stream", s.name)
	}
}
