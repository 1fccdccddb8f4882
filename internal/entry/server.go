// Package entry implements the process that serves callers and operators: it
// validates, routes and serves online requests, and runs its share of the batch jobs.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/logservice"
	"github.com/catkinrudder/catkinrudder/internal/ops"
	"github.com/catkinrudder/catkinrudder/internal/peer"
	"github.com/catkinrudder/catkinrudder/peer/v1/peerv1connect"
	"github.com/catkinrudder/catkinrudder/settings"
)

const (
	// drainDelay is how long a draining entry still accepts requests, until the
	// load balancer has stopped sending them.
	drainDelay        = time.Second
	drainPollInterval = 10 * time.Millisecond
	// maxHeaderBytes limits a request's header. Up to hardMaxHeaderBytes a larger
	// header gets an error response; beyond that the connection is closed.
	maxHeaderBytes     = 64 << 10
	hardMaxHeaderBytes = 1 << 20
	requestReadTimeout = 30 * time.Second
	keepAliveTimeout   = 60 * time.Second
	// exitWait is how long a shutdown waits for open connections.
	exitWait = time.Second
	// appendBurst is the number of appends that the append limiter allows at once.
	appendBurst = 10
)

// Server is one entry instance.
type Server struct {
	settings      settings.Settings
	incarnation   string
	logger        *log.Logger
	metrics       *metricSet
	clients       *peer.Clients
	fleet         *fleet
	log           commitlog.Log
	appendLimiter *rate.Limiter
	config        *desired.Table
	configLog     *commitlog.Stream
	cacheHints    *cacheHints
	batches       *batches
	claims        *claims
	placements    *placements
	limiter       *limiter
	link          *link

	inProgress atomic.Int64
	draining   atomic.Bool
	// caughtUp reports that everything that the log held at startup has been folded.
	caughtUp      atomic.Bool
	drainRequests chan struct{}
}

// New returns an entry. Serve starts it.
func New(s settings.Settings, logger *log.Logger) *Server {
	e := &Server{
		settings:      s,
		incarnation:   uuid.NewString(),
		logger:        logger.With("instance", s.Instance),
		metrics:       newMetricSet(),
		clients:       peer.NewClients(),
		log:           logservice.NewLog(s.Platform.Log),
		appendLimiter: rate.NewLimiter(rate.Limit(s.Limits.AppendsPerSecond), appendBurst),
		cacheHints:    newCacheHints(),
		limiter:       newLimiter(),
		drainRequests: make(chan struct{}, 1),
	}
	e.link = newLink(s.Region, s.Limits.LinkBatchBytesPerSecond, e.metrics.set)
	e.config = desired.NewTable(desired.Hooks{InForce: e.configInForce, Refused: e.configRefused})
	e.configLog = e.stream(desired.Stream, e.config)
	e.placements = e.newPlacements()
	e.fleet = newFleet(s, e.clients, e.logger, e.config, e.placements.table, e.link)
	e.batches = e.newBatches()
	e.claims = e.newClaims()
	return e
}

// Serve serves requests until ctx is done or a drain is requested. It then
// finishes all requests in progress and returns.
func (e *Server) Serve(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, run := errgroup.WithContext(run)
	if err := e.listen(run, g); err != nil {
		return err
	}
	g.Go(func() error { e.followConfig(run); return nil })
	g.Go(func() error { e.fleet.run(run); return nil })
	g.Go(func() error { e.claims.stream.Run(run); return nil })
	g.Go(func() error { e.catchUp(run); return nil })
	g.Go(func() error { e.renew(run); return nil })
	g.Go(func() error { e.placements.stream.Run(run); return nil })
	g.Go(func() error { e.placements.run(run); return nil })
	for _, s := range e.batches.streams {
		g.Go(func() error { s.Run(run); return nil })
	}
	g.Go(func() error { e.batches.runner.Run(run); return nil })
	event.Log(e.logger, event.Started, "role", "entry", "incarnation", e.incarnation, "listen", e.settings.Listen)
	select {
	case <-ctx.Done():
	case <-e.drainRequests:
	case <-run.Done():
		return g.Wait()
	}
	e.drain(run)
	stop()
	err := g.Wait()
	e.clients.Close()
	event.Log(e.logger, event.Stopped)
	return err
}

// listen opens the listeners and serves on them. The caller and peer listeners
// are both open before either is served.
func (e *Server) listen(ctx context.Context, g *errgroup.Group) error {
	callers, err := net.Listen("tcp", e.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "entry: listen")
	}
	peers, err := net.Listen("tcp", e.settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "entry: peer_listen")
	}
	opts, err := e.callerOptions(callers)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewEntryHandler(e, peer.ReadLimit()))
	g.Go(func() error { return peer.Serve(ctx, peers, mux) })
	g.Go(func() error {
		h := server.New(opts...)
		e.callerRoutes(h)
		return ops.Run(ctx, h, callers, exitWait)
	})
	if e.settings.OperatorListen == "" {
		return nil
	}
	operators, err := net.Listen("tcp", e.settings.OperatorListen)
	if err != nil {
		return errors.Wrap(err, "entry: operator_listen")
	}
	g.Go(func() error { return ops.Serve(ctx, operators, e.operatorRoutes) })
	return nil
}

func (e *Server) callerOptions(ln net.Listener) ([]config.Option, error) {
	opts := []config.Option{
		server.WithListener(ln),
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(e.settings.Limits.MaxFileBytes),
		server.WithMaxHeaderBytes(hardMaxHeaderBytes),
		server.WithReadTimeout(requestReadTimeout),
		server.WithIdleTimeout(keepAliveTimeout),
		server.WithExitWaitTime(exitWait),
		server.WithHandleMethodNotAllowed(true),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
	}
	if e.settings.TLS.CertFile == "" {
		return opts, nil
	}
	cert, err := tls.LoadX509KeyPair(e.settings.TLS.CertFile, e.settings.TLS.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "entry: tls")
	}
	tlsConfig := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	return append(opts, server.WithTLS(tlsConfig)), nil
}

// drain blocks until the load balancer has had time to stop sending requests and
// no request is in progress.
func (e *Server) drain(ctx context.Context) {
	e.draining.Store(true)
	event.Log(e.logger, event.Draining)
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	since := time.Now()
	for time.Since(since) < drainDelay || e.inProgress.Load() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// stream returns a commit log stream that belongs to this process.
func (e *Server) stream(name string, fold commitlog.Fold) *commitlog.Stream {
	return commitlog.NewStream(e.log, name, commitlog.Options{
		Writer: e.incarnation,
		Fold:   fold,
		Budget: e.appendLimiter,
		Logger: e.logger,
	})
}
