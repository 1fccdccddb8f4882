package upstream_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/serving"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// manyLines returns a head of n short lines that responds to the request id.
func manyLines(id string, n int) string {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n")
	for i := range n {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	return head.String()
}

// TestHeadOfManyLinesIsNotRead covers lines that need many times the memory of their bytes.
func TestHeadOfManyLinesIsNotRead(t *testing.T) {
	const lines = 9000
	do := func(ctx context.Context, address string) error {
		resp, err := newPool().Do(ctx, request("1", "/call"), serving.Attempt{BackendID: "b", Address: address})
		if err == nil {
			resp.Close()
		}
		return err
	}
	for name, end := range map[string]string{"whole": "\r\n", "without end": "X-Long: "} {
		t.Run(name, func(t *testing.T) {
			limits := platformtest.EndlessLimits{ReadBytes: 64 << 10, AllocatedBytes: 512 << 10}
			platformtest.CheckEndless(t, manyLines("1", lines)+end, limits, do)
		})
	}
}

// TestHeadsOfSomeLinesAreRead covers heads of several responses on one connection, and informational ones.
func TestHeadsOfSomeLinesAreRead(t *testing.T) {
	const lines = 200
	b := platformtest.NewBackend(t, "b")
	b.SetHeader(strings.Repeat("X-Many: x\r\n", lines))
	pool := newPool()
	for _, id := range []string{"1", "2", "3"} {
		resp, err := pool.Do(t.Context(), request(id, "/call"), to(b))
		assert.NilError(t, err)
		assert.Equal(t, len(resp.Header["X-Many"]), lines)
		resp.Discard()
		resp.Close()
	}
	assert.Equal(t, b.Connections(), 1)
}

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
