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

const shortTimeout = 50 * time.Millisecond

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newEchoForwarder returns a forwarder to an echo server.
func newEchoForwarder(t *testing.T) *Forwarder {
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

// echoByte sends one byte and reads its echo within d.
func echoByte(c net.Conn, d time.Duration) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	return readByte(c, d)
}

func readByte(c net.Conn, d time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestForwarderCutsAndRestores(t *testing.T) {
	f := newEchoForwarder(t)
	c := dial(t, f)
	assert.NilError(t, echoByte(c, time.Minute))
	f.Cut()
	assert.Assert(t, echoByte(c, time.Minute) != nil)
	assert.Assert(t, echoByte(dial(t, f), time.Minute) != nil)
	f.Restore()
	assert.NilError(t, echoByte(dial(t, f), time.Minute))
}

func TestForwarderStallsWithoutLoss(t *testing.T) {
	f := newEchoForwarder(t)
	c := dial(t, f)
	f.Stall()
	assert.ErrorContains(t, echoByte(c, shortTimeout), "timeout")
	f.Restore()
	assert.NilError(t, readByte(c, time.Minute))
}

func TestForwarderDelays(t *testing.T) {
	f := newEchoForwarder(t)
	c := dial(t, f)
	f.Delay(shortTimeout)
	started := time.Now()
	assert.NilError(t, echoByte(c, time.Minute))
	assert.Assert(t, time.Since(started) >= 2*shortTimeout)
}

func TestProcessStops(t *testing.T) {
	log := t.TempDir() + "/log"
	p, err := StartProcess(log, nil, "/bin/sleep", "600")
	assert.NilError(t, err)
	assert.Assert(t, p.Running())
	assert.ErrorContains(t, p.Stop(time.Minute), "signal: terminated")
	assert.Assert(t, !p.Running())
	p.Kill() // killing an exited process is not an error
}

func TestForwarderStallsOneDirection(t *testing.T) {
	f := newEchoForwarder(t)
	c := dial(t, f)
	assert.NilError(t, echoByte(c, time.Minute))
	f.StallDirection(FromTarget)
	assert.ErrorContains(t, echoByte(c, shortTimeout), "timeout")
	f.Restore()
	assert.NilError(t, readByte(c, time.Minute))
}

func TestForwarderResets(t *testing.T) {
	f := newEchoForwarder(t)
	c := dial(t, f)
	assert.NilError(t, echoByte(c, time.Minute))
	f.Reset()
	assert.Assert(t, echoByte(c, time.Minute) != nil)
	assert.NilError(t, echoByte(dial(t, f), time.Minute))
}

func TestForwarderLimitsRate(t *testing.T) {
	f := newEchoForwarder(t)
	c := dial(t, f)
	f.LimitRate(20) // one byte takes a twentieth of a second in each direction
	started := time.Now()
	assert.NilError(t, echoByte(c, time.Minute))
	assert.Assert(t, time.Since(started) >= 100*time.Millisecond)
}

// TestForwarderResetIsNotAnOrderlyClose resets connections many times. No client may
// read end of file, because neither end closed the connection.
func TestForwarderResetIsNotAnOrderlyClose(t *testing.T) {
	f := newEchoForwarder(t)
	for range 200 {
		c := dial(t, f)
		assert.NilError(t, echoByte(c, time.Minute))
		f.Reset()
		err := readByte(c, time.Minute)
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
	}
}

// TestForwarderPropagatesHalfClose closes one direction and reads the rest of the other.
func TestForwarderPropagatesHalfClose(t *testing.T) {
	f := newEchoForwarder(t)
	c := dial(t, f)
	_, err := c.Write([]byte("last"))
	assert.NilError(t, err)
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	raw, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "last")
}
