package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/internal/intake"
	"github.com/catkinrudder/catkinrudder/platform"
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

// TestHeadsWithoutEndMakeRoomForOthers covers many requests at once at a server that stops within a long head.
func TestHeadsWithoutEndMakeRoomForOthers(t *testing.T) {
	const stalled, budgetBytes = 200, 8 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", 50<<10)) // a dropped connection is closed
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}()
		}
	}()
	dropped := atomic.Int64{}
	budget := intake.NewBudget(intake.LargestFirst, 0, func() { dropped.Add(1) })
	pool := upstream.NewPool(upstream.Options{Codec: platform.Codec{}, DialTimeout: time.Second, Memory: budget})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var wg sync.WaitGroup
	var asDropped atomic.Int64
	for i := range stalled {
		wg.Go(func() {
			_, err := pool.Do(ctx, request(fmt.Sprint("s", i), "/call"), serving.Attempt{BackendID: "x", Address: ln.Addr().String()}) //nolint:bodyclose // there is no response
			assert.Check(t, err != nil)
			if errors.Is(err, intake.ErrDropped) {
				asDropped.Add(1)
			}
		})
	}
	const keptEach = 4*50<<10 - intake.FreeBytes
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := dropped.Load(); n < stalled-budgetBytes/keptEach {
			return poll.Continue("%d are dropped", n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	assert.Assert(t, budget.Kept() <= budgetBytes)
	b := platformtest.NewBackend(t, "b")
	assert.Equal(t, fetch(t, pool, request("1", "/call"), to(b)), "answer 1")
	cancel()
	wg.Wait()
	assert.Equal(t, asDropped.Load(), dropped.Load())
	assert.Equal(t, budget.Kept(), int64(0))
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
