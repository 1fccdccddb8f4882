package connend_test

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/connend"
)

const (
	uploadBytes = 8 << 20
	pieceBytes  = 16 << 10
	answer      = "a part"
)

// exchange writes an upload to a peer while it reads until the end, and returns what it has read.
func exchange(t *testing.T, peer func(c *net.TCPConn)) (read string, err error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		if c, err := ln.Accept(); err == nil {
			_, _ = c.Read(make([]byte, 1)) // the connection is established at both ends
			peer(c.(*net.TCPConn))
			_ = c.Close()
		}
	}()
	raw, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = raw.Close() }()
	c := connend.New(raw)
	go upload(c)
	b, err := io.ReadAll(c)
	return string(b), err
}

// upload writes until the connection fails.
func upload(c net.Conn) {
	piece := make([]byte, pieceBytes)
	for range uploadBytes / pieceBytes {
		if _, err := c.Write(piece); err != nil {
			return
		}
	}
}

func pause() { <-time.After(rand.N(4 * time.Millisecond)) }

// TestResetIsNotTakenForAnEnd guards against a part of a response that counts as the whole, because the reset of the
// connection was reported to the write of the request.
func TestResetIsNotTakenForAnEnd(t *testing.T) {
	met := 0
	for range 200 {
		_, err := exchange(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, answer)
			_, _ = io.CopyN(io.Discard, c, rand.Int64N(uploadBytes/2))
			_ = c.SetLinger(0)
		})
		assert.Assert(t, err != nil)
		if errors.Is(err, connend.ErrReset) {
			met++
		}
	}
	assert.Assert(t, met > 0, "no reset was reported to a write")
}

// TestEndOfAPeerThatReadsOnIsAnEnd guards against a whole response that counts as cut off, as the request is still
// being written.
func TestEndOfAPeerThatReadsOnIsAnEnd(t *testing.T) {
	for range 50 {
		read, err := exchange(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, answer)
			pause()
			_ = c.CloseWrite()
			pause()
			_, _ = io.CopyN(io.Discard, c, uploadBytes/2) // the rest is reset
		})
		assert.NilError(t, err)
		assert.Equal(t, read, answer)
	}
}

// TestEndIsAnEndThoughAResetFollows guards against the same if the peer ends its side, and then closes the connection without
// having read the request.
func TestEndIsAnEndThoughAResetFollows(t *testing.T) {
	for range 200 {
		read, err := exchange(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, answer)
			_ = c.CloseWrite()
			pause()
			_ = c.SetLinger(0)
		})
		assert.NilError(t, err)
		assert.Equal(t, read, answer)
	}
}
