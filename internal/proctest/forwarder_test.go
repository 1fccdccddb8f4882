package proctest

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

const shortWait = 50 * time.Millisecond

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newEcho returns a forwarder before a server that echoes.
func newEcho(t *testing.T) *Forwarder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	f, err := NewForwarder(ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { f.Close(); _ = ln.Close() })
	return f
}

func dial(t *testing.T, f *Forwarder) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.Addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoed sends one byte and reads it back within d.
func echoed(c net.Conn, d time.Duration) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	return readBack(c, d)
}

func readBack(c net.Conn, d time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestForwarderCutsAndRestores(t *testing.T) {
	f := newEcho(t)
	c := dial(t, f)
	assert.NilError(t, echoed(c, time.Minute))
	f.Cut()
	assert.Assert(t, echoed(c, time.Minute) != nil)
	assert.Assert(t, echoed(dial(t, f), time.Minute) != nil)
	f.Restore()
	assert.NilError(t, echoed(dial(t, f), time.Minute))
}

func TestForwarderStallsWithoutLoss(t *testing.T) {
	f := newEcho(t)
	c := dial(t, f)
	f.Stall()
	assert.ErrorContains(t, echoed(c, shortWait), "timeout")
	f.Restore()
	assert.NilError(t, readBack(c, time.Minute))
}

func TestForwarderDelays(t *testing.T) {
	f := newEcho(t)
	c := dial(t, f)
	f.Delay(shortWait)
	started := time.Now()
	assert.NilError(t, echoed(c, time.Minute))
	assert.Assert(t, time.Since(started) >= 2*shortWait)
}

func TestProcessStops(t *testing.T) {
	log := t.TempDir() + "/log"
	p, err := StartProcess(log, nil, "/bin/sleep", "600")
	assert.NilError(t, err)
	assert.Assert(t, p.Running())
	assert.ErrorContains(t, p.Stop(time.Minute), "signal: terminated")
	assert.Assert(t, !p.Running())
	p.Kill() // of a process that has ended is no error
}

func TestForwarderSilencesOneWay(t *testing.T) {
	f := newEcho(t)
	c := dial(t, f)
	assert.NilError(t, echoed(c, time.Minute))
	f.StallOneWay(FromTarget)
	assert.ErrorContains(t, echoed(c, shortWait), "timeout")
	f.Restore()
	assert.NilError(t, readBack(c, time.Minute))
}

func TestForwarderResets(t *testing.T) {
	f := newEcho(t)
	c := dial(t, f)
	assert.NilError(t, echoed(c, time.Minute))
	f.Reset()
	assert.Assert(t, echoed(c, time.Minute) != nil)
	assert.NilError(t, echoed(dial(t, f), time.Minute))
}

func TestForwarderNarrows(t *testing.T) {
	f := newEcho(t)
	c := dial(t, f)
	f.Narrow(20) // one byte takes a twentieth of a second each way
	started := time.Now()
	assert.NilError(t, echoed(c, time.Minute))
	assert.Assert(t, time.Since(started) >= 100*time.Millisecond)
}

// TestForwarderResetLooksLikeNoEnd resets connections many times: neither end may
// see the orderly end of a connection that nobody ended.
func TestForwarderResetLooksLikeNoEnd(t *testing.T) {
	f := newEcho(t)
	for range 200 {
		c := dial(t, f)
		assert.NilError(t, echoed(c, time.Minute))
		f.Reset()
		err := readBack(c, time.Minute)
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
	}
}

// TestForwarderPassesTheEndOn ends one direction and reads the rest of the other.
func TestForwarderPassesTheEndOn(t *testing.T) {
	f := newEcho(t)
	c := dial(t, f)
	_, err := c.Write([]byte("last"))
	assert.NilError(t, err)
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	raw, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "last")
}
