package gatewayd_test

import (
	"sync/atomic"
	"testing"
	"time"
)

// stalls measures for how long the machine keeps this process from running, which delays what the
// gateways, the servers and the callers of a test do.
type stalls struct{ longest atomic.Int64 }

// measureStalls measures until the test ends.
func measureStalls(t *testing.T) *stalls {
	t.Helper()
	const interval = 5 * time.Millisecond
	s := &stalls{}
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		last := time.Now()
		for {
			select {
			case <-t.Context().Done():
				return
			case <-ticker.C:
			}
			now := time.Now()
			s.longest.Store(max(s.longest.Load(), int64(now.Sub(last)-interval)))
			last = now
		}
	}()
	return s
}

// Longest returns the longest time by which the process was late.
func (s *stalls) Longest() time.Duration { return time.Duration(s.longest.Load()) }
