package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/serving"
)

// isOpen reports whether an item still needs a result.
func (t *Table) isOpen(ref itemRef) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.byID[ref.job]
	return e != nil && e.open() && !e.done[ref.item]
}

// openJob is a job of an owned shard that has items to run.
type openJob struct {
	id      string
	job     *summary
	content []Item
	route   *catalog.Route
	// identity is that of the caller, as it was accepted.
	identity serving.Identity
	// submitted is when the job was first received, due when its results are due.
	submitted time.Time
	due       time.Time
	// items are the indices of the items without a result.
	items    []int
	progress map[int]Progress
}

// openJobs returns the jobs to run, ordered by due time.
func (r *runner) openJobs(config *catalog.Config) []openJob {
	var open []openJob
	for _, j := range r.s.table.openJobs(r.ownsJob) {
		route := routeOf(config, j)
		if route == nil {
			continue
		}
		j.route = route
		j.identity = serving.Identity{Checked: j.job.Workspace != "" || config.HasWorkspaces(), Workspace: j.job.Workspace}
		j.due = j.submitted.Add(route.JobCompletionTarget)
		open = append(open, j)
	}
	slices.SortFunc(open, func(a, b openJob) int { return a.due.Compare(b.due) })
	return open
}

func (r *runner) ownsJob(id string) bool {
	return r.s.shards[shardOf(id, len(r.s.shards))].owned()
}

// routeOf returns the route that a job's items belong to.
func routeOf(config *catalog.Config, j openJob) *catalog.Route {
	if len(j.content) == 0 {
		return nil
	}
	route := config.Match(j.job.Host, j.content[0].Target)
	if route == nil || route.Kind != catalog.Batch {
		return nil
	}
	return route
}

// openJobs returns the jobs selected by include that have items without a result.
func (t *Table) openJobs(include func(id string) bool) []openJob {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var open []openJob
	for id, e := range t.byID {
		if !e.open() || e.items == nil || !include(id) {
			continue
		}
		j := openJob{id: id, job: e.job, submitted: e.submitted, content: e.items, progress: maps.Clone(e.progress)}
		for i := range e.items {
			if !e.done[i] {
				j.items = append(j.items, i)
			}
		}
		open = append(open, j)
	}
	return open
}
