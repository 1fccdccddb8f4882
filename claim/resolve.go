package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// VetoVerdict is a sidecar's response to a veto request.
type VetoVerdict uint8

// The responses to a veto request.
const (
	// VetoUnreachable means that the instance did not respond.
	VetoUnreachable VetoVerdict = iota
	// VetoNeverStarted is the incarnation's promise never to start the attempt.
	VetoNeverStarted
	// VetoStarted means that the attempt has been started.
	VetoStarted
	// VetoOtherIncarnation means that the incarnation no longer exists.
	VetoOtherIncarnation
)

// Vetoer sends a veto request to the sidecar incarnation that the claim of a held
// row names. An incarnation that has not started the attempt promises never to
// start it.
type Vetoer interface {
	Veto(ctx context.Context, held Row) VetoVerdict
}

const (
	minVetoBackoff = 20 * time.Millisecond
	maxVetoBackoff = 500 * time.Millisecond
	vetoTimeout    = 3 * time.Second
)

// ErrNoVetoer reports that the claimer was created without a Vetoer.
var ErrNoVetoer = errors.New("claim: no vetoer")

// Resolve ends a held row whose claiming entry instance is unavailable: it
// releases the row if the named incarnation vetoes the attempt, and otherwise
// records an unknown outcome. Call it only when waiting for the response is no
// longer possible: the outcome of a running attempt becomes unknown. It returns
// the row afterwards.
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

// veto repeats the request until the instance responds or vetoTimeout has passed.
func (c *Claimer) veto(ctx context.Context, held Row) VetoVerdict {
	ctx, cancel := context.WithTimeout(ctx, vetoTimeout)
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
