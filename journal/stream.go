package journal

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/catkinrudder/catkinrudder/event"
)

// Errors of Commit.
var (
	// ErrFull says that the buffer is full; the entries were not appended.
	ErrFull = errors.New("journal: commit buffer full")
	// ErrNotAppended says that the caller's context ended before the entries
	// were sent; they never will be.
	ErrNotAppended = errors.New("journal: not appended")
	// ErrUnconfirmed says that the entries may or may not be in the log.
	ErrUnconfirmed = errors.New("journal: append unconfirmed")
	// ErrStopped says that the stream no longer runs.
	ErrStopped = errors.New("journal: stream stopped")
)

const (
	defaultInterval   = 10 * time.Millisecond
	defaultMaxPending = 4096
	defaultMaxRecord  = 512 << 10
	readPage          = 256
	readWait          = 2 * time.Second
	appendTimeout     = 5 * time.Second
	minBackoff        = 20 * time.Millisecond
	maxBackoff        = 2 * time.Second
)

// Options configure a Stream.
type Options struct {
	// Writer is the incarnation of this process, unique for ever.
	Writer string
	// Fold gives the stream its meaning.
	Fold Fold
	// Interval is how long the first entry of a group commit waits for others.
	Interval time.Duration
	// Budget limits appends across the streams of this process, may be nil.
	Budget *rate.Limiter
	// MaxPending bounds the entries that wait to be appended.
	MaxPending int
	// MaxRecordBytes bounds the entry bytes of one group commit.
	MaxRecordBytes int
	Logger         *log.Logger
}

// Stream appends to one log stream and folds it in offset order. Its mutex
// guards everything below it; Apply is called without it, by one goroutine.
type Stream struct {
	log  Log
	name string
	opts Options
	wake chan struct{}

	mu       sync.Mutex
	pending  []*commit
	inflight map[uint64][]*commit
	nextSeq  uint64
	folded   Offset
	lastSeq  map[string]writerPos
	advanced chan struct{}
	down     bool
	stopped  bool
}

type writerPos struct {
	seq uint64
	at  Offset
}

type commit struct {
	entries []Entry
	size    int
	sent    bool
	done    chan struct{}
	pos     Position
	err     error
}

// NewStream returns a stream that does nothing until Run.
func NewStream(l Log, name string, opts Options) *Stream {
	if opts.Interval <= 0 {
		opts.Interval = defaultInterval
	}
	if opts.MaxPending <= 0 {
		opts.MaxPending = defaultMaxPending
	}
	if opts.MaxRecordBytes <= 0 {
		opts.MaxRecordBytes = defaultMaxRecord
	}
	return &Stream{
		log:      l,
		name:     name,
		opts:     opts,
		wake:     make(chan struct{}, 1),
		inflight: make(map[uint64][]*commit),
		lastSeq:  make(map[string]writerPos),
		advanced: make(chan struct{}),
	}
}

// Name returns the stream's name at the log service.
func (s *Stream) Name() string { return s.name }

// Run appends and folds until ctx ends.
func (s *Stream) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); s.appendLoop(ctx) }()
	go func() { defer wg.Done(); s.followLoop(ctx) }()
	wg.Wait()
	s.stop()
}

// Commit appends entries as one unit and returns once they have been folded
// here together with everything before them.
func (s *Stream) Commit(ctx context.Context, entries ...Entry) (Position, error) {
	c := &commit{entries: entries, done: make(chan struct{})}
	for _, e := range entries {
		c.size += len(e.Body)
	}
	if err := s.enqueue(c); err != nil {
		return Position{}, err
	}
	select {
	case <-c.done:
		return c.pos, c.err
	case <-ctx.Done():
		return s.abandon(c)
	}
}

// CaughtUp returns once everything that was in the log at the time of the call
// has been folded.
func (s *Stream) CaughtUp(ctx context.Context) error {
	page, err := s.log.Read(ctx, s.name, ^Offset(0), 1, 0)
	if err != nil {
		return errors.Wrap(err, "journal: read end")
	}
	for {
		s.mu.Lock()
		done, ch := s.folded >= page.Next, s.advanced
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Folded returns the offset after the newest folded record.
func (s *Stream) Folded() Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.folded
}

// Down reports whether the last call to the log service failed.
func (s *Stream) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Load reads the entries of one record again, to fetch a body that the fold
// did not keep.
func (s *Stream) Load(ctx context.Context, at Offset) ([]Entry, error) {
	page, err := s.log.Read(ctx, s.name, at, 1, 0)
	if err != nil {
		return nil, errors.Wrap(err, "journal: load")
	}
	if len(page.Records) == 0 || page.Records[0].Offset != at {
		return nil, errors.Errorf("journal: offset %d is not kept", at)
	}
	env, err := unmarshalEnvelope(page.Records[0].Payload)
	return env.Entries, err
}

func (s *Stream) enqueue(c *commit) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return ErrStopped
	}
	if len(s.pending) >= s.opts.MaxPending {
		return ErrFull
	}
	s.pending = append(s.pending, c)
	s.signal()
	return nil
}

// signal wakes the append loop; the channel holds at most one wake-up.
func (s *Stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// abandon withdraws a commit whose caller has gone.
func (s *Stream) abandon(c *commit) (Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-c.done:
		return c.pos, c.err
	default:
	}
	if c.sent {
		return Position{}, ErrUnconfirmed
	}
	for i, p := range s.pending {
		if p == c {
			s.pending = append(s.pending[:i:i], s.pending[i+1:]...)
			break
		}
	}
	return Position{}, ErrNotAppended
}

func (s *Stream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, c := range s.pending {
		c.finish(Position{}, ErrNotAppended)
	}
	s.pending = nil
	for seq := range s.inflight {
		s.finishSeq(seq, Position{}, ErrUnconfirmed)
	}
}

func (c *commit) finish(pos Position, err error) {
	c.pos, c.err = pos, err
	close(c.done)
}

// appendLoop sends one group commit at a time: a sequence number is sent again
// until the log answers or the entry has been folded, so sequence numbers of a
// writer reach the log in order, late originals excepted.
func (s *Stream) appendLoop(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, s.opts.Interval) {
			return
		}
		for {
			if s.opts.Budget != nil && s.opts.Budget.Wait(ctx) != nil {
				return
			}
			seq, payload := s.nextGroup()
			if payload == nil {
				break
			}
			if !s.appendUntilKnown(ctx, seq, payload) {
				return
			}
		}
	}
}

// nextGroup takes as many pending commits as fit one record.
func (s *Stream) nextGroup() (uint64, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return 0, nil
	}
	var group []*commit
	var entries []Entry
	size := 0
	for len(s.pending) > 0 {
		c := s.pending[0]
		if len(group) > 0 && size+c.size > s.opts.MaxRecordBytes {
			break
		}
		s.pending = s.pending[1:]
		c.sent = true
		group = append(group, c)
		entries = append(entries, c.entries...)
		size += c.size
	}
	s.nextSeq++
	env := envelope{Version: formatVersion, Writer: s.opts.Writer, Seq: s.nextSeq, Entries: entries}
	payload, err := env.marshal()
	if err != nil {
		for _, c := range group {
			c.finish(Position{}, err)
		}
		return 0, nil
	}
	s.inflight[s.nextSeq] = group
	return s.nextSeq, payload
}

func (s *Stream) appendUntilKnown(ctx context.Context, seq uint64, payload []byte) bool {
	wait := newBackoff()
	for {
		actx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := s.log.Append(actx, s.name, payload)
		cancel()
		if err == nil {
			s.setDown(false, nil)
			return true
		}
		s.setDown(true, err)
		if !sleep(ctx, wait.NextBackOff()) {
			return false
		}
		if s.isFolded(seq) {
			return true
		}
	}
}

func (s *Stream) isFolded(seq uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, waiting := s.inflight[seq]
	return !waiting
}

// followLoop folds the stream from its oldest kept record on.
func (s *Stream) followLoop(ctx context.Context) {
	wait := newBackoff()
	for ctx.Err() == nil {
		page, err := s.log.Read(ctx, s.name, s.Folded(), readPage, readWait)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			s.setDown(true, err)
			sleep(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		s.setDown(false, nil)
		s.foldPage(page)
	}
}

func (s *Stream) foldPage(page Page) {
	if at := s.Folded(); page.First > at {
		if at > 0 {
			event.Log(s.opts.Logger, event.RetentionGap, "stream", s.name, "from", at, "first", page.First)
		}
		s.advance(page.First)
	}
	for _, r := range page.Records {
		s.foldRecord(r)
		s.advance(r.Offset + 1)
	}
}

func (s *Stream) foldRecord(r Record) {
	env, err := unmarshalEnvelope(r.Payload)
	if err != nil {
		event.Log(s.opts.Logger, event.RecordSkipped, "stream", s.name, "offset", r.Offset, "err", err)
		return
	}
	if !s.fresh(env, r.Offset) {
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

// fresh reports whether the record is the first of its sequence number and not
// a late original of one that its writer has gone past.
func (s *Stream) fresh(env envelope, at Offset) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if env.Seq <= s.lastSeq[env.Writer].seq {
		return false
	}
	s.lastSeq[env.Writer] = writerPos{seq: env.Seq, at: at}
	return true
}

// finishSeq answers the commits of one group; the caller holds mu.
func (s *Stream) finishSeq(seq uint64, pos Position, err error) {
	for _, c := range s.inflight[seq] {
		c.finish(pos, err)
		pos.Index += len(c.entries)
	}
	delete(s.inflight, seq)
}

func (s *Stream) advance(to Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.folded = to
	close(s.advanced)
	s.advanced = make(chan struct{})
}

func (s *Stream) setDown(down bool, err error) {
	s.mu.Lock()
	changed := s.down != down
	s.down = down
	s.mu.Unlock()
	if !changed {
		return
	}
	if down {
		event.Log(s.opts.Logger, event.LogDown, "stream", s.name, "err", err)
		return
	}
	event.Log(s.opts.Logger, event.LogUp, "stream", s.name)
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	return b
}

// sleep waits for d and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
