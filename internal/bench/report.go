package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

var plotShapes = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.PyramidGlyph{}}

const tableHeader = "policy\tttft p50 ms\tp95\tp99\ttbt p95 ms\tonline\trefused\tlate\tbatch tok/s\tidle used\tpreempted\tlink online B\tbatch B\tcontrol B\t\n"

// WriteTable prints the results as a table, followed by the worst ratios.
func WriteTable(w io.Writer, results []Result) error {
	var b bytes.Buffer
	tw := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range results {
		writeRows(tw, r)
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	worst := Worst(results)
	fmt.Fprintf(&b, "ratio naive_p99_ttft %.3f\n", worst.NaiveP99TTFT)
	fmt.Fprintf(&b, "ratio online_p99_ttft %.3f\n", worst.OnlineP99TTFT)
	fmt.Fprintf(&b, "ratio online_p95_tbt %.3f\n", worst.OnlineP95TBT)
	fmt.Fprintf(&b, "ratio idle_used %.3f\n", worst.IdleUsed)
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "write table")
}

func writeRows(w *tabwriter.Writer, r Result) {
	_, _ = fmt.Fprintf(w, "%s, idle capacity %.0f tokens/s\n%s", r.Deployment, r.Idle, tableHeader)
	for _, f := range r.Figures {
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%.0f\t%.3f\t%d\t%d\t%d\t%d\t\n",
			f.Policy, f.TTFTp50, f.TTFTp95, f.TTFTp99, f.TBTp95, f.Online, f.Refused, f.Late,
			f.BatchRate, f.IdleUsed, f.Preempted,
			f.LinkBytes[string(onlineBytes)], f.LinkBytes[string(batchBytes)], f.LinkBytes[string(controlBytes)])
	}
	_, _ = fmt.Fprintln(w)
}

// WriteJSON writes the results to a file.
func WriteJSON(path string, results []Result) error {
	b, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	return errors.Wrap(os.WriteFile(path, append(b, '\n'), 0o644), "write results")
}

// WritePlot plots each policy as a point: the share of the idle capacity that it
// uses against the online p99 time to first token.
func WritePlot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Harm of batch work against idle capacity used"
	p.X.Label.Text = "share of idle capacity used"
	p.Y.Label.Text = "online p99 time to first token (ms)"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Max = 1.3
	for i, r := range results {
		if err := addPoints(p, r, i); err != nil {
			return err
		}
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "write plot")
}

func addPoints(p *plot.Plot, r Result, index int) error {
	pts := plotter.XYLabels{}
	for _, f := range r.Figures {
		pts.XYs = append(pts.XYs, plotter.XY{X: f.IdleUsed, Y: f.TTFTp99})
		pts.Labels = append(pts.Labels, " "+f.Policy)
	}
	points, err := plotter.NewScatter(pts)
	if err != nil {
		return errors.Wrap(err, "plot points")
	}
	points.Shape = plotShapes[index%len(plotShapes)]
	labels, err := plotter.NewLabels(pts)
	if err != nil {
		return errors.Wrap(err, "plot labels")
	}
	p.Add(points, labels)
	p.Legend.Add(r.Deployment, points)
	return nil
}
