package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// VetoVerdict is a sidecar's answer to a veto.
type VetoVerdict uint8

// The answers to a veto.
const (
	// VetoUnreachable says that the instance did not answer.
	VetoUnreachable VetoVerdict = iota
	// VetoNeverStarted is the incarnation's promise never to start the attempt.
	VetoNeverStarted
	// VetoStarted says that the attempt has been started.
	VetoStarted
	// VetoOtherIncarnation says that the incarnation is gone.
	VetoOtherIncarnation
)

// Vetoer asks the incarnation of the sidecar that a held row's claim names
// whether it started the attempt and has it promise never to start it
// otherwise.
type Vetoer interface {
	Veto(ctx context.Context, held Row) VetoVerdict
}

const (
	minVetoBackoff = 20 * time.Millisecond
	maxVetoBackoff = 500 * time.Millisecond
	vetoPatience   = 3 * time.Second
)

// ErrNoVetoer says that the claimer was made without a Vetoer.
var ErrNoVetoer = errors.New("claim: no vetoer")

// Resolve settles a held row whose entry is gone: it releases the row if the
// named incarnation vetoes the attempt, and records an unknown outcome without
// that proof. Call it only when the answer can no longer be waited for: a
// running attempt becomes unknown. It returns the row afterwards.
func (c *Claimer) Resolve(ctx context.Context, workspace, key string) (Row, error) {
	if c.vetoer == nil {
		return Row{}, ErrNoVetoer
	}
	row, _ := c.fold.Lookup(workspace, key)
	if row.Phase != Held {
		return row, nil
	}
	if c.veto(ctx, row) == VetoNeverStarted {
		after, _, err := c.Release(ctx, row, ProofVetoed)
		return after, err
	}
	return c.MarkUnknown(ctx, row)
}

// veto asks again while the instance does not answer, within bounds.
func (c *Claimer) veto(ctx context.Context, held Row) VetoVerdict {
	ctx, cancel := context.WithTimeout(ctx, vetoPatience)
	defer cancel()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minVetoBackoff
	wait.MaxInterval = maxVetoBackoff
	for {
		v := c.vetoer.Veto(ctx, held)
		if v != VetoUnreachable {
			return v
		}
		timer := time.NewTimer(wait.NextBackOff())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return VetoUnreachable
		}
	}
}
