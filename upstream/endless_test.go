package upstream_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/upstream"
)

func TestBytesWithoutEndBeforeTheResponseAreCutOff(t *testing.T) {
	const maxAllocated = 8 << 20
	for _, fault := range platformtest.Endless() {
		b := platformtest.NewBackend(t, "b")
		b.SetFault(func(platformtest.Request) platformtest.Fault { return fault })
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		begin := time.Now()
		var err error
		used := platformtest.Allocated(func() { _, err = newPool().Do(ctx, request("1", "/call"), to(b)) }) //nolint:bodyclose // there is no response
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

func TestPeerClientReadsNoHeadWithoutEnd(t *testing.T) {
	platformtest.CheckEndless(t, platformtest.EndlessHead, platformtest.EndlessLimits{ReadBytes: 64 << 10, AllocatedBytes: 4 << 20}, func(ctx context.Context, address string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
		assert.NilError(t, err)
		resp, err := upstream.PeerClient().Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	})
}
