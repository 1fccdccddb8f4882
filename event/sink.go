package event

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sinkBytes bounds the lines that wait to be written.
	sinkBytes = 512 << 10
	// sinkInterval is the time in which lines gather before they are written
	// together.
	sinkInterval = 20 * time.Millisecond
)

// Sink is a writer of log lines that never blocks: lines that the reader of the
// output does not take are dropped and counted. It is safe for concurrent use.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	waiting bytes.Buffer
	wakeup  chan struct{}

	dropped atomic.Int64
}

// NewSink returns a sink in front of out. Run has to be called.
func NewSink(out io.Writer) *Sink { return &Sink{out: out, wakeup: make(chan struct{}, 1)} }

// Write implements io.Writer; a call holds whole lines.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting.Len()+len(line) > sinkBytes {
		s.dropped.Add(int64(bytes.Count(line, []byte("\n"))))
		return len(line), nil
	}
	if s.waiting.Len() == 0 {
		select {
		case s.wakeup <- struct{}{}:
		default:
		}
	}
	return s.waiting.Write(line)
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes lines until ctx ends, and then those that wait.
func (s *Sink) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case <-s.wakeup:
		}
		t := time.NewTimer(sinkInterval)
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
		s.flush()
	}
}

// flush writes what waits. The output may block: only Run waits for it.
func (s *Sink) flush() {
	s.mu.Lock()
	lines := bytes.Clone(s.waiting.Bytes())
	s.waiting.Reset()
	s.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := s.out.Write(lines); err != nil {
		s.dropped.Add(int64(bytes.Count(lines, []byte("\n"))))
	}
}
