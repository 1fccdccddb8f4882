// Package delay waits for a duration that a context can cut short.
package delay

import (
	"context"
	"time"
)

// Wait blocks for d or until ctx is done, and reports whether ctx is still active. It
// returns at once if d is not positive.
func Wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
