package peer_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/peer"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/peer/v1/peerv1connect"
)

// countingListener counts the bytes that a server receives.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, &c.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// reportOnlySidecar implements only Report.
type reportOnlySidecar struct {
	peerv1connect.UnimplementedSidecarHandler
}

func (reportOnlySidecar) Report(context.Context, *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	return connect.NewResponse(&peerv1.ReportResponse{}), nil
}

// TestIdleConnectionPings checks that an idle online or batch connection is
// pinged, which detects a peer that hangs, and that an idle control connection
// causes no traffic between two polls.
func TestIdleConnectionPings(t *testing.T) {
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
			listener := &countingListener{Listener: ln}
			mux := http.NewServeMux()
			mux.Handle(peerv1connect.NewSidecarHandler(reportOnlySidecar{}))
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

// longReportSidecar returns a report of many bytes, and reads reports of any length.
type longReportSidecar struct {
	peerv1connect.UnimplementedSidecarHandler
	length int
}

func (s longReportSidecar) Report(context.Context, *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	return connect.NewResponse(&peerv1.ReportResponse{Instance: strings.Repeat("x", s.length)}), nil
}

func (longReportSidecar) Veto(context.Context, *connect.Request[peerv1.VetoRequest]) (*connect.Response[peerv1.VetoResponse], error) {
	return connect.NewResponse(&peerv1.VetoResponse{}), nil
}

// TestMessagesBeyondTheBoundAreNotRead covers both sides of a call between processes.
func TestMessagesBeyondTheBoundAreNotRead(t *testing.T) {
	const tooLong = 65 << 20
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewSidecarHandler(longReportSidecar{length: tooLong}, peer.ReadLimit()))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- peer.Serve(ctx, ln, mux) }()
	clients := peer.NewClients()
	client := clients.Control(ln.Addr().String())

	_, err = client.Report(t.Context(), connect.NewRequest(&peerv1.ReportRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
	_, err = client.Veto(t.Context(), connect.NewRequest(&peerv1.VetoRequest{AttemptId: strings.Repeat("x", tooLong)}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
	clients.Close()
	cancel()
	assert.NilError(t, <-done)
}
