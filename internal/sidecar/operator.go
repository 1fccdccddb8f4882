package sidecar

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/catkinrudder/catkinrudder/internal/ops"
	"github.com/catkinrudder/catkinrudder/internal/opsapi"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

// metricSet holds the sidecar's metrics.
type metricSet struct {
	set                         *metrics.Set
	startedOnline, startedBatch *metrics.Counter
	preempted                   *metrics.Counter
}

func newMetricSet() *metricSet {
	set := metrics.NewSet()
	return &metricSet{
		set:           set,
		startedOnline: set.NewCounter(`catkinrudder_sidecar_attempts_started_total{class="online"}`),
		startedBatch:  set.NewCounter(`catkinrudder_sidecar_attempts_started_total{class="batch"}`),
		preempted:     set.NewCounter(`catkinrudder_sidecar_preemptions_total`),
	}
}

func (m *metricSet) started(c peerv1.Class) *metrics.Counter {
	if c == peerv1.Class_CLASS_BATCH {
		return m.startedBatch
	}
	return m.startedOnline
}

// serveOperator serves health, readiness, metrics and the drain command until ctx
// ends.
func (s *Server) serveOperator(ctx context.Context) error {
	ln, err := net.Listen("tcp", s.settings.OperatorListen)
	if err != nil {
		return err
	}
	return ops.Serve(ctx, ln, func(h *server.Hertz) {
		ops.Health(h, s.ready)
		ops.Metrics(h, s.metrics.set)
		h.POST("/operator/drain", func(_ context.Context, c *app.RequestContext) {
			s.drain()
			c.JSON(200, opsapi.DrainResult{Instance: s.settings.Instance, InProgress: s.inProgress()})
		})
	})
}

func (s *Server) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining
}
