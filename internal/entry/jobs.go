package entry

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/catkinrudder/catkinrudder/internal/entry/batchapi"
)

// JobList is the response of GET /operator/jobs.
type JobList struct {
	Jobs []JobStatus `json:"jobs"`
}

// JobStatus is one open batch job and the workspace that it belongs to.
type JobStatus struct {
	batchapi.Batch
	Workspace string `json:"workspace"`
}

func (e *Server) jobs(_ context.Context, c *app.RequestContext) {
	out := JobList{Jobs: []JobStatus{}}
	for _, s := range e.batches.shards {
		for _, j := range s.Table.OpenJobs() {
			out.Jobs = append(out.Jobs, JobStatus{Batch: batchapi.NewBatch(j), Workspace: j.Workspace})
		}
	}
	e.writeJSON(c, out)
}
