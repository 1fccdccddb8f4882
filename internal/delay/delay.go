// Package delay waits for a time that a context may cut short.
package delay

import (
	"context"
	"time"
)

// Wait waits for d and reports whether ctx goes on. It returns at once if d is not
// positive.
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
