package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// maxAcquireTries bounds the claims that one Acquire makes on a row that other
// attempts claim and release in the meantime.
const maxAcquireTries = 4

// Errors of a Claimer.
var (
	// ErrContended reports that other attempts claimed and released the row
	// each time, or that the claim was vetoed immediately. The attempt does not
	// hold the row and was not sent.
	ErrContended = errors.New("claim: row contended")
	// ErrNoResponse reports that the row or reply has no recorded response.
	ErrNoResponse = errors.New("claim: no recorded response")
)

// Result is the result of Acquire.
type Result uint8

// The results of Acquire.
const (
	// Won means that the attempt holds the row and may be dispatched once.
	Won Result = iota + 1
	// HeldByOther means that another attempt holds the row; see Wait and Resolve.
	HeldByOther
	// AlreadyComplete means that there is a recorded response; see LoadResponse.
	AlreadyComplete
	// AlreadyUnknown means that the outcome is recorded as unknown; the request is
	// never dispatched again.
	AlreadyUnknown
	// KeyReused means that the key belongs to a request with other content.
	KeyReused
)

// Acquisition is what Acquire returns. Row is the row at that time.
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

// Acquire claims the row of the claim's key for the claim's attempt, which must
// be new. If it returns an error, the attempt does not hold the row, whatever
// the log contains: the caller must not dispatch it, and a claim that may still
// take effect is released when it does.
func (c *Claimer) Acquire(ctx context.Context, claim Claim) (Acquisition, error) {
	for range maxAcquireTries {
		row, _ := c.fold.Lookup(claim.Workspace, claim.Key)
		if !row.Phase.Open() {
			return acquisitionOf(row, claim), nil
		}
		claim.Base = row.Version
		claim.At = c.now().Unix()
		pos, err := c.commit(ctx, KindClaim, claim)
		if err != nil {
			c.abandonUnconfirmed(claim, err)
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
			return acquisitionOf(row, claim), nil
		}
		break // already vetoed, and so is the attempt
	}
	return Acquisition{}, ErrContended
}

// abandonUnconfirmed releases a claim that may still take effect.
func (c *Claimer) abandonUnconfirmed(claim Claim, err error) {
	if errors.Is(err, commitlog.ErrUnconfirmed) {
		c.fold.abandon(claim, c.releaseUnsent)
	}
}

// releaseUnsent releases the row of an attempt that was never sent. It does not
// block, because the goroutine that applies records calls it.
func (c *Claimer) releaseUnsent(row Row) {
	e, err := commitlog.NewEntry(KindRelease, Release{Claim: c.claimForEnd(row), Proof: ProofNeverSent})
	if err == nil {
		_ = c.stream.Submit(e)
	}
}

func acquisitionOf(row Row, claim Claim) Acquisition {
	a := Acquisition{Row: row}
	switch {
	case row.Claim.RequestHash != claim.RequestHash:
		a.Result = KeyReused
	case row.Phase == Complete:
		a.Result = AlreadyComplete
	case row.Phase == Unknown:
		a.Result = AlreadyUnknown
	default:
		a.Result = HeldByOther
	}
	return a
}

// Release makes the row of held available again, with proof, and returns the row
// afterwards. The release took effect only if released is true; only then is it
// proven that the request was not run.
func (c *Claimer) Release(ctx context.Context, held Row, p Proof) (row Row, released bool, err error) {
	pos, err := c.commit(ctx, KindRelease, Release{Claim: c.claimForEnd(held), Proof: p})
	if err != nil {
		return Row{}, false, err
	}
	row = c.lookup(held)
	return row, row.Phase == Released && row.Version == versionOf(pos), nil
}

// Complete records the response of the attempt in held and returns the row
// afterwards. The row holds another attempt's state if held was stale.
func (c *Claimer) Complete(ctx context.Context, held Row, resp Response) (Row, error) {
	_, err := c.commit(ctx, KindOutcome, Outcome{Claim: c.claimForEnd(held), Verdict: VerdictComplete, Response: resp})
	return c.lookup(held), err
}

// MarkUnknown records that it cannot be determined whether the attempt was run.
// It returns the row afterwards, which is complete or released if such a record
// came first.
func (c *Claimer) MarkUnknown(ctx context.Context, held Row) (Row, error) {
	_, err := c.commit(ctx, KindOutcome, Outcome{Claim: c.claimForEnd(held), Verdict: VerdictUnknown})
	return c.lookup(held), err
}

// RecordResponse stores the response of an idempotent keyed call and returns the
// row afterwards, which holds the first recorded response.
func (c *Claimer) RecordResponse(ctx context.Context, claim Claim, resp Response) (Row, error) {
	row, _ := c.fold.Lookup(claim.Workspace, claim.Key)
	if !row.Phase.Open() {
		return row, nil
	}
	claim.Base = row.Version
	claim.At = c.now().Unix()
	_, err := c.commit(ctx, KindUnclaimedResponse, UnclaimedResponse{Claim: claim, Response: resp})
	row, _ = c.fold.Lookup(claim.Workspace, claim.Key)
	return row, err
}

// StoreReply stores a reply that can be read again by its id.
func (c *Claimer) StoreReply(ctx context.Context, r Reply) error {
	r.At = c.now().Unix()
	r.Version = Version{}
	_, err := c.commit(ctx, KindReply, r)
	return err
}

// Wait blocks until no attempt holds the row of a key and returns the row.
func (c *Claimer) Wait(ctx context.Context, workspace, key string) (Row, error) {
	for {
		row, ch := c.fold.watchRow(workspace, key)
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

// Lookup returns the row of a key as this process has applied it.
func (c *Claimer) Lookup(workspace, key string) (Row, bool) {
	return c.fold.Lookup(workspace, key)
}

// LoadResponse reads the response of a complete row from the log. It returns
// ErrNoResponse or commitlog.ErrNotRetained if the record of the response was
// lost. The status of a returned response is never 0.
func (c *Claimer) LoadResponse(ctx context.Context, row Row) (Response, error) {
	if row.Phase != Complete {
		return Response{}, ErrNoResponse
	}
	resp, err := loadResponse(ctx, c.stream, row.ResponsePos)
	if err == nil && resp.Status == 0 {
		err = ErrNoResponse
	}
	return resp, err
}

// LoadReply reads a stored reply from the log.
func (c *Claimer) LoadReply(ctx context.Context, workspace, id string) (Reply, error) {
	r, ok := c.fold.Reply(workspace, id)
	if !ok || expired(r.At, r.RetentionSeconds, c.now()) {
		return Reply{}, ErrNoResponse
	}
	return loadReply(ctx, c.stream, r.RecordPos)
}

// claimForEnd returns the claim to put into a release or an outcome of held. Its
// base is the version of the claim that holds the row.
func (c *Claimer) claimForEnd(held Row) Claim {
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
