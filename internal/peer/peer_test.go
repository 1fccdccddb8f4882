package peer_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/peer"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/peer/v1/peerv1connect"
)

// counter counts the bytes that a server receives.
type counter struct {
	net.Listener
	bytes atomic.Int64
}

type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return counted{conn, &c.bytes}, err
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// sidecar answers reports only.
type sidecar struct {
	peerv1connect.UnimplementedSidecarHandler
}

func (sidecar) Report(context.Context, *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	return connect.NewResponse(&peerv1.ReportResponse{}), nil
}

// TestIdleConnections checks that an idle online connection is pinged, which
// finds a frozen peer, and that an idle control connection costs nothing
// between two polls.
func TestIdleConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		client func(*peer.Clients, string) peerv1connect.SidecarClient
		pinged bool
	}{
		{"online", (*peer.Clients).Online, true},
		{"batch", (*peer.Clients).Batch, true},
		{"control", (*peer.Clients).Control, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			listener := &counter{Listener: ln}
			mux := http.NewServeMux()
			mux.Handle(peerv1connect.NewSidecarHandler(sidecar{}))
			go func() { _ = peer.Serve(t.Context(), listener, mux) }()
			clients := peer.NewClients()
			defer clients.Close()
			_, err = c.client(clients, ln.Addr().String()).Report(t.Context(), connect.NewRequest(&peerv1.ReportRequest{}))
			assert.NilError(t, err)
			time.Sleep(500 * time.Millisecond)
			before := listener.bytes.Load()
			time.Sleep(4 * time.Second)
			assert.Equal(t, listener.bytes.Load() > before, c.pinged)
		})
	}
}
