package upstream_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func TestBytesWithoutEndBeforeTheResponseAreCutOff(t *testing.T) {
	const maxAllocated = 8 << 20
	for _, fault := range platformtest.Endless() {
		b := platformtest.NewBackend(t, "b")
		b.SetFault(func(platformtest.Request) platformtest.Fault { return fault })
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		begin := time.Now()
		var err error
		used := allocated(func() { _, err = newPool().Do(ctx, request("1", "/call"), to(b)) }) //nolint:bodyclose // there is no response
		assert.Assert(t, err != nil, "fault %d", fault)
		assert.Assert(t, time.Since(begin) < time.Second, "fault %d: after %v", fault, time.Since(begin))
		assert.Assert(t, used < maxAllocated, "fault %d: %d bytes", fault, used)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !b.Aborted("1") {
				return poll.Continue("fault %d: the connection is open", fault)
			}
			return poll.Success()
		}, poll.WithTimeout(time.Second))
		cancel()
	}
}
