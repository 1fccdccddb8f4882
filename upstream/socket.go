package upstream

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// userTimeout bounds how long sent bytes may stay unacknowledged before the
// connection counts as broken.
const userTimeout = 3 * time.Second

// KeepAlive finds a connection whose other end is gone while it is idle.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// SetUserTimeout bounds how long sent bytes may stay unacknowledged. It is a
// net.Dialer's Control function.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); cerr != nil {
		return errors.Wrap(cerr, "socket")
	}
	return errors.Wrap(err, "socket: TCP_USER_TIMEOUT")
}

// The settings of the connections to peers.
const (
	peerDialTimeout = 300 * time.Millisecond
	peerIdle        = 30 * time.Second
	peerMaxIdle     = 16
)

// PeerClient returns a client for calls between the system's own processes.
func PeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: peerMaxIdle, IdleConnTimeout: peerIdle,
	}}
}

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes that wait there belong to no request.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	rerr := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, perr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(perr, unix.EAGAIN)
		return true
	})
	return rerr == nil && open
}
