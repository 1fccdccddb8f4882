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
	// ErrFull reports that the buffer is full; the entries were not appended.
	ErrFull = errors.New("commitlog: commit buffer full")
	// ErrTooLarge reports that the entries do not fit into one record; they
	// were not appended.
	ErrTooLarge = errors.New("commitlog: commit too large")
	// ErrNotAppended reports that the caller's context ended before the entries
	// were sent; they are never sent afterwards.
	ErrNotAppended = errors.New("commitlog: not appended")
	// ErrUnconfirmed reports that the entries may or may not be in the log.
	ErrUnconfirmed = errors.New("commitlog: append unconfirmed")
	// ErrStopped reports that the stream no longer runs; the entries were not
	// appended.
	ErrStopped = errors.New("commitlog: stream stopped")
	// ErrNotRetained reports that the log has dropped a record, or never had it.
	ErrNotRetained = errors.New("commitlog: record not retained")
)

const (
	defaultInterval        = 10 * time.Millisecond
	defaultMaxPending      = 4096
	defaultMaxPendingBytes = 32 << 20
	defaultMaxRecordBytes  = 512 << 10
	defaultMaxCommitBytes  = 4 << 20
	// maxEntries bounds the entries of one record, below the CBOR decoder's
	// limit on the elements of an array.
	maxEntries = 1 << 16
	// A read requests as many records as fit into pageBytes by the size of the
	// preceding ones, at most maxReadRecords; the first read requests
	// firstReadRecords.
	maxReadRecords   = 256
	firstReadRecords = 8
	pageBytes        = 4 << 20
	readWait         = 2 * time.Second
)

// Options configure a Stream.
type Options struct {
	// Writer is the incarnation of this process. It is never reused.
	Writer string
	// Fold holds the state of the stream. If it is a Resetter, it is notified of
	// records that the log's retention dropped before they were folded.
	Fold Fold
	// Interval is how long the first entry of a group commit waits for others,
	// and the minimum time between two appends.
	Interval time.Duration
	// Budget limits the appends of all streams of this process; it may be nil.
	// While it is exhausted, group commits grow.
	Budget *rate.Limiter
	// MaxPending bounds the number of commits that wait to be appended.
	MaxPending int
	// MaxPendingBytes bounds the entry bytes that wait to be appended.
	MaxPendingBytes int
	// MaxRecordBytes bounds the entry bytes of a record that holds several commits.
	MaxRecordBytes int
	// MaxCommitBytes bounds the entry bytes of one commit, which is never split
	// across records.
	MaxCommitBytes int
	Logger         *log.Logger
}

// NewBudget returns a limiter of appends per second for Options.Budget. It
// accumulates no tokens while idle, so no burst follows an outage.
func NewBudget(appendsPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(appendsPerSecond), 1)
}

// Stream appends to one log stream and folds it in offset order. Its mutex guards
// the fields below it. One goroutine calls Apply, without holding the mutex.
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
	// folded is the offset after that of the newest folded record.
	folded Offset
	// started reports that the first page has been read.
	started bool
	// lastSeq holds the highest sequence number folded from each writer.
	lastSeq map[string]writerPos
	// pruned is the oldest retained offset at the last pass of prune.
	pruned Offset
	// advanced is closed and replaced whenever folded advances.
	advanced   chan struct{}
	appendDown bool
	readDown   bool
	stopped    bool
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

// group holds the commits of one record from the time it is sent until it has
// been folded.
type group struct {
	seq     uint64
	commits []*commit
	done    chan struct{}
}

// NewStream returns a stream that is inactive until Run is called.
func NewStream(l Log, name string, opts Options) *Stream {
	setDefault(&opts.Interval, defaultInterval)
	setDefault(&opts.MaxPending, defaultMaxPending)
	setDefault(&opts.MaxPendingBytes, defaultMaxPendingBytes)
	setDefault(&opts.MaxRecordBytes, defaultMaxRecordBytes)
	setDefault(&opts.MaxCommitBytes, defaultMaxCommitBytes)
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

// Commit appends entries as one unit. It returns when this process has folded
// them and everything before them. After ErrUnconfirmed the entries may take
// effect, now or later; after every other error they never do.
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

// Submit queues entries as one unit and does not wait for them. In the log they
// follow every earlier Commit and Submit of this stream. They are lost if the
// stream stops before they are sent.
func (s *Stream) Submit(entries ...Entry) error {
	_, err := s.enqueue(entries, s.opts.MaxCommitBytes)
	return err
}

// CatchUp blocks until everything that was in the log at the time of the call has
// been folded.
func (s *Stream) CatchUp(ctx context.Context) error {
	page, err := s.log.Read(ctx, s.name, ^Offset(0), 1, 0)
	if err != nil {
		return errors.Wrap(err, "commitlog: read end of log")
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

// NextOffset returns the offset after that of the newest folded record.
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

// Load reads the entries of one record from the log again, to obtain a body that
// the fold did not keep. It returns ErrNotRetained if the log no longer has the
// record.
func (s *Stream) Load(ctx context.Context, at Offset) ([]Entry, error) {
	page, err := s.log.Read(ctx, s.name, at, 1, 0)
	if err != nil {
		return nil, errors.Wrap(err, "commitlog: load record")
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

// finishSeq completes the commits of one group. The caller holds mu.
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
