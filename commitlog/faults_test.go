package commitlog_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/commitlog/commitlogtest"
)

// faultyReadLog is a log service that becomes unreachable for one reader, or that
// returns pages as if it had lost its tail.
type faultyReadLog struct {
	*commitlogtest.MemLog
	mu          sync.Mutex
	unreachable bool
	truncated   bool
	reads       int
}

func (l *faultyReadLog) setUnreachable(unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = unreachable
}

func (l *faultyReadLog) Read(ctx context.Context, stream string, from commitlog.Offset, limit int, wait time.Duration) (commitlog.Page, error) {
	l.mu.Lock()
	l.reads++
	unreachable, truncated := l.unreachable, l.truncated
	l.mu.Unlock()
	if unreachable {
		return commitlog.Page{}, commitlogtest.ErrDown
	}
	if truncated {
		return commitlog.Page{}, nil
	}
	page, err := l.MemLog.Read(ctx, stream, from, limit, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return commitlog.Page{}, commitlogtest.ErrDown
	}
	return page, err
}

func TestTruncatedLogIsDown(t *testing.T) {
	inBubble(t, func(b *bubble) {
		l := &faultyReadLog{MemLog: b.log}
		s := commitlog.NewStream(l, streamName, commitlog.Options{Writer: "w", Fold: &listFold{}})
		go s.Run(b.ctx)
		b.commitAll(s, "1")
		time.Sleep(10 * time.Second)
		l.mu.Lock()
		l.truncated, l.reads = true, 0
		l.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Assert(b, s.Down())
		l.mu.Lock()
		defer l.mu.Unlock()
		assert.Assert(b, l.reads < 100, "%d reads in a minute", l.reads)
	})
}

// naiveFold reads a whole log and keeps the first record of each sequence number
// that is higher than every earlier one of its writer.
func naiveFold(t assert.TestingT, l commitlog.Log) []string {
	page, err := l.Read(context.Background(), streamName, 0, 1<<20, 0)
	assert.NilError(t, err)
	last := map[string]uint64{}
	var out []string
	for _, r := range page.Records {
		var env struct {
			Writer  string            `cbor:"2,keyasint"`
			Seq     uint64            `cbor:"3,keyasint"`
			Entries []commitlog.Entry `cbor:"4,keyasint"`
		}
		assert.NilError(t, cbor.Unmarshal(r.Payload, &env))
		if env.Seq <= last[env.Writer] {
			continue
		}
		last[env.Writer] = env.Seq
		for _, e := range env.Entries {
			var s string
			assert.NilError(t, e.Decode(&s))
			out = append(out, s)
		}
	}
	return out
}

// runFaults runs two writers that commit through a log whose appends fail as
// given. It returns the error of each commit, by body, and the content of both
// folds.
func runFaults(b *bubble, faults []commitlogtest.Fault, timeouts []time.Duration) (map[string]error, [2][]string) {
	n := 0
	b.log.OnAppend(func(string, []byte) commitlogtest.Fault {
		n++
		if n%5 == 0 {
			go b.log.Flush()
		}
		return faults[(n-1)%len(faults)]
	})
	var mu sync.Mutex
	results := map[string]error{}
	var wg sync.WaitGroup
	streams, folds := [2]*commitlog.Stream{}, [2]*listFold{}
	for w := range streams {
		streams[w], folds[w] = b.start(commitlog.Options{Writer: fmt.Sprint("w", w)})
		for i, p := range timeouts {
			body := fmt.Sprintf("%d-%d", w, i)
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				ctx, cancel := context.WithTimeout(b.ctx, p)
				defer cancel()
				_, err := streams[w].Commit(ctx, entry(b, body))
				mu.Lock()
				defer mu.Unlock()
				results[body] = err
			})
		}
	}
	wg.Wait()
	b.log.OnAppend(nil)
	b.log.Flush()
	time.Sleep(time.Minute)
	for _, s := range streams {
		assert.NilError(b, s.CatchUp(b.ctx))
	}
	return results, [2][]string{folds[0].list(), folds[1].list()}
}

func TestFoldUnderFaultsAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]commitlogtest.Fault{
			commitlogtest.None, commitlogtest.None, commitlogtest.Drop, commitlogtest.DropResponse, commitlogtest.ApplyLate,
		}), 1, 20).Draw(rt, "faults")
		timeouts := rapid.SliceOfN(rapid.SampledFrom([]time.Duration{
			5 * time.Millisecond, 30 * time.Millisecond, time.Second, time.Hour,
		}), 1, 12).Draw(rt, "patience")
		if !slices.ContainsFunc(faults, func(f commitlogtest.Fault) bool { return f == commitlogtest.None || f == commitlogtest.DropResponse }) {
			faults = append(faults, commitlogtest.DropResponse)
		}
		var results map[string]error
		var folds [2][]string
		var want []string
		inBubble(t, func(b *bubble) {
			results, folds = runFaults(b, faults, timeouts)
			want = naiveFold(b, b.log)
		})
		checkFaults(rt, results, folds, want)
	})
}

// checkFaults checks that both folds equal the naive one and that the error of
// every commit is correct.
func checkFaults(rt *rapid.T, results map[string]error, folds [2][]string, want []string) {
	for _, got := range folds {
		if !slices.Equal(got, want) {
			rt.Fatalf("fold %v, naive %v", got, want)
		}
	}
	count := map[string]int{}
	for _, body := range want {
		count[body]++
	}
	for body, err := range results {
		n := count[body]
		switch {
		case err == nil && n != 1, errors.Is(err, commitlog.ErrNotAppended) && n != 0, n > 1:
			rt.Fatalf("commit %s returned %v and folded %d times", body, err, n)
		case err != nil && !errors.Is(err, commitlog.ErrNotAppended) && !errors.Is(err, commitlog.ErrUnconfirmed):
			rt.Fatalf("commit %s: %v", body, err)
		}
	}
}

func TestRenewerRenewsOldRecords(t *testing.T) {
	inBubble(t, func(b *bubble) {
		const retention = time.Hour
		s, f := b.start(commitlog.Options{})
		b.commitAll(s, "old")
		src := &renewNewest{b: b, s: s}
		go commitlog.NewRenewer(s, src, retention, 1).Run(b.ctx)
		time.Sleep(10 * time.Hour)
		n := len(f.list()) - 1
		assert.Assert(b, n >= 10 && n <= 21, "%d renewals in ten retentions", n)
	})
}

// renewNewest renews the newest record when it is due.
type renewNewest struct {
	b *bubble
	s *commitlog.Stream
}

func (r *renewNewest) Renewals(_ context.Context, before commitlog.Offset, _ int) ([]commitlog.Entry, error) {
	if r.s.NextOffset() > before {
		return nil, nil
	}
	return []commitlog.Entry{entry(r.b, "again")}, nil
}
