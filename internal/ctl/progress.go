package ctl

import (
	"fmt"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"

	"github.com/catkinrudder/catkinrudder/internal/load"
)

// progress reports the progress of a job on standard error: as a progress bar on
// a terminal, otherwise as one line for each change.
type progress struct {
	tool Tool
	bar  *progressbar.ProgressBar
	last load.RequestCounts
}

func (t Tool) newProgress(b load.Batch) *progress {
	p := &progress{tool: t}
	if isTerminal(t.Stderr) {
		p.bar = progressbar.NewOptions(b.RequestCounts.Total,
			progressbar.OptionSetWriter(t.Stderr), progressbar.OptionShowCount(),
			progressbar.OptionShowIts(), progressbar.OptionSetPredictTime(true),
			progressbar.OptionSetDescription(b.ID))
	}
	p.set(b)
	return p
}

func isTerminal(w any) bool {
	f, ok := w.(*os.File)
	return ok && isatty.IsTerminal(f.Fd())
}

func (p *progress) set(b load.Batch) {
	n := b.RequestCounts
	if p.bar != nil {
		p.bar.ChangeMax(n.Total)
		_ = p.bar.Set(n.Completed + n.Failed)
		return
	}
	if n != p.last {
		p.last = n
		_, _ = fmt.Fprintf(p.tool.Stderr, "%s %s: %d of %d completed, %d failed\n", b.ID, b.Status, n.Completed, n.Total, n.Failed)
	}
}

func (p *progress) close() {
	if p.bar != nil {
		_ = p.bar.Exit()
		_, _ = fmt.Fprintln(p.tool.Stderr)
	}
}
