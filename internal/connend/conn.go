// Package connend tells a connection that its peer has ended from one that was reset.
//
// The kernel reports the reset of a connection to one caller only. If a write gets it, a concurrent read gets the bytes
// that have arrived before and then an end like that of a connection which the peer has closed.
package connend

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrReset is returned for a connection that was not ended by its peer, though a read has reached an end.
var ErrReset = errors.New("connend: the connection was reset")

// writeEndWait bounds the wait for a write on a connection that is no longer open, which ends at once.
const writeEndWait = 500 * time.Millisecond

// closeWait is the state of a connection that its peer has ended and this side has not, as in Linux's tcp_states.h.
const closeWait = 8

// Conn is a connection whose reads return io.EOF only if its peer has ended it, and ErrReset after a reset that a write has
// met. It carries one write at a time.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	writeErr error
	// written is closed when the write in progress ends; nil if there is none.
	written chan struct{}
}

// New returns a connection over c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial dials a connection. It is an http.Transport's DialContext function.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err //nolint:wrapcheck // as net.Dialer returns it
	}
	return New(c), nil
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err //nolint:wrapcheck // as net.Conn returns it
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	written := make(chan struct{})
	c.mu.Lock()
	c.written = written
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.written = nil
	c.mu.Unlock()
	close(written)
	return n, err //nolint:wrapcheck // as net.Conn returns it
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connend: not a connection of the operating system")
	}
	raw, err := sc.SyscallConn()
	return raw, errors.Wrap(err, "connend: access connection")
}

// end returns io.EOF if the peer has ended the connection, and ErrReset if not, after a read has reached the end. A write
// that is still in progress, because the peer goes on reading, is not waited for.
func (c *Conn) end() error {
	c.mu.Lock()
	written := c.written
	c.mu.Unlock()
	if written != nil && !c.endedByPeer() {
		timer := time.NewTimer(writeEndWait)
		defer timer.Stop()
		select {
		case <-written:
		case <-timer.C:
			return errors.Wrap(ErrReset, "nothing shows how it has ended")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The kernel returns EPIPE to the write after a reset that came after the end.
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return errors.Wrap(ErrReset, c.writeErr.Error())
}

// endedByPeer reports whether the peer has ended the connection, which is still open on this side and was not reset.
func (c *Conn) endedByPeer() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, ierr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = ierr == nil && info.State == closeWait
	})
	return err == nil && ended
}
