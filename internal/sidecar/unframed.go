package sidecar

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/delay"
)

const (
	// endDelay is the time in which the end of a process closes its listener too.
	endDelay = 20 * time.Millisecond
	// endProbeTimeout bounds the connection that shows whether the backend server has ended.
	endProbeTimeout = 300 * time.Millisecond
)

var errUnframedCut = errors.New("the backend server has ended with its response")

// unframed reports whether the end of a body is marked by closing the connection only.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// checkEnd returns an error if the backend server has ended, so that the end of an unframed body may
// be its end.
func (b *backend) checkEnd(ctx context.Context) error {
	delay.Wait(ctx, endDelay)
	dialer := net.Dialer{Timeout: endProbeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", b.address)
	if err == nil {
		return errors.Wrap(conn.Close(), "probe backend server")
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return errUnframedCut
	}
	return nil // it can't be told
}
