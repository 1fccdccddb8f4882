package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/internal/proctest"
)

// The load that callers send concurrently.
const (
	maxBody       = 1 << 20 // the configuration's limit
	bodySenders   = 150
	idleCallers   = 1000
	headerLength  = 60 << 10
	headerSenders = 200
	sendBuffer    = 8 << 10
)

// peakMemory returns the peak resident set size of a process in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for line := range strings.SplitSeq(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			assert.NilError(t, err)
			return kb << 10
		}
	}
	t.Fatal("process status has no VmHWM line")
	return 0
}

// smallGateway starts a gateway with the smallest memory limit.
func smallGateway(t *testing.T) *proctest.Gateway {
	t.Helper()
	r, err := newRound(Plan{Gateways: 1}, t.TempDir())
	assert.NilError(t, err)
	t.Cleanup(r.close)
	assert.NilError(t, r.start(t.Context()))
	return r.gateways[0]
}

// TestMemoryStaysWithinLimitUnderLargestInput sends more than a small process can hold: long bodies,
// long headers and idle connections at the same time.
func TestMemoryStaysWithinLimitUnderLargestInput(t *testing.T) {
	g := smallGateway(t)
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for range idleCallers {
		wg.Go(func() { holdConnection(ctx, g.CallerAddr) })
	}
	var senders, sent sync.WaitGroup
	sent.Add(bodySenders + headerSenders)
	for i := range bodySenders {
		senders.Go(func() { sendBody(g.CallerAddr, i, &sent) })
	}
	for range headerSenders {
		senders.Go(func() { sendHeader(g.CallerAddr, &sent) })
	}
	senders.Wait()
	peak := peakMemory(t, g.PID())
	cancel()
	wg.Wait()
	t.Logf("peak %d MB of %d", peak>>20, memoryMB)
	assert.Assert(t, peak < memoryMB<<20, "%d MB", peak>>20)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.Ready() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	})
}

// holdConnection keeps a connection with a partial request open until ctx ends.
func holdConnection(ctx context.Context, address string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /batch/x HTTP/1.1\r\nHost: "+host+"\r\n") // a refused connection holds nothing
	<-ctx.Done()
}

// sendBody sends a submission of the maximum length. It sends the last byte when all
// other senders have sent theirs up to it, so that all bodies are held at the same time.
// Errors mean that the gateway has refused the request, which it may do.
func sendBody(address string, i int, sent *sync.WaitGroup) {
	head := fmt.Sprintf("POST /batch/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: huge-%d\r\nContent-Length: %d\r\n\r\n", host, i, maxBody)
	sendInTwoParts(address, head+strings.Repeat("x", maxBody-1), "x", sent)
}

func sendHeader(address string, sent *sync.WaitGroup) {
	head := fmt.Sprintf("POST /call-once/x HTTP/1.1\r\nHost: %s\r\nX-Long: %s\r\n", host, strings.Repeat("x", headerLength))
	sendInTwoParts(address, head, "Content-Length: 0\r\n\r\n", sent)
}

// sendInTwoParts sends the first part of a request, and the last part when all senders
// have sent their first.
func sendInTwoParts(address, first, last string, sent *sync.WaitGroup) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		sent.Done()
		return
	}
	defer func() { _ = c.Close() }()
	// With a small send buffer, most of what was sent has been read by the gateway.
	_ = c.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	_, _ = io.WriteString(c, first) // see sendBody for errors
	sent.Done()
	sent.Wait()
	_, _ = io.WriteString(c, last)
	_, _ = bufio.NewReader(c).ReadString('\n')
}
