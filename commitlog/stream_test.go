package commitlog_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/commitlog/commitlogtest"
)

// TestMain sets a fixed rapid seed, so that every run generates the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261203")
	}
	os.Exit(m.Run())
}

const streamName = "s"

// listFold keeps the bodies that it has applied, in order.
type listFold struct {
	mu     sync.Mutex
	bodies []string
	resets []commitlog.Offset
}

func (f *listFold) Apply(_ commitlog.Position, e commitlog.Entry) error {
	var s string
	if err := e.Decode(&s); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bodies = append(f.bodies, s)
	return nil
}

func (f *listFold) Reset(first commitlog.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resets = append(f.resets, first)
}

// list returns the bodies applied so far.
func (f *listFold) list() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.bodies)
}

func (f *listFold) resetsSeen() []commitlog.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.resets)
}

func entry(t assert.TestingT, s string) commitlog.Entry {
	e, err := commitlog.NewEntry(1, s)
	assert.NilError(t, err)
	return e
}

type bubble struct {
	*testing.T
	ctx context.Context
	log *commitlogtest.MemLog
}

func inBubble(t *testing.T, f func(b *bubble)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(&bubble{t, ctx, commitlogtest.NewMemLog()})
		cancel()
		synctest.Wait()
	})
}

func (b *bubble) start(opts commitlog.Options) (*commitlog.Stream, *listFold) {
	f := &listFold{}
	opts.Fold = f
	if opts.Writer == "" {
		opts.Writer = "w"
	}
	s := commitlog.NewStream(b.log, streamName, opts)
	go s.Run(b.ctx)
	return s, f
}

func (b *bubble) end() commitlog.Offset {
	page, err := b.log.Read(b.ctx, streamName, 0, 1, 0)
	assert.NilError(b, err)
	return page.Next
}

func (b *bubble) commitAll(s *commitlog.Stream, bodies ...string) {
	for _, body := range bodies {
		_, err := s.Commit(b.ctx, entry(b, body))
		assert.NilError(b, err)
	}
}

func TestCommitWithdrawnBeforeSendingIsNeverAppended(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s, f := b.start(commitlog.Options{Interval: time.Second})
		ctx, cancel := context.WithTimeout(b.ctx, time.Second/2)
		defer cancel()
		_, err := s.Commit(ctx, entry(b, "withdrawn"))
		assert.ErrorIs(b, err, commitlog.ErrNotAppended)
		time.Sleep(time.Minute)
		b.commitAll(s, "kept")
		assert.DeepEqual(b, f.list(), []string{"kept"})
	})
}

func TestCommitInDoubtIsUnconfirmedAndFoldedOnce(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s, f := b.start(commitlog.Options{})
		b.log.OnAppend(func(string, []byte) commitlogtest.Fault { return commitlogtest.ApplyLate })
		ctx, cancel := context.WithTimeout(b.ctx, time.Second)
		defer cancel()
		_, err := s.Commit(ctx, entry(b, "late"))
		assert.ErrorIs(b, err, commitlog.ErrUnconfirmed)
		b.log.OnAppend(nil)
		b.commitAll(s, "next")
		b.log.Flush()
		assert.NilError(b, s.CatchUp(b.ctx))
		assert.DeepEqual(b, f.list(), []string{"late", "next"})
	})
}

func TestFullBufferRejectsCommitsUntilItDrains(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s, f := b.start(commitlog.Options{MaxPending: 3, MaxPendingBytes: 1000})
		b.log.SetDown(true)
		big := entry(b, strings.Repeat("x", 600))
		assert.NilError(b, s.Submit(big))
		assert.ErrorIs(b, s.Submit(big), commitlog.ErrFull)
		assert.NilError(b, s.Submit(entry(b, "2")))
		assert.NilError(b, s.Submit(entry(b, "3")))
		assert.ErrorIs(b, s.Submit(entry(b, "4")), commitlog.ErrFull)
		b.log.SetDown(false)
		time.Sleep(time.Minute)
		assert.Equal(b, len(f.list()), 3)
		b.commitAll(s, "5")
	})
}

func TestTooLargeCommitIsRejectedAndBlocksNoOther(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s, f := b.start(commitlog.Options{MaxCommitBytes: 100})
		_, err := s.Commit(b.ctx, entry(b, strings.Repeat("x", 101)))
		assert.ErrorIs(b, err, commitlog.ErrTooLarge)
		_, err = s.Commit(b.ctx, make([]commitlog.Entry, 1<<17)...)
		assert.ErrorIs(b, err, commitlog.ErrTooLarge)
		b.commitAll(s, "small")
		assert.DeepEqual(b, f.list(), []string{"small"})
	})
}

func TestAppendsKeepTheIntervalUnderLoad(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s, _ := b.start(commitlog.Options{Interval: 10 * time.Millisecond})
		for i := range 1000 {
			assert.NilError(b, s.Submit(entry(b, "x")))
			if i%10 == 9 {
				time.Sleep(time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		assert.Assert(b, b.end() <= 12, "%d appends in 0.1 s", b.end())
	})
}

func TestBudgetIsSpentOnlyForRecords(t *testing.T) {
	inBubble(t, func(b *bubble) {
		budget := commitlog.NewBudget(1)
		s, _ := b.start(commitlog.Options{Budget: budget})
		begin := time.Now()
		b.commitAll(s, "1", "2", "3")
		assert.Assert(b, time.Since(begin) < 2200*time.Millisecond, "%v", time.Since(begin))
		assert.Equal(b, b.end(), commitlog.Offset(3))
	})
}

func TestNoBurstAfterLogOutage(t *testing.T) {
	inBubble(t, func(b *bubble) {
		s, f := b.start(commitlog.Options{Budget: commitlog.NewBudget(10)})
		b.log.SetDown(true)
		for range 2000 {
			assert.NilError(b, s.Submit(entry(b, strings.Repeat("x", 1<<10))))
		}
		time.Sleep(10 * time.Minute)
		b.log.SetDown(false)
		time.Sleep(10 * time.Second)
		assert.Assert(b, b.end() <= 101, "%d appends in 10 s", b.end())
		assert.Equal(b, len(f.list()), 2000)
	})
}

// hangingLog performs an append but responds only when its caller cancels.
type hangingLog struct{ *commitlogtest.MemLog }

func (l hangingLog) Append(ctx context.Context, stream string, p []byte) (commitlog.Offset, error) {
	_, _ = l.MemLog.Append(ctx, stream, p)
	<-ctx.Done()
	return 0, ctx.Err()
}

func TestFoldedRecordDoesNotWaitForItsResponse(t *testing.T) {
	inBubble(t, func(b *bubble) {
		f := &listFold{}
		s := commitlog.NewStream(hangingLog{b.log}, streamName, commitlog.Options{Writer: "w", Fold: f})
		go s.Run(b.ctx)
		begin := time.Now()
		b.commitAll(s, "1", "2", "3")
		assert.Assert(b, time.Since(begin) < time.Second, "%v", time.Since(begin))
		assert.Equal(b, b.end(), commitlog.Offset(3))
		assert.DeepEqual(b, f.list(), []string{"1", "2", "3"})
	})
}

func TestRetentionGapResetsTheFold(t *testing.T) {
	for _, before := range []int{0, 2} {
		inBubble(t, func(b *bubble) {
			var out bytes.Buffer
			f := &listFold{}
			slow := &faultyReadLog{MemLog: b.log}
			s := commitlog.NewStream(slow, streamName, commitlog.Options{Writer: "slow", Fold: f, Logger: log.New(&out)})
			go s.Run(b.ctx)
			w, _ := b.start(commitlog.Options{})
			for range before {
				b.commitAll(w, "before")
			}
			time.Sleep(3 * time.Second)
			slow.setUnreachable(true)
			b.commitAll(w, "1", "2", "3", "4")
			b.log.Expire(streamName, commitlog.Offset(before+2))
			slow.setUnreachable(false)
			time.Sleep(10 * time.Second)
			assert.DeepEqual(b, f.resetsSeen(), []commitlog.Offset{commitlog.Offset(before + 2)})
			assert.DeepEqual(b, f.list()[before:], []string{"3", "4"})
			assert.Assert(b, strings.Contains(out.String(), "retention_gap"))
		})
	}
}

func TestUnreadableRecordsAreReportedAndSkipped(t *testing.T) {
	inBubble(t, func(b *bubble) {
		var out bytes.Buffer
		s, f := b.start(commitlog.Options{Logger: log.New(&out)})
		b.commitAll(s, "1")
		for _, payload := range [][]byte{nil, {0xff}, {0xa1, 0x01}, {0xa2, 0x01, 0x02, 0x02, 0x61, 0x77}} {
			_, err := b.log.Append(b.ctx, streamName, payload)
			assert.NilError(b, err)
		}
		_, err := s.Commit(b.ctx, commitlog.Entry{Kind: 1, Body: []byte{0xff}}, entry(b, "2"))
		assert.NilError(b, err)
		assert.DeepEqual(b, f.list(), []string{"1", "2"})
		assert.Equal(b, strings.Count(out.String(), "record_skipped"), 5)
		assert.Assert(b, strings.Contains(out.String(), "offset=4"))
	})
}

func TestStoppedStreamCompletesEveryCommit(t *testing.T) {
	inBubble(t, func(b *bubble) {
		ctx, cancel := context.WithCancel(b.ctx)
		s := commitlog.NewStream(b.log, streamName, commitlog.Options{Writer: "w", Fold: &listFold{}})
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		b.log.SetDown(true)
		errs := make(chan error, 2)
		commit := func() { _, err := s.Commit(b.ctx, entry(b, "x")); errs <- err }
		go commit()
		time.Sleep(time.Second)
		go commit()
		synctest.Wait()
		cancel()
		<-done
		got := []string{(<-errs).Error(), (<-errs).Error()}
		b.log.SetDown(false)
		assert.Assert(b, got[0] != got[1], "%v", got)
		_, err := s.Commit(b.ctx, entry(b, "x"))
		assert.ErrorIs(b, err, commitlog.ErrStopped)
		assert.NilError(b, s.CatchUp(b.ctx))
	})
}
