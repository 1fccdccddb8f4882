package capacity

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/internal/logservice"
	"github.com/catkinrudder/catkinrudder/internal/standin"
)

const (
	streamName = "capacity"
	// offerDuration is how long commits are offered to a stream.
	offerDuration = 500 * time.Millisecond
	// offerInterval is the interval at which due commits are started.
	offerInterval = 2 * time.Millisecond
	// bodyBytes is the size of each committed entry's body.
	bodyBytes = 200
	// appendsPerSecond is the append budget that commitlog.appends.budget measures.
	appendsPerSecond = 20
)

// countingLog counts the appends to a log service and their payload bytes.
type countingLog struct {
	commitlog.Log
	appends, bytes atomic.Int64
}

// Append implements commitlog.Log.
func (l *countingLog) Append(ctx context.Context, stream string, payload []byte) (commitlog.Offset, error) {
	l.appends.Add(1)
	l.bytes.Add(int64(len(payload)))
	return l.Log.Append(ctx, stream, payload)
}

// noopFold is a fold without state.
type noopFold struct{}

// Apply implements commitlog.Fold.
func (noopFold) Apply(commitlog.Position, commitlog.Entry) error { return nil }

// withStream calls f with a running stream over a new, empty log service.
func withStream(ctx context.Context, opts commitlog.Options, f func(ctx context.Context, s *commitlog.Stream, l *countingLog) error) error {
	l := &countingLog{Log: standin.NewLogService().Log()}
	opts.Writer, opts.Fold = identifier(0), noopFold{}
	s := commitlog.NewStream(l, streamName, opts)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	return f(ctx, s, l)
}

// appendRate offers perSecond commits per second and returns the rate of the
// appends that they cause.
func appendRate(ctx context.Context, opts commitlog.Options, perSecond int) (float64, error) {
	var rate float64
	err := withStream(ctx, opts, func(ctx context.Context, s *commitlog.Stream, l *countingLog) error {
		start := time.Now()
		offerCommits(ctx, s, perSecond)
		rate = float64(l.appends.Load()) / time.Since(start).Seconds()
		return nil
	})
	return rate, err
}

// offerCommits starts commits at an even rate for offerDuration, each commit in
// its own goroutine.
func offerCommits(ctx context.Context, s *commitlog.Stream, perSecond int) {
	e := commitlog.Entry{Kind: 1, Body: make([]byte, bodyBytes)}
	ticker := time.NewTicker(offerInterval)
	defer ticker.Stop()
	start, sent := time.Now(), 0
	for now := start; now.Sub(start) < offerDuration; now = <-ticker.C {
		for due := int(now.Sub(start).Seconds() * float64(perSecond)); sent < due; sent++ {
			go func() { _, _ = s.Commit(ctx, e) }()
		}
	}
}

// recordBytes returns the payload size of a record of n entries.
func recordBytes(ctx context.Context, n int) (float64, error) {
	var bytes float64
	err := withStream(ctx, commitlog.Options{}, func(ctx context.Context, s *commitlog.Stream, l *countingLog) error {
		entries := make([]commitlog.Entry, n)
		for i := range entries {
			entries[i] = commitlog.Entry{Kind: 1, Body: make([]byte, bodyBytes)}
		}
		_, err := s.Commit(ctx, entries...)
		bytes = float64(l.bytes.Load())
		return err
	})
	return bytes, err
}

func measureCommitLog(ctx context.Context) ([]Quantity, error) {
	offered := []int{100, 1000, 4000}
	return measureAll(
		measurement{Quantity{ID: "commitlog.appends", Help: "appends of one stream", Unit: PerSecond, Per: "commit/s offered"},
			offered, func(n int) (float64, error) { return appendRate(ctx, commitlog.Options{}, n) }},
		measurement{Quantity{ID: "commitlog.appends.budget", Help: "appends with a budget of 20/s", Unit: PerSecond, Per: "commit/s offered"},
			offered, func(n int) (float64, error) {
				return appendRate(ctx, commitlog.Options{Budget: commitlog.NewBudget(appendsPerSecond)}, n)
			}},
		measurement{Quantity{ID: "commitlog.record", Help: "record of entries of 200 B", Unit: Bytes, Per: "entry"},
			[]int{1, 16, 256}, func(n int) (float64, error) { return recordBytes(ctx, n) }},
		measurement{Quantity{ID: "commitlog.writer", Help: "memory of a stream that folded records", Unit: Bytes, Per: "writer seen"},
			[]int{100, 400, 1600}, func(n int) (float64, error) { return writerMemory(ctx, n) }},
	)
}

// writerMemory returns the heap that a follower retains after it has folded
// records of n writers.
func writerMemory(ctx context.Context, n int) (float64, error) {
	l := standin.NewLogService().Log()
	if err := appendWriters(ctx, l, n); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	return retainedHeap(func() (*commitlog.Stream, error) {
		s := commitlog.NewStream(l, streamName, commitlog.Options{Writer: identifier(n), Fold: noopFold{}})
		wg.Go(func() { s.Run(ctx) })
		return s, s.CatchUp(ctx)
	})
}

// appendWriters appends one record from each of n writers. The interval is minimal,
// so that a record does not wait for more entries.
func appendWriters(ctx context.Context, l commitlog.Log, n int) error {
	for i := range n {
		s := commitlog.NewStream(l, streamName, commitlog.Options{Writer: identifier(i), Fold: noopFold{}, Interval: time.Nanosecond})
		run, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		wg.Go(func() { s.Run(run) })
		_, err := s.Commit(ctx, commitlog.Entry{Kind: 1, Body: make([]byte, bodyBytes)})
		cancel()
		wg.Wait()
		if err != nil {
			return err
		}
	}
	return nil
}

// readResponse returns a response with one record of the given size.
func readResponse(bytes int) logservice.ReadResponse {
	return logservice.ReadResponse{Next: 1, Records: []logservice.ReadRecord{{Payload: make([]byte, bytes)}}}
}

// measureReads measures the size and the decoding of read responses per byte of
// record.
func measureReads(context.Context) ([]Quantity, error) {
	sizes := []int{1 << 10, 16 << 10, 256 << 10}
	return measureAll(
		measurement{Quantity{ID: "log.read.bytes", Help: "answer to a read", Unit: Bytes, Per: "byte of record"},
			sizes, func(n int) (float64, error) {
				b, err := json.Marshal(readResponse(n))
				return float64(len(b)), err
			}},
		measurement{Quantity{ID: "log.read.decode", Help: "decode the answer", Unit: Nanoseconds, Per: "byte of record"},
			sizes, func(n int) (float64, error) {
				b, err := json.Marshal(readResponse(n))
				if err != nil {
					return 0, err
				}
				var out logservice.ReadResponse
				return nanosPerCall(func() { out = logservice.ReadResponse{}; err = json.Unmarshal(b, &out) }), err
			}},
	)
}
