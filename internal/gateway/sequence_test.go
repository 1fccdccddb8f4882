package gateway_test

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/internal/gateway"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// disorders are the faults whose events don't follow each other, by what is reported of them.
var disorders = map[platformtest.Fault]struct{ reason, fields string }{
	platformtest.SkipEvent:   {"gap", "reason=gap last_event=2 came=4"},
	platformtest.RepeatEvent: {"repeated", "reason=repeated last_event=2 came=2"},
	platformtest.ErrorEvent:  {"unnumbered", `reason=unnumbered last_event=2 came=""`},
	platformtest.LateStart:   {"not_at_start", `reason=not_at_start last_event="" came=3`},
	platformtest.NumberLater: {"numbered", `reason=numbered last_event="" came=3`},
}

func TestEventsOutOfOrderAreReportedByReason(t *testing.T) {
	for fault, want := range disorders {
		t.Run(want.reason, func(t *testing.T) {
			a := platformtest.NewBackend(t, "a")
			a.SetFault(always(fault))
			f := newFixture(t, a)
			var lines bytes.Buffer
			set := metrics.NewSet()
			f.Log, f.Metrics = log.New(&lines), gateway.NewMetrics(set)
			_, _ = f.serve(request("1", "/stream"), route(catalog.Stream, nil)) // only the report counts here
			assert.Assert(t, cmp.Contains(lines.String(), "event_out_of_order event=210 kind=stream request=1 backend=a service=s version=v1 "+want.fields))
			name := `catkinrudder_gateway_events_out_of_order_total{kind="stream",reason="` + want.reason + `"}`
			assert.Equal(t, set.GetOrCreateCounter(name).Get(), uint64(1))
		})
	}
}

func TestEventOutOfOrderReachesNoCaller(t *testing.T) {
	for fault, want := range disorders {
		a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
		faultOnFirstRun(fault, a, b)
		f := newFixture(t, a, b)
		w, err := f.serve(request("1", "/stream"), route(catalog.Stream, resumable))
		if fault == platformtest.NumberLater {
			assert.Assert(t, errors.Is(err, gateway.ErrAborted), "%s: %v", want.reason, err)
			continue
		}
		assert.NilError(t, err, want.reason)
		assert.Equal(t, w.Body.String(), streamBody("1", 5), want.reason)
	}
}

func TestStreamWithoutNumbersIsNotContinued(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	faultOnFirstRun(platformtest.NoNumbersCut, a, b)
	_, err := newFixture(t, a, b).serve(request("1", "/stream"), route(catalog.Stream, resumable))
	assert.Assert(t, errors.Is(err, gateway.ErrAborted), "%v", err)
}
func TestContinuedStreamIsNotBoundToTheLengthOfItsFirstPart(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	faultOnFirstRun(platformtest.StatedLengthCut, a, b)
	b.Events, a.Events = 7, 5
	w, err := newFixture(t, a, b).serve(request("1", "/stream"), route(catalog.Stream, resumable))
	assert.NilError(t, err)
	assert.Equal(t, w.Header().Get("Content-Length"), "")
}
