// Package ops provides the endpoints that every process serves to operators: health,
// readiness and metrics, on a hertz server that shuts down gracefully.
package ops

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

// exitWait is how long a shutdown waits for open connections.
const exitWait = 200 * time.Millisecond

// hertz writes its log through one global logger. Everything below fatal is suppressed
// here, because each process logs through a logger of its own.
func init() { hlog.SetLevel(hlog.LevelFatal) }

// Serve serves routes on ln until ctx is done.
func Serve(ctx context.Context, ln net.Listener, routes func(*server.Hertz), opts ...config.Option) error {
	opts = append([]config.Option{
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(exitWait),
		server.WithDisablePrintRoute(true),
	}, opts...)
	h := server.New(opts...)
	routes(h)
	return Run(ctx, h, ln, exitWait)
}

// Run runs a hertz server, which listens on ln, until ctx is done, then shuts it down and gives open
// connections up to wait to finish.
func Run(ctx context.Context, h *server.Hertz, ln net.Listener, wait time.Duration) error {
	// A shutdown has no effect on a server that has not begun to accept connections.
	defer func() { _ = ln.Close() }()
	done := make(chan error, 1)
	go func() { done <- h.Run() }()
	select {
	case err := <-done:
		return errors.Wrap(err, "serve: run the HTTP server")
	case <-ctx.Done():
	}
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait)
	defer cancel()
	_ = h.Shutdown(sctx)
	return nil
}

// Health registers the liveness and readiness endpoints.
func Health(h *server.Hertz, ready func() bool) {
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
	h.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if ready() {
			c.String(http.StatusOK, "ready\n")
			return
		}
		c.String(http.StatusServiceUnavailable, "draining\n")
	})
}

// Metrics registers an endpoint that serves the metrics of set and of the process.
func Metrics(h *server.Hertz, set *metrics.Set) {
	h.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
		c.SetContentType("text/plain; charset=utf-8")
		set.WritePrometheus(c)
		metrics.WriteProcessMetrics(c)
	})
}
