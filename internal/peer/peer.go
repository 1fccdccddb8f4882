// Package peer provides the transport between the processes of the system:
// connect-go over unencrypted HTTP/2, with one connection pool per traffic class,
// so that batch bytes never delay online ones.
package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/peer/v1/peerv1connect"
)

const (
	dialTimeout = time.Second
	// pingAfter and pingTimeout detect a peer that hangs or is unreachable while
	// a stream is open.
	pingAfter = 2 * time.Second
	// controlPingAfter is longer than the interval at which a peer is polled:
	// control calls have short timeouts of their own, and each poll checks the
	// connection.
	controlPingAfter = 15 * time.Second
	pingTimeout      = 2 * time.Second
	idleTimeout      = 90 * time.Second
	headerTimeout    = 5 * time.Second
	shutdownTimeout  = 5 * time.Second
	// maxMessageBytes bounds a message of a peer after it is decompressed, maxHeadBytes the head of a
	// response.
	maxMessageBytes = 64 << 20
	maxHeadBytes    = 64 << 10
)

// ReadLimit is an option of every client and handler: it bounds the messages that are read.
func ReadLimit() connect.Option { return connect.WithReadMaxBytes(maxMessageBytes) }

// Clients creates clients of peers. Each traffic class has its own connections.
type Clients struct {
	online, batch, control *http.Client
}

// NewClients returns Clients without open connections.
func NewClients() *Clients {
	return &Clients{
		online:  newHTTPClient(pingAfter),
		batch:   newHTTPClient(pingAfter),
		control: newHTTPClient(controlPingAfter),
	}
}

// Online returns a client for online attempts.
func (c *Clients) Online(addr string) peerv1connect.SidecarClient {
	return peerv1connect.NewSidecarClient(c.online, "http://"+addr, ReadLimit())
}

// Batch returns a client for batch attempts.
func (c *Clients) Batch(addr string) peerv1connect.SidecarClient {
	return peerv1connect.NewSidecarClient(c.batch, "http://"+addr, ReadLimit())
}

// Control returns a client for reports, vetoes and drains.
func (c *Clients) Control(addr string) peerv1connect.SidecarClient {
	return peerv1connect.NewSidecarClient(c.control, "http://"+addr, ReadLimit())
}

// Entry returns a client of the Entry service of another entry.
func (c *Clients) Entry(addr string) peerv1connect.EntryClient {
	return peerv1connect.NewEntryClient(c.control, "http://"+addr, ReadLimit())
}

// Close closes idle connections.
func (c *Clients) Close() {
	for _, h := range []*http.Client{c.online, c.batch, c.control} {
		h.CloseIdleConnections()
	}
}

func newHTTPClient(pingAfter time.Duration) *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		Protocols:       &p,
		DialContext:     dialer.DialContext,
		IdleConnTimeout: idleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

// Serve serves a connect handler on ln until ctx ends. It then waits up to
// shutdownTimeout for running requests to finish.
func Serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	p.SetHTTP1(true)
	srv := &http.Server{Handler: h, Protocols: &p, ReadHeaderTimeout: headerTimeout}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	select {
	case err := <-done:
		return errors.Wrap(err, "peer: serve")
	case <-ctx.Done():
	}
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(sctx); err != nil {
		_ = srv.Close()
	}
	return nil
}
