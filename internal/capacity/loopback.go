package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/peer"
)

// loopback serves the peer protocol on the loopback interface and counts the
// bytes on its connections in both directions, without TCP and IP headers.
type loopback struct {
	addr    string
	clients *peer.Clients
	bytes   *atomic.Int64
	stop    func()
}

func newLoopback(ctx context.Context, path string, h http.Handler) (*loopback, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "capacity: listen")
	}
	mux := http.NewServeMux()
	mux.Handle(path, h)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	l := &loopback{addr: ln.Addr().String(), clients: peer.NewClients(), bytes: &atomic.Int64{}}
	go func() {
		defer close(done)
		_ = peer.Serve(ctx, countingListener{ln, l.bytes}, mux)
	}()
	l.stop = func() {
		l.clients.Close()
		cancel()
		<-done
	}
	return l, nil
}

// cost runs f and returns the bytes transferred and the processor time used by
// both sides together.
func (l *loopback) cost(f func() error) (bytes, ns float64, err error) {
	before := l.bytes.Load()
	ns, err = processorTime(f)
	return float64(l.bytes.Load() - before), ns, err
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn. It counts the bytes before it sends them, because
// the peer may respond before Write returns, and then subtracts the bytes that
// were not written.
func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n - len(p)))
	return n, err
}
