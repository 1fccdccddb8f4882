package entry

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/catkinrudder/catkinrudder/internal/entry/batchapi"
)

// JobsAnswer is the answer of GET /operator/jobs.
type JobsAnswer struct {
	Jobs []JobStatus `json:"jobs"`
}

// JobStatus is one open batch job with the workspace it belongs to.
type JobStatus struct {
	batchapi.Batch
	Workspace string `json:"workspace"`
}

func (e *Server) jobs(_ context.Context, c *app.RequestContext) {
	out := JobsAnswer{Jobs: []JobStatus{}}
	for _, s := range e.batches.shards {
		for _, j := range s.Table.OpenJobs() {
			out.Jobs = append(out.Jobs, JobStatus{Batch: batchapi.NewBatch(j), Workspace: j.Workspace})
		}
	}
	e.writeJSON(c, out)
}
