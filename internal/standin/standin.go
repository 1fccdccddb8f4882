package standin

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	exitWait    = 100 * time.Millisecond
	maxBody     = 16 << 20
	readTimeout = 10 * time.Minute
)

// Run serves every stand-in of the settings until ctx ends.
func Run(ctx context.Context, s Settings) error {
	g, ctx := errgroup.WithContext(ctx)
	if s.Log.Listen != "" {
		l := NewLogService()
		g.Go(func() error { return serve(ctx, s.Log.Listen, l.Routes) })
	}
	if s.Instances.Listen != "" {
		i := NewInstanceList(s.Instances.List)
		g.Go(func() error { return serve(ctx, s.Instances.Listen, i.Routes) })
	}
	for _, es := range s.Engines {
		e := NewEngine(es)
		g.Go(func() error { e.Run(ctx); return nil })
		g.Go(func() error { return serve(ctx, es.Listen, e.Routes) })
	}
	for _, ps := range s.Plain {
		p := NewPlainService(ps)
		g.Go(func() error { return serve(ctx, ps.Listen, p.Routes) })
	}
	return g.Wait()
}

// serve runs one hertz server on addr until ctx ends.
func serve(ctx context.Context, addr string, routes func(*server.Hertz)) error {
	hlog.SetLevel(hlog.LevelError)
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "standin: listen %s", addr)
	}
	h := server.New(
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(exitWait),
		server.WithMaxRequestBodySize(maxBody),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(readTimeout),
		server.WithDisablePrintRoute(true),
	)
	routes(h)
	done := make(chan error, 1)
	go func() { done <- h.Run() }()
	select {
	case err := <-done:
		return errors.Wrapf(err, "standin: serve %s", addr)
	case <-ctx.Done():
	}
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exitWait)
	defer cancel()
	_ = h.Shutdown(sctx)
	return nil
}
