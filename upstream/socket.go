package upstream

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// userTimeout bounds how long sent bytes may stay unacknowledged before the connection
// counts as broken.
const userTimeout = 3 * time.Second

// KeepAlive detects idle connections whose other side no longer exists.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// SetUserTimeout bounds how long sent bytes may stay unacknowledged. It is a
// net.Dialer's Control function.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); cerr != nil {
		return errors.Wrap(cerr, "socket: access file descriptor")
	}
	return errors.Wrap(err, "socket: set TCP_USER_TIMEOUT")
}

// The settings of connections to peers.
const (
	peerDialTimeout  = 300 * time.Millisecond
	peerIdleTimeout  = 30 * time.Second
	peerMaxIdleConns = 16
)

// PeerClient returns an HTTP client for calls between the processes of this system.
func PeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: peerMaxIdleConns, IdleConnTimeout: peerIdleTimeout, MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// idleOpen reports whether an idle connection is open and has nothing to read. Bytes
// that can be read there belong to no request.
func idleOpen(c net.Conn) bool {
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
