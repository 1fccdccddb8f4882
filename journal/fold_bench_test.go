package journal_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/journal"
	"github.com/catkinrudder/catkinrudder/journal/journaltest"
)

// countFold counts entries.
type countFold struct{ n int }

// Apply implements journal.Fold.
func (f *countFold) Apply(journal.Position, journal.Entry) error { f.n++; return nil }

// BenchmarkFollow folds records of a number of entries of 200 bytes; an
// operation is one record.
func BenchmarkFollow(b *testing.B) {
	for _, entries := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			log := journaltest.NewMemLog()
			fillLog(b, log, b.N, entries)
			b.ReportAllocs()
			b.ResetTimer()
			withStream(b, log, "reader", func(s *journal.Stream) { assert.NilError(b, s.CaughtUp(b.Context())) })
		})
	}
}

// BenchmarkCommit commits from many callers at once, as group commit does; an
// operation is one commit.
func BenchmarkCommit(b *testing.B) {
	log := journaltest.NewMemLog()
	withStream(b, log, "writer", func(s *journal.Stream) {
		b.ReportAllocs()
		b.SetParallelism(256)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if _, err := s.Commit(b.Context(), journal.Entry{Kind: 1, Body: make([]byte, 200)}); err != nil {
					b.Error(err)
				}
			}
		})
	})
}

func fillLog(b *testing.B, log journal.Log, records, entries int) {
	b.Helper()
	body := make([]journal.Entry, entries)
	for i := range body {
		body[i] = journal.Entry{Kind: 1, Body: make([]byte, 200)}
	}
	withStream(b, log, "writer", func(s *journal.Stream) {
		for range records {
			_, err := s.Commit(b.Context(), body...)
			assert.NilError(b, err)
		}
	})
}

// withStream runs f with a stream that commits without delay.
func withStream(b *testing.B, log journal.Log, writer string, f func(*journal.Stream)) {
	b.Helper()
	s := journal.NewStream(log, "bench", journal.Options{Writer: writer, Fold: &countFold{}, Interval: 1})
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	f(s)
	cancel()
	wg.Wait()
}
