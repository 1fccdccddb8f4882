package gatewayd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/egress"
	"github.com/catkinrudder/catkinrudder/peering"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/upstream"
)

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// idleTimeout exceeds the time for which callers keep an idle connection.
	idleTimeout = 60 * time.Second
	// drainWait is how long new requests may still arrive after the process has
	// reported that it is not ready.
	drainWait = 2800 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit itself.
	exitMargin = 700 * time.Millisecond
	// answerMargin is the time before that in which requests without an answer get one.
	answerMargin = 250 * time.Millisecond
	metricsPath  = "/metrics"

	// callerStall is how long a caller may read nothing of a response: longer than any caller waits
	// for a request. minCallerStall is this time if the callers' responses need too much memory.
	callerStall    = 10 * time.Second
	minCallerStall = 500 * time.Millisecond
	// unreadMemoryFraction is the part of the process's memory, as a divisor, that responses may
	// hold that callers have not read yet; it is minUnreadBytes at least.
	unreadMemoryFraction = 8
	minUnreadBytes       = 4 << 20
)

// serve serves callers, readiness probes, metrics and peers until ctx ends, and then
// completes the running requests.
func (d *Daemon) serve(ctx context.Context) error {
	responses := egress.NewGuard(d.responseLimits(), d.gateway.Metrics.CallerCutOff)
	callers := d.server(platform.NewHandler(d.gateway, d.settings.MemoryBytes, responses))
	callers.ConnState = responses.ConnState
	ready := d.server(http.HandlerFunc(d.ready))
	metricsServer := d.server(http.HandlerFunc(d.serveMetrics))
	peers := d.server(peering.Handler(d.jobs, d.snapshot, d.relay, d.origins))
	failed := make(chan error, 4)
	metricsAddress := fmt.Sprintf("%s:%d", d.settings.IP, d.settings.MetricsPort)
	for address, server := range map[string]*http.Server{
		d.settings.CallerAddress: callers, d.settings.ReadyAddress: ready, metricsAddress: metricsServer,
		fmt.Sprintf("%s:%d", d.settings.IP, d.settings.FirstPort): peers,
	} {
		ln, err := listen(ctx, address)
		if err != nil {
			return err
		}
		go func() { failed <- server.Serve(ln) }()
	}
	event.Log(d.log, event.Started, "instance", d.settings.Instance, "zone", d.settings.Zone, "callers", d.settings.CallerAddress,
		"store", d.settings.Store.Address, "pid", os.Getpid())
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	d.drain(callers)
	_ = ready.Close()
	_ = peers.Close()
	_ = metricsServer.Close()
	return nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: upstream.KeepAlive}
	ln, err := config.Listen(ctx, "tcp", address)
	return ln, errors.Wrap(err, "listen")
}

func (d *Daemon) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: d.log.StandardLog(),
	}
}

// responseLimits returns the limits of what callers have not read yet.
func (d *Daemon) responseLimits() egress.Limits {
	return egress.Limits{
		Stall: callerStall, MinStall: minCallerStall,
		Bytes: max(d.settings.MemoryBytes/unreadMemoryFraction, minUnreadBytes),
	}
}

// drain hands over the shards of batch jobs, waits until the platform has stopped routing new
// requests to this process, closes the listener and waits for the running requests.
func (d *Daemon) drain(callers *http.Server) {
	begin := time.Now()
	event.Log(d.log, event.Draining, "instance", d.settings.Instance, "grace", d.settings.Grace)
	end := begin.Add(d.settings.Grace - exitMargin)
	d.gateway.Shutdown.Begin(end.Add(-answerMargin))
	close(d.draining)
	d.peering.SetLeaving()
	d.jobs.Stop(context.Background())
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	time.Sleep(time.Until(begin.Add(drainWait)))
	if err := callers.Shutdown(ctx); err != nil {
		_ = callers.Close()
	}
}

func (d *Daemon) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !d.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n") // a failed probe is repeated
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != metricsPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	d.metrics.WritePrometheus(w)
}
