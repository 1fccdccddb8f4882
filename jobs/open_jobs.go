package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
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

// openJobs returns the jobs to run, ordered by due time, and those for which the configuration has no route.
func (r *runner) openJobs(config *catalog.Config, now time.Time) (open, withoutRoute []openJob) {
	for _, j := range r.s.table.openJobs(r.ownsJob) {
		j.route = routeOf(config, j)
		if j.route == nil {
			withoutRoute = append(withoutRoute, j)
			continue
		}
		j.identity = serving.Identity{Checked: j.job.Workspace != "" || config.HasWorkspaces(), Workspace: j.job.Workspace}
		j.due = j.submitted.Add(j.route.JobCompletionTarget)
		open = append(open, j)
	}
	r.giveUpWithoutRoute(withoutRoute, config.Version, now)
	slices.SortFunc(open, func(a, b openJob) int { return a.due.Compare(b.due) })
	return open, withoutRoute
}

// routeGrace is how long a job whose route the configuration does not hold is kept: the process may not
// have read the configuration under which the job was accepted.
const routeGrace = 10 * time.Second

// giveUpWithoutRoute gives up jobs whose route has been removed. Such a job can't be run any more.
func (r *runner) giveUpWithoutRoute(withoutRoute []openJob, version int64, now time.Time) {
	since := make(map[string]time.Time, len(withoutRoute))
	for _, j := range withoutRoute {
		at, known := r.withoutRoute[j.id]
		if !known {
			at = now
			event.Log(r.s.opts.Logger, event.JobWithoutRoute, "job", j.id, "route", j.job.Route, "host", j.job.Host, "items", len(j.items), "version", version)
		}
		since[j.id] = at
		if now.Sub(at) >= routeGrace && r.s.opts.StoreAge() < storeUnreachableAfter {
			r.giveUp(j, "its route has been removed")
		}
	}
	r.withoutRoute = since
}

func (r *runner) ownsJob(id string) bool {
	return r.s.shards[shardOf(id, len(r.s.shards))].owned()
}

// routeOf returns the route that a job's items belong to, whatever their paths: the one that has accepted
// the job. It returns nil if there is none any more.
func routeOf(config *catalog.Config, j openJob) *catalog.Route {
	if len(j.content) == 0 {
		return nil
	}
	return config.BatchRoute(j.job.Host, j.job.Route, j.content[0].Target)
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

// withoutContent calls f for the open items of the jobs selected by include that are not in the content that has
// been read.
func (t *Table) withoutContent(include func(id string) bool, f func(ref itemRef)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for id, e := range t.byID {
		if !e.open() || len(e.items) >= len(e.job.Tokens) || !include(id) {
			continue
		}
		for i := len(e.items); i < len(e.job.Tokens); i++ {
			if !e.done[i] {
				f(itemRef{id, i})
			}
		}
	}
}

// openWork counts open jobs and their items.
type openWork struct {
	jobs, items int
	// begun is the number of open items that have output on the log.
	begun int
}

// fields returns the fields of a log line.
func (w openWork) fields() []any { return []any{"jobs", w.jobs, "items", w.items, "begun", w.begun} }

// openWork counts the open jobs selected by include.
func (t *Table) openWork(include func(id string) bool) openWork {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var w openWork
	for id, e := range t.byID {
		if !e.open() || !include(id) {
			continue
		}
		w.jobs++
		w.items += len(e.job.Tokens) - len(e.done)
		for _, p := range e.progress {
			if p.started() {
				w.begun++
			}
		}
	}
	return w
}
