package standin

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrudder/catkinrudder/internal/ops"
)

const (
	maxBody     = 16 << 20
	readTimeout = 10 * time.Minute
)

// Set holds the stand-ins that one settings file configures.
type Set struct {
	// Log and Instances are nil if the settings give them no address.
	Log       *LogService
	Instances *InstanceList
	Engines   []*Engine
	Plain     []*PlainService
	// Listeners, if set before Run, holds open listeners by address. An address without one is
	// opened by Run.
	Listeners map[string]net.Listener

	settings Settings
}

// New returns the stand-ins of the settings. They serve after Run is called.
func New(s Settings) *Set {
	set := &Set{settings: s}
	if s.Log.Listen != "" {
		set.Log = NewLogService()
	}
	if s.Instances.Listen != "" {
		set.Instances = NewInstanceList(s.Instances.List)
	}
	for _, es := range s.Engines {
		set.Engines = append(set.Engines, NewEngine(es))
	}
	for _, ps := range s.Plain {
		set.Plain = append(set.Plain, NewPlainService(ps))
	}
	return set
}

// Run serves every stand-in of the settings until ctx is done.
func Run(ctx context.Context, s Settings) error { return New(s).Run(ctx) }

// Run serves the set until ctx is done.
func (s *Set) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if retention := s.settings.Log.Retention.Std(); s.Log != nil && retention > 0 {
		g.Go(func() error { s.Log.runRetention(ctx, retention); return nil })
	}
	if s.Log != nil {
		g.Go(func() error { return s.serve(ctx, s.settings.Log.Listen, s.Log.Routes) })
	}
	if s.Instances != nil {
		g.Go(func() error { return s.serve(ctx, s.settings.Instances.Listen, s.Instances.Routes) })
	}
	if s.settings.Weights.Listen != "" {
		w := NewWeightStore(s.settings.Weights)
		g.Go(func() error { return s.serve(ctx, s.settings.Weights.Listen, w.Routes) })
	}
	for i, e := range s.Engines {
		g.Go(func() error { e.Run(ctx); return nil })
		g.Go(func() error { return s.serve(ctx, s.settings.Engines[i].Listen, e.Routes) })
	}
	for i, p := range s.Plain {
		g.Go(func() error { return s.serve(ctx, s.settings.Plain[i].Listen, p.Routes) })
	}
	return g.Wait()
}

// listen returns the listener of an address.
func (s *Set) listen(addr string) (net.Listener, error) {
	if ln := s.Listeners[addr]; ln != nil {
		return ln, nil
	}
	return net.Listen("tcp", addr)
}

// serve runs one hertz server on addr until ctx is done.
func (s *Set) serve(ctx context.Context, addr string, routes func(*server.Hertz)) error {
	ln, err := s.listen(addr)
	if err != nil {
		return errors.Wrapf(err, "standin: listen %s", addr)
	}
	return ops.Serve(ctx, ln, routes,
		server.WithMaxRequestBodySize(maxBody),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(readTimeout),
	)
}
