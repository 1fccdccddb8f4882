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
	// maxSinkBytes bounds the size of the lines that are buffered.
	maxSinkBytes = 512 << 10
	// flushInterval is the time for which lines are collected before they are
	// written in one call.
	flushInterval = 20 * time.Millisecond
)

// Sink is an io.Writer for log lines that never blocks. Lines that the output does
// not accept in time are dropped and counted. It is safe for concurrent use.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	pending bytes.Buffer
	wakeup  chan struct{}

	dropped atomic.Int64
}

// NewSink returns a sink that writes to out while Run runs.
func NewSink(out io.Writer) *Sink { return &Sink{out: out, wakeup: make(chan struct{}, 1)} }

// Write implements io.Writer. Each call must pass complete lines.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending.Len()+len(line) > maxSinkBytes {
		s.dropped.Add(int64(bytes.Count(line, []byte("\n"))))
		return len(line), nil
	}
	if s.pending.Len() == 0 {
		select {
		case s.wakeup <- struct{}{}:
		default:
		}
	}
	return s.pending.Write(line)
}

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes lines until ctx ends and then writes the remaining ones.
func (s *Sink) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case <-s.wakeup:
		}
		t := time.NewTimer(flushInterval)
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
		s.flush()
	}
}

// flush writes the buffered lines. The output may block, which delays only Run.
func (s *Sink) flush() {
	s.mu.Lock()
	lines := bytes.Clone(s.pending.Bytes())
	s.pending.Reset()
	s.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := s.out.Write(lines); err != nil {
		s.dropped.Add(int64(bytes.Count(lines, []byte("\n"))))
	}
}
