package commitlog_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/commitlog/commitlogtest"
)

// countingFold counts entries.
type countingFold struct{ n int }

// Apply implements commitlog.Fold.
func (f *countingFold) Apply(commitlog.Position, commitlog.Entry) error { f.n++; return nil }

// BenchmarkFollow folds records that hold a given number of entries of 200 bytes.
// An operation is one record.
func BenchmarkFollow(b *testing.B) {
	for _, entries := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			log := commitlogtest.NewMemLog()
			fillLog(b, log, b.N, entries)
			b.ReportAllocs()
			b.ResetTimer()
			withStream(b, log, "reader", func(s *commitlog.Stream) { assert.NilError(b, s.CatchUp(b.Context())) })
		})
	}
}

// BenchmarkCommit commits from many goroutines at once, which exercises group
// commit. An operation is one commit.
func BenchmarkCommit(b *testing.B) {
	log := commitlogtest.NewMemLog()
	withStream(b, log, "writer", func(s *commitlog.Stream) {
		b.ReportAllocs()
		b.SetParallelism(256)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if _, err := s.Commit(b.Context(), commitlog.Entry{Kind: 1, Body: make([]byte, 200)}); err != nil {
					b.Error(err)
				}
			}
		})
	})
}

func fillLog(b *testing.B, log commitlog.Log, records, entries int) {
	b.Helper()
	body := make([]commitlog.Entry, entries)
	for i := range body {
		body[i] = commitlog.Entry{Kind: 1, Body: make([]byte, 200)}
	}
	withStream(b, log, "writer", func(s *commitlog.Stream) {
		for range records {
			_, err := s.Commit(b.Context(), body...)
			assert.NilError(b, err)
		}
	})
}

// withStream runs f with a stream that commits without an interval.
func withStream(b *testing.B, log commitlog.Log, writer string, f func(*commitlog.Stream)) {
	b.Helper()
	s := commitlog.NewStream(log, "bench", commitlog.Options{Writer: writer, Fold: &countingFold{}, Interval: 1})
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	f(s)
	cancel()
	wg.Wait()
}
