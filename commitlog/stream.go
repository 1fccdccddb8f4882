package commitlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Errors of Commit.
var (
	// ErrFull says that the buffer is full; the entries were not appended.
	ErrFull = errors.New("commitlog: commit buffer full")
	// ErrTooLarge says that the entries can't be one record; they were not
	// appended.
	ErrTooLarge = errors.New("commitlog: commit too large")
	// ErrNotAppended says that the caller's context ended before the entries
	// were sent; they never will be.
	ErrNotAppended = errors.New("commitlog: not appended")
	// ErrUnconfirmed says that the entries may or may not be in the log.
	ErrUnconfirmed = errors.New("commitlog: append unconfirmed")
	// ErrStopped says that the stream no longer runs; the entries were not
	// appended.
	ErrStopped = errors.New("commitlog: stream stopped")
	// ErrNotKept says that the log no longer keeps, or never had, a record.
	ErrNotRetained = errors.New("commitlog: record not kept")
)

const (
	defaultInterval     = 10 * time.Millisecond
	defaultMaxPending   = 4096
	defaultPendingBytes = 32 << 20
	defaultMaxRecord    = 512 << 10
	defaultMaxCommit    = 4 << 20
	// maxEntries bounds the entries of one record, below the CBOR decoder's
	// limit on the elements of an array.
	maxEntries = 1 << 16
	// A read asks for as many records as pageBytes hold by the size of the last
	// ones, and for at most readPage; the first for firstPage.
	readPage  = 256
	firstPage = 8
	pageBytes = 4 << 20
	readWait  = 2 * time.Second
)

// Options configure a Stream.
type Options struct {
	// Writer is the incarnation of this process, unique for ever.
	Writer string
	// Fold gives the stream its meaning. If it is a Resetter it is told of
	// records that were lost behind the retention.
	Fold Fold
	// Interval is how long the first entry of a group commit waits for others,
	// and the least time between two appends.
	Interval time.Duration
	// Budget limits appends across the streams of this process, may be nil.
	// While it is exhausted, group commits grow.
	Budget *rate.Limiter
	// MaxPending bounds the commits that wait to be appended.
	MaxPending int
	// MaxPendingBytes bounds the entry bytes that wait to be appended.
	MaxPendingBytes int
	// MaxRecordBytes bounds the entry bytes of a record of several commits.
	MaxRecordBytes int
	// MaxCommitBytes bounds the entry bytes of one commit, which is never
	// split over records.
	MaxCommitBytes int
	Logger         *log.Logger
}

// NewBudget returns a limiter of appends a second for Options.Budget. It saves
// up nothing while idle, so an outage is not followed by a burst.
func NewBudget(appendsPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(appendsPerSecond), 1)
}

// Stream appends to one log stream and folds it in offset order. Its mutex
// guards everything below it; Apply is called without it, by one goroutine.
type Stream struct {
	log  Log
	name string
	opts Options
	wake chan struct{}
	done chan struct{}

	mu           sync.Mutex
	pending      []*commit
	pendingBytes int
	inflight     map[uint64]*group
	nextSeq      uint64
	folded       Offset
	opened       bool
	lastSeq      map[string]writerPos
	pruned       Offset
	advanced     chan struct{}
	appendDown   bool
	readDown     bool
	stopped      bool
}

type writerPos struct {
	seq uint64
	at  Offset
}

// commit is one call of Commit or Submit.
type commit struct {
	entries []Entry
	size    int
	sent    bool
	done    chan struct{}
	pos     Position
	err     error
}

// group is the commits of one record, from being sent until being folded.
type group struct {
	seq     uint64
	commits []*commit
	done    chan struct{}
}

// NewStream returns a stream that does nothing until Run.
func NewStream(l Log, name string, opts Options) *Stream {
	setDefault(&opts.Interval, defaultInterval)
	setDefault(&opts.MaxPending, defaultMaxPending)
	setDefault(&opts.MaxPendingBytes, defaultPendingBytes)
	setDefault(&opts.MaxRecordBytes, defaultMaxRecord)
	setDefault(&opts.MaxCommitBytes, defaultMaxCommit)
	if opts.Logger == nil {
		opts.Logger = log.New(io.Discard)
	}
	return &Stream{
		log:      l,
		name:     name,
		opts:     opts,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		inflight: make(map[uint64]*group),
		lastSeq:  make(map[string]writerPos),
		advanced: make(chan struct{}),
	}
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Name returns the stream's name at the log service.
func (s *Stream) Name() string { return s.name }

// Run appends and folds until ctx ends. It is called once.
func (s *Stream) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); s.appendLoop(ctx) }()
	go func() { defer wg.Done(); s.followLoop(ctx) }()
	wg.Wait()
	s.stop()
}

// Commit appends entries as one unit and returns once they have been folded
// here together with everything before them. ErrUnconfirmed says that they may
// take effect, now or later; after every other error they never will.
func (s *Stream) Commit(ctx context.Context, entries ...Entry) (Position, error) {
	return s.commit(ctx, entries, s.opts.MaxCommitBytes)
}

func (s *Stream) commit(ctx context.Context, entries []Entry, maxBytes int) (Position, error) {
	c, err := s.enqueue(entries, maxBytes)
	if err != nil {
		return Position{}, err
	}
	select {
	case <-c.done:
		return c.pos, c.err
	case <-ctx.Done():
		return s.abandon(c)
	}
}

// Submit queues entries as one unit and does not wait for them. They follow
// every earlier Commit and Submit of this stream in the log, and are lost if
// the stream stops before they are sent.
func (s *Stream) Submit(entries ...Entry) error {
	_, err := s.enqueue(entries, s.opts.MaxCommitBytes)
	return err
}

// CatchUp returns once everything that was in the log at the time of the call
// has been folded.
func (s *Stream) CatchUp(ctx context.Context) error {
	page, err := s.log.Read(ctx, s.name, ^Offset(0), 1, 0)
	if err != nil {
		return errors.Wrap(err, "commitlog: read end")
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
		case <-s.done:
			return ErrStopped
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// NextOffset returns the offset after the newest folded record.
func (s *Stream) NextOffset() Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.folded
}

// Down reports whether the last append or the last read failed.
func (s *Stream) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendDown || s.readDown
}

// Load reads the entries of one record again, to fetch a body that the fold
// did not keep. It returns ErrNotKept if the log no longer has the record.
func (s *Stream) Load(ctx context.Context, at Offset) ([]Entry, error) {
	page, err := s.log.Read(ctx, s.name, at, 1, 0)
	if err != nil {
		return nil, errors.Wrap(err, "commitlog: load")
	}
	if len(page.Records) == 0 || page.Records[0].Offset != at {
		return nil, errors.Wrapf(ErrNotRetained, "offset %d", at)
	}
	env, err := unmarshalEnvelope(page.Records[0].Payload)
	return env.Entries, err
}

func (s *Stream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	close(s.done)
	for _, c := range s.pending {
		c.finish(Position{}, ErrNotAppended)
	}
	s.pending, s.pendingBytes = nil, 0
	for seq := range s.inflight {
		s.finishSeq(seq, Position{}, ErrUnconfirmed)
	}
}

func (c *commit) finish(pos Position, err error) {
	c.pos, c.err = pos, err
	close(c.done)
}

// finishSeq answers the commits of one group; the caller holds mu.
func (s *Stream) finishSeq(seq uint64, pos Position, err error) {
	g, ok := s.inflight[seq]
	if !ok {
		return
	}
	for _, c := range g.commits {
		c.finish(pos, err)
		pos.Index += len(c.entries)
	}
	close(g.done)
	delete(s.inflight, seq)
}
