package capacity

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/event"
)

// logDecisions writes n log lines of routing decisions as the daemon does.
func logDecisions(w io.Writer, n int) {
	l := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter,
	}).With("instance", "entry-0001")
	for range n {
		event.Log(l, event.RequestRouted, "request", incarnation(0), "service", modelService,
			"backend", backendName(0), "reason", "least_loaded", "try", 1)
	}
}

// measureEvents measures the log lines of routing decisions.
func measureEvents(context.Context) ([]Quantity, error) {
	sizes := []int{100, 1000, 4000}
	return all(
		spec{Quantity{ID: "event.line", Help: "log line of a routing decision", Unit: Bytes, Per: "line"},
			sizes, func(n int) (float64, error) {
				var out strings.Builder
				logDecisions(&out, n)
				return float64(out.Len()), nil
			}},
		spec{Quantity{ID: "event.cpu", Help: "write the line", Unit: Nanoseconds, Per: "line"},
			sizes, func(n int) (float64, error) {
				return shortest(func() (*strings.Builder, error) { return &strings.Builder{}, nil },
					func(out *strings.Builder) error { logDecisions(out, n); return nil })
			}},
	)
}
