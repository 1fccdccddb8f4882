package event

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// buffer is a writer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func TestSinkWritesLinesInOrder(t *testing.T) {
	out := &buffer{}
	s := NewSink(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	var want strings.Builder
	for i := range 100 {
		_, err := fmt.Fprintf(io.MultiWriter(s, &want), "line %d\n", i)
		assert.NilError(t, err)
	}
	cancel()
	<-done
	assert.Equal(t, out.b.String(), want.String())
	assert.Equal(t, s.Dropped(), int64(0))
}

// TestStalledReaderOnlyDropsLines writes to a pipe that nobody reads. Write must
// not block, and the lines beyond the buffers must be counted as dropped.
func TestStalledReaderOnlyDropsLines(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	s := NewSink(w)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	line := []byte(strings.Repeat("x", 1000) + "\n")
	const lines = 5000
	begin := time.Now()
	for range lines {
		_, err := s.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(begin) < 2*time.Second)
	assert.Assert(t, s.Dropped() >= lines-2*(maxSinkBytes/1000), "%d dropped", s.Dropped())
	cancel()
	assert.NilError(t, r.Close())
	<-done
}

func TestLineLimiterSuppressesRoutineLinesOnly(t *testing.T) {
	out := &buffer{}
	l := log.New(out)
	b := NewLineLimiter(10)
	SetLineLimiter(b)
	defer SetLineLimiter(nil)
	for range 50 {
		Log(l, RequestRouted, "request", "a")
		Log(l, RequestRefused, "request", "a")
		Log(l, BackendGone, "backend", "b")
	}
	text := out.b.String()
	assert.Equal(t, strings.Count(text, "request_refused"), 50)
	assert.Equal(t, strings.Count(text, "backend_gone"), 50)
	routed := strings.Count(text, "request_routed")
	assert.Assert(t, routed >= 10 && routed <= 15, "%d lines", routed)
	assert.Equal(t, b.Suppressed(), int64(50-routed))
}

func BenchmarkLog(b *testing.B) {
	l := log.NewWithOptions(NewSink(io.Discard), log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter})
	b.ReportAllocs()
	for b.Loop() {
		Log(l, RequestRouted, "request", "9c41d07be2a35f68", "route", "r-1", "service", "s", "backend", "i-7f3a91c2",
			"reason", "free_slot", "online", 3, "batch", 2, "slots", 8, "attempt", 1, "waited", 31*time.Microsecond)
	}
}
