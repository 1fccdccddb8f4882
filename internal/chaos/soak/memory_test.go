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

// What callers send at once.
const (
	hugeBody       = 1 << 20 // the configuration's limit
	hugeSenders    = 150
	idleCallers    = 1000
	longHeader     = 60 << 10
	longHeaderSent = 200
	sendBuffer     = 8 << 10
)

// peakMemory returns the largest resident size of a process, in bytes.
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
	t.Fatal("no VmHWM")
	return 0
}

// smallGateway runs one gateway of the smallest size.
func smallGateway(t *testing.T) *proctest.Gateway {
	t.Helper()
	r, err := newRound(Plan{Gateways: 1}, t.TempDir())
	assert.NilError(t, err)
	t.Cleanup(r.close)
	assert.NilError(t, r.start(t.Context()))
	return r.gateways[0]
}

// TestMemoryUnderTheLargestInput sends more than a small process can hold: long
// bodies, long headers and idle connections at once.
func TestMemoryUnderTheLargestInput(t *testing.T) {
	g := smallGateway(t)
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for range idleCallers {
		wg.Go(func() { hold(ctx, g.CallerAddr) })
	}
	var senders, sent sync.WaitGroup
	sent.Add(hugeSenders + longHeaderSent)
	for i := range hugeSenders {
		senders.Go(func() { sendBody(g.CallerAddr, i, &sent) })
	}
	for range longHeaderSent {
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

// hold keeps a connection with half a request open until ctx ends.
func hold(ctx context.Context, address string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /batch/x HTTP/1.1\r\nHost: "+host+"\r\n") // a refused connection holds nothing
	<-ctx.Done()
}

// sendBody sends a submission as long as the limit allows, the last byte when all
// others have sent theirs, so that all are held at once. Errors mean that the gateway
// has refused: that is what it may do.
func sendBody(address string, i int, sent *sync.WaitGroup) {
	head := fmt.Sprintf("POST /batch/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: huge-%d\r\nContent-Length: %d\r\n\r\n", host, i, hugeBody)
	sendInTwo(address, head+strings.Repeat("x", hugeBody-1), "x", sent)
}

func sendHeader(address string, sent *sync.WaitGroup) {
	head := fmt.Sprintf("POST /call-once/x HTTP/1.1\r\nHost: %s\r\nX-Long: %s\r\n", host, strings.Repeat("x", longHeader))
	sendInTwo(address, head, "Content-Length: 0\r\n\r\n", sent)
}

// sendInTwo sends the first part of a request, and the last one when all senders have
// sent their first.
func sendInTwo(address, first, last string, sent *sync.WaitGroup) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		sent.Done()
		return
	}
	defer func() { _ = c.Close() }()
	// What is not buffered here has been read there.
	_ = c.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	_, _ = io.WriteString(c, first) // see sendBody for errors
	sent.Done()
	sent.Wait()
	_, _ = io.WriteString(c, last)
	_, _ = bufio.NewReader(c).ReadString('\n')
}
