package capacity

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/event"
)

// logDecisions logs n routing decisions in the format of the daemon.
func logDecisions(w io.Writer, n int) {
	l := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter,
	}).With("instance", "entry-0001")
	for range n {
		event.Log(l, event.RequestRouted, "request", identifier(0), "service", modelService,
			"backend", backendName(0), "reason", "least_loaded", "try", 1)
	}
}

// measureEvents measures the size and the processor time of the log lines of
// routing decisions.
func measureEvents(context.Context) ([]Quantity, error) {
	sizes := []int{100, 1000, 4000}
	return measureAll(
		measurement{Quantity{ID: "event.line", Help: "log line of a routing decision", Unit: Bytes, Per: "line"},
			sizes, func(n int) (float64, error) {
				var out strings.Builder
				logDecisions(&out, n)
				return float64(out.Len()), nil
			}},
		measurement{Quantity{ID: "event.cpu", Help: "write the line", Unit: Nanoseconds, Per: "line"},
			sizes, func(n int) (float64, error) {
				return shortestRun(func() (*strings.Builder, error) { return &strings.Builder{}, nil },
					func(out *strings.Builder) error { logDecisions(out, n); return nil })
			}},
	)
}
