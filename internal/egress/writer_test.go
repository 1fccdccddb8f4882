package egress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// guardedServer serves a response of n bytes to each caller and counts the handlers that have ended.
func guardedServer(t *testing.T, g *Guard, n int) (address string, ended *atomic.Int64) {
	t.Helper()
	ended = new(atomic.Int64)
	body := bytes.Repeat([]byte("x"), n)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer ended.Add(1)
		response := g.Track(w)
		defer response.Done()
		response.Header().Set("Content-Length", fmt.Sprint(n))
		_, _ = response.Write(body)
	}))
	s.Config.ConnState = g.ConnState
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), ended
}

// request sends a request with a small receive buffer and returns the connection.
func request(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(64*kib))
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	return c
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.After(20 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !done() {
		select {
		case <-deadline:
			t.Fatalf("timeout: %s", what)
		case <-tick.C:
		}
	}
}

// TestCallerThatReadsNothingIsCutOff fails without a guard: the handler, its buffers and whatever it
// holds stay until the caller goes.
func TestCallerThatReadsNothingIsCutOff(t *testing.T) {
	var reason atomic.Value
	g := NewGuard(Limits{Stall: 200 * time.Millisecond, Bytes: 1 << 30}, func(r CutReason) { reason.Store(r) })
	address, ended := guardedServer(t, g, 32*mib)
	request(t, address)
	waitFor(t, "the handler ends", func() bool { return ended.Load() == 1 })
	assert.Equal(t, reason.Load(), Stalled)
	assert.Equal(t, g.Waiting(), int64(0))
}

// TestCallerThatReadsSlowlyGetsEverything reads a response for many times the bound of a stall.
func TestCallerThatReadsSlowlyGetsEverything(t *testing.T) {
	const size = 2 * mib
	g := NewGuard(Limits{Stall: 500 * time.Millisecond, Bytes: 1 << 30}, nil)
	address, _ := guardedServer(t, g, size)
	c := request(t, address)
	resp, err := http.ReadResponse(newSlowReader(c), nil)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
}

// slowReader reads with a pause before each part.
type slowReader struct {
	c     net.Conn
	pause time.Duration
}

func newSlowReader(c net.Conn) *bufio.Reader {
	return bufio.NewReaderSize(slowReader{c, 20 * time.Millisecond}, 16*kib)
}

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	<-time.After(r.pause)
	return r.c.Read(p) //nolint:wrapcheck // io.EOF must stay as it is
}

// TestMemoryOfSilentCallersIsBounded: callers that read nothing hold the memory that a new caller
// needs, long before they are cut off as stalled.
func TestMemoryOfSilentCallersIsBounded(t *testing.T) {
	const size = 16 * mib
	cuts := new(atomic.Int64)
	g := NewGuard(Limits{Stall: time.Minute, MinStall: 200 * time.Millisecond, Bytes: 3 * size}, func(r CutReason) {
		if r == Memory {
			cuts.Add(1)
		}
	})
	address, ended := guardedServer(t, g, size)
	for range 4 {
		request(t, address)
	}
	waitFor(t, "four responses wait", func() bool { return g.Waiting() > 3*size-4*mib || cuts.Load() > 0 })
	waitFor(t, "a silent caller is cut off", func() bool {
		resp, err := http.Get("http://" + address)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, n, int64(size))
		return cuts.Load() > 0
	})
	assert.Assert(t, ended.Load() >= 1)
}
