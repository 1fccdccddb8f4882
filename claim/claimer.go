package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// maxAcquireTries bounds the claims of one Acquire on a row that others claim
// and release meanwhile.
const maxAcquireTries = 4

// Errors of a Claimer.
var (
	// ErrContended says that others claimed and released the row each time, or
	// that the claim was vetoed at once; the attempt does not hold the row and
	// was not sent.
	ErrContended = errors.New("claim: row contended")
	// ErrNoAnswer says that the row or reply has no recorded answer.
	ErrNoResponse = errors.New("claim: no recorded answer")
)

// Result is the answer to Acquire.
type Result uint8

// The results of Acquire.
const (
	// Won says that the attempt holds the row and may be dispatched once.
	Won Result = iota + 1
	// HeldByOther says that another attempt holds it; see Wait and Resolve.
	HeldByOther
	// AlreadyComplete says that there is a recorded answer; see Recorded.
	AlreadyComplete
	// AlreadyUnknown says that the outcome is unknown for ever.
	AlreadyUnknown
	// KeyReused says that the key belongs to a request with other content.
	KeyReused
)

// Acquisition is what Acquire found. Row is the row at that time.
type Acquisition struct {
	Result Result
	Row    Row
}

// Claimer claims rows through a stream whose fold is Fold. It is safe for
// concurrent use.
type Claimer struct {
	stream *commitlog.Stream
	fold   *Fold
	vetoer Vetoer
	now    func() time.Time
}

// NewClaimer returns a claimer. vetoer may be nil if Resolve is not used.
func NewClaimer(stream *commitlog.Stream, fold *Fold, vetoer Vetoer) *Claimer {
	return &Claimer{stream: stream, fold: fold, vetoer: vetoer, now: time.Now}
}

// Acquire claims the row of c's key for c's attempt, which must be new. An
// error means that the attempt does not hold the row, whatever the log holds:
// the caller must not dispatch it, and a claim that may still take effect is
// followed by its release.
func (c *Claimer) Acquire(ctx context.Context, claim Claim) (Acquisition, error) {
	for range maxAcquireTries {
		row, _ := c.fold.Lookup(claim.Workspace, claim.Key)
		if !row.Phase.Open() {
			return stateOf(row, claim), nil
		}
		claim.Base = row.Version
		claim.At = c.now().Unix()
		pos, err := c.commit(ctx, KindClaim, claim)
		if err != nil {
			c.disown(claim, err)
			return Acquisition{}, err
		}
		row, _ = c.fold.Lookup(claim.Workspace, claim.Key)
		if row.Claimed != versionOf(pos) {
			continue
		}
		if row.Phase == Held {
			return Acquisition{Result: Won, Row: row}, nil
		}
		if row.Phase.Ended() {
			return stateOf(row, claim), nil
		}
		break // vetoed already, and so is the attempt
	}
	return Acquisition{}, ErrContended
}

// disown has a claim released that may still take effect.
func (c *Claimer) disown(claim Claim, err error) {
	if errors.Is(err, commitlog.ErrUnconfirmed) {
		c.fold.disown(claim, c.releaseUnsent)
	}
}

// releaseUnsent releases the row of an attempt that was never sent. It does not
// wait, because the goroutine that folds calls it.
func (c *Claimer) releaseUnsent(row Row) {
	e, err := commitlog.NewEntry(KindRelease, Release{Claim: c.ending(row), Proof: ProofNeverSent})
	if err == nil {
		_ = c.stream.Submit(e)
	}
}

func stateOf(row Row, claim Claim) Acquisition {
	s := Acquisition{Row: row}
	switch {
	case row.Claim.RequestHash != claim.RequestHash:
		s.Result = KeyReused
	case row.Phase == Complete:
		s.Result = AlreadyComplete
	case row.Phase == Unknown:
		s.Result = AlreadyUnknown
	default:
		s.Result = HeldByOther
	}
	return s
}

// Release opens the row that held stands for, with proof, and returns the row
// as it is afterwards. Only if released is true did this release take effect;
// only then was the request not run.
func (c *Claimer) Release(ctx context.Context, held Row, p Proof) (row Row, released bool, err error) {
	pos, err := c.commit(ctx, KindRelease, Release{Claim: c.ending(held), Proof: p})
	if err != nil {
		return Row{}, false, err
	}
	row = c.lookup(held)
	return row, row.Phase == Released && row.Version == versionOf(pos), nil
}

// Complete records the answer of the attempt that held stands for and returns
// the row afterwards. The row holds another attempt's state if held was stale.
func (c *Claimer) Complete(ctx context.Context, held Row, answer Response) (Row, error) {
	_, err := c.commit(ctx, KindOutcome, Outcome{Claim: c.ending(held), Verdict: VerdictComplete, Response: answer})
	return c.lookup(held), err
}

// MarkUnknown records that nobody knows whether the attempt was run and returns
// the row afterwards, which may be complete or released if that came first.
func (c *Claimer) MarkUnknown(ctx context.Context, held Row) (Row, error) {
	_, err := c.commit(ctx, KindOutcome, Outcome{Claim: c.ending(held), Verdict: VerdictUnknown})
	return c.lookup(held), err
}

// RecordResponse keeps the answer of an idempotent keyed call and returns the row
// afterwards, which holds the first answer recorded.
func (c *Claimer) RecordResponse(ctx context.Context, claim Claim, answer Response) (Row, error) {
	row, _ := c.fold.Lookup(claim.Workspace, claim.Key)
	if !row.Phase.Open() {
		return row, nil
	}
	claim.Base = row.Version
	claim.At = c.now().Unix()
	_, err := c.commit(ctx, KindAnswer, Answer{Claim: claim, Response: answer})
	row, _ = c.fold.Lookup(claim.Workspace, claim.Key)
	return row, err
}

// StoreReply keeps a reply that can be read again by its id.
func (c *Claimer) StoreReply(ctx context.Context, r Reply) error {
	r.At = c.now().Unix()
	r.Version = Version{}
	_, err := c.commit(ctx, KindReply, r)
	return err
}

// Wait returns the row of a key once no attempt holds it.
func (c *Claimer) Wait(ctx context.Context, workspace, key string) (Row, error) {
	for {
		row, ch := c.fold.changed(workspace, key)
		if row.Phase != Held {
			return row, nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return row, ctx.Err()
		}
	}
}

// Lookup returns the row of a key as folded here.
func (c *Claimer) Lookup(workspace, key string) (Row, bool) {
	return c.fold.Lookup(workspace, key)
}

// LoadResponse reads the answer of a complete row from the log. An answer whose
// record was lost is ErrNoAnswer or commitlog.ErrNotKept; its status is never 0.
func (c *Claimer) LoadResponse(ctx context.Context, row Row) (Response, error) {
	if row.Phase != Complete {
		return Response{}, ErrNoResponse
	}
	answer, err := recorded(ctx, c.stream, row.Body)
	if err == nil && answer.Status == 0 {
		err = ErrNoResponse
	}
	return answer, err
}

// LoadReply reads a stored reply from the log.
func (c *Claimer) LoadReply(ctx context.Context, workspace, id string) (Reply, error) {
	r, ok := c.fold.Reply(workspace, id)
	if !ok || expired(r.At, r.RetentionSeconds, c.now()) {
		return Reply{}, ErrNoResponse
	}
	return loadReply(ctx, c.stream, r.Body)
}

// ending returns the claim of held as its release or outcome names it.
func (c *Claimer) ending(held Row) Claim {
	claim := held.Claim
	claim.Base = held.Claimed
	claim.At = c.now().Unix()
	return claim
}

func (c *Claimer) lookup(held Row) Row {
	row, _ := c.fold.Lookup(held.Claim.Workspace, held.Claim.Key)
	return row
}

func (c *Claimer) commit(ctx context.Context, kind commitlog.EntryKind, body any) (commitlog.Position, error) {
	e, err := commitlog.NewEntry(kind, body)
	if err != nil {
		return commitlog.Position{}, err
	}
	return c.stream.Commit(ctx, e)
}
