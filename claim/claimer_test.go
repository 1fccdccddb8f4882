package claim

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
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

type fixedVeto VetoVerdict

func (v fixedVeto) Veto(context.Context, Row) VetoVerdict { return VetoVerdict(v) }

// process is one entry instance with its own fold of a shared log.
type process struct {
	*Claimer
	fold   *Fold
	stream *commitlog.Stream
}

func start(ctx context.Context, l commitlog.Log, writer string, v Vetoer) *process {
	f := NewFold()
	s := commitlog.NewStream(l, StreamName, commitlog.Options{Writer: writer, Fold: f})
	go s.Run(ctx)
	return &process{Claimer: NewClaimer(s, f, v), fold: f, stream: s}
}

func inBubble(t *testing.T, f func(t *testing.T, ctx context.Context, l *commitlogtest.MemLog)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(t, ctx, commitlogtest.NewMemLog())
		cancel()
		synctest.Wait()
	})
}

func newClaim(attempt string) Claim {
	return Claim{Workspace: "treater-a", Key: "serial-1", RequestHash: "h", Attempt: attempt,
		Instance: "i1", Incarnation: "i1.1", Service: "guichet", RetentionSeconds: 3600}
}

func mustAcquire(t *testing.T, p *process, c Claim, want Result) Acquisition {
	t.Helper()
	s, err := p.Acquire(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, s.Result, want)
	return s
}

func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, l *commitlogtest.MemLog) {
		results := make(chan Result, 8)
		for i := range cap(results) {
			p := start(ctx, l, string(rune('a'+i)), nil)
			go func() {
				s, err := p.Acquire(ctx, newClaim("at-"+string(rune('a'+i))))
				assert.Check(t, err)
				results <- s.Result
			}()
		}
		count := map[Result]int{}
		for range cap(results) {
			count[<-results]++
		}
		assert.DeepEqual(t, count, map[Result]int{Won: 1, HeldByOther: 7})
	})
}

func TestWaiterReadsTheRecordedResponse(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, l *commitlogtest.MemLog) {
		a, b := start(ctx, l, "a", nil), start(ctx, l, "b", nil)
		won := mustAcquire(t, a, newClaim("1"), Won)
		assert.NilError(t, b.stream.CatchUp(ctx))
		mustAcquire(t, b, newClaim("2"), HeldByOther)
		go func() {
			time.Sleep(time.Second)
			_, err := a.Complete(ctx, won.Row, Response{Status: 201, Body: []byte("SN-7")})
			assert.Check(t, err)
		}()
		row, err := b.Wait(ctx, "treater-a", "serial-1")
		assert.NilError(t, err)
		resp, err := b.LoadResponse(ctx, row)
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body), "SN-7")
		mustAcquire(t, b, newClaim("3"), AlreadyComplete)
		other := newClaim("4")
		other.RequestHash = "other"
		mustAcquire(t, b, other, KeyReused)
		other.Workspace = "treater-b"
		mustAcquire(t, b, other, Won)
	})
}

func TestVetoedClaimIsReplacedAndStaleHolderHasNoEffect(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, l *commitlogtest.MemLog) {
		a, b := start(ctx, l, "a", nil), start(ctx, l, "b", fixedVeto(VetoNeverStarted))
		stale := mustAcquire(t, a, newClaim("1"), Won)
		assert.NilError(t, b.stream.CatchUp(ctx))
		row, err := b.Resolve(ctx, "treater-a", "serial-1")
		assert.NilError(t, err)
		assert.Equal(t, row.Phase, Released)
		won := mustAcquire(t, b, newClaim("2"), Won)

		_, released, err := a.Release(ctx, stale.Row, ProofRefused)
		assert.NilError(t, err)
		assert.Equal(t, released, false)
		row, err = a.Complete(ctx, stale.Row, Response{Status: 200})
		assert.NilError(t, err)
		assert.Equal(t, row.Phase, Held)
		assert.Equal(t, row.Claim.Attempt, won.Row.Claim.Attempt)
	})
}

func TestWithoutProofTheOutcomeIsUnknown(t *testing.T) {
	for _, v := range []VetoVerdict{VetoStarted, VetoOtherIncarnation, VetoUnreachable} {
		inBubble(t, func(t *testing.T, ctx context.Context, l *commitlogtest.MemLog) {
			a, b := start(ctx, l, "a", nil), start(ctx, l, "b", fixedVeto(v))
			won := mustAcquire(t, a, newClaim("1"), Won)
			assert.NilError(t, b.stream.CatchUp(ctx))
			row, err := b.Resolve(ctx, "treater-a", "serial-1")
			assert.NilError(t, err)
			assert.Equal(t, row.Phase, Unknown)
			mustAcquire(t, b, newClaim("2"), AlreadyUnknown)

			_, released, err := a.Release(ctx, won.Row, ProofRefused)
			assert.NilError(t, err)
			assert.Equal(t, released, false)
			row, err = a.Complete(ctx, won.Row, Response{Status: 200, Body: []byte("late")})
			assert.NilError(t, err)
			assert.Equal(t, row.Phase, Complete)
			mustAcquire(t, a, newClaim("3"), AlreadyComplete)
		})
	}
}

func TestUnconfirmedClaimIsReleasedWhenItTakesEffect(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, l *commitlogtest.MemLog) {
		a := start(ctx, l, "a", nil)
		l.OnAppend(func(string, []byte) commitlogtest.Fault { return commitlogtest.ApplyLate })
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := a.Acquire(short, newClaim("1"))
		assert.ErrorIs(t, err, commitlog.ErrUnconfirmed)
		l.OnAppend(nil)
		l.Flush()
		time.Sleep(10 * time.Second)
		row, ok := a.Lookup("treater-a", "serial-1")
		assert.Assert(t, ok)
		assert.Equal(t, row.Phase, Released)
	})
}

func TestResponsesAndRepliesOutliveLogRetention(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, l *commitlogtest.MemLog) {
		a := start(ctx, l, "a", nil)
		won := mustAcquire(t, a, newClaim("1"), Won)
		_, err := a.Complete(ctx, won.Row, Response{Status: 200, Body: []byte("whole")})
		assert.NilError(t, err)
		reply := Reply{Workspace: "w", ID: "r1", RetentionSeconds: 3600, Body: []byte("text")}
		assert.NilError(t, a.StoreReply(ctx, reply))

		for range 3 {
			renewEverything(t, a)
			l.Expire(StreamName, a.stream.NextOffset()-1)
			b := start(ctx, l, "b"+time.Now().String(), nil)
			assert.NilError(t, b.stream.CatchUp(ctx))
			row, _ := b.Lookup("treater-a", "serial-1")
			resp, err := b.LoadResponse(ctx, row)
			assert.NilError(t, err)
			assert.Equal(t, string(resp.Body), "whole")
			got, err := b.LoadReply(ctx, "w", "r1")
			assert.NilError(t, err)
			assert.Equal(t, string(got.Body), "text")
			a = b
		}
		time.Sleep(2 * time.Hour)
		_, err = a.LoadReply(ctx, "w", "r1")
		assert.ErrorIs(t, err, ErrNoResponse)
		renewEverything(t, a)
		rows, replies := a.fold.Len()
		assert.Equal(t, rows+replies, 0)
	})
}

// renewEverything renews all rows and replies in p's fold.
func renewEverything(t *testing.T, p *process) {
	t.Helper()
	entries, err := NewRenewals(p.stream, p.fold).Renewals(t.Context(), p.stream.NextOffset(), 100)
	assert.NilError(t, err)
	_, err = p.stream.Commit(t.Context(), entries...)
	assert.NilError(t, err)
}

// vetoingLog appends a release by another writer directly after each claim.
type vetoingLog struct {
	*commitlogtest.MemLog
	t       *testing.T
	claim   Claim
	appends int
}

func (l *vetoingLog) Append(ctx context.Context, stream string, p []byte) (commitlog.Offset, error) {
	l.appends++
	at, err := l.MemLog.Append(ctx, stream, p)
	c := l.claim
	c.Base = Version{Next: at + 1}
	e, err2 := commitlog.NewEntry(KindRelease, Release{Claim: c, Proof: ProofVetoed})
	assert.Check(l.t, err2)
	record, err2 := cbor.Marshal(map[int]any{1: 1, 2: "vetoer", 3: l.appends, 4: []commitlog.Entry{e}})
	assert.Check(l.t, err2)
	_, err2 = l.MemLog.Append(ctx, stream, record)
	assert.Check(l.t, err2)
	return at, err
}

func TestVetoedAttemptIsNotClaimedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, m *commitlogtest.MemLog) {
		l := &vetoingLog{MemLog: m, t: t, claim: newClaim("1")}
		a := start(ctx, l, "a", nil)
		_, err := a.Acquire(ctx, newClaim("1"))
		// Acquire may read the claim before its release is applied; it has won then.
		assert.Assert(t, err == nil || errors.Is(err, ErrContended), "%v", err)
		time.Sleep(time.Second)
		row, _ := a.Lookup("treater-a", "serial-1")
		assert.Equal(t, row.Phase, Released)
		assert.Equal(t, l.appends, 1)
	})
}
