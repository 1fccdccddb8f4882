package ops

import (
	"context"
	"net"
	"testing"

	"github.com/cloudwego/hertz/pkg/app/server"
	"gotest.tools/v3/assert"
)

func TestServerThatIsStoppedAtItsStartClosesItsListener(t *testing.T) {
	for range 50 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.NilError(t, Serve(ctx, ln, func(*server.Hertz) {}))
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		assert.Assert(t, err != nil, "the server still listens")
	}
}
