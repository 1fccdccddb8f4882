package jobs

import (
	"time"

	"github.com/catkinrudder/catkinrudder/backfill"
)

// backlogInterval is how long an estimate of the unfinished items of a route is used.
const backlogInterval = 500 * time.Millisecond

// backlog estimates the unfinished items of each route over all shards. The runner's lock guards
// it.
type backlog struct {
	s        *Service
	byRoute  map[string]int64
	measured time.Time
}

// items returns how many items of a route are unfinished, given the tokens of one of them.
func (b *backlog) items(route string, tokens int64, now time.Time) float64 {
	if now.Sub(b.measured) >= backlogInterval {
		b.byRoute, b.measured = b.s.waitingByRoute(), now
	}
	return float64(b.byRoute[route]) / float64(max(tokens, 1))
}

// waitingByRoute sums the tokens of unfinished items of all workspaces by route. Items that no owner
// has reported count as unfinished.
func (s *Service) waitingByRoute() map[string]int64 {
	sums := make(map[string]int64)
	from := make([]int64, len(s.shards))
	reports := make([]ShardReport, 0, len(s.shards))
	for i, sh := range s.shards {
		report, known := s.opts.Peers.ShardReport(i)
		if !known || sh.owned() || report.Partial {
			continue
		}
		from[i] = report.Offset
		reports = append(reports, report)
	}
	routes := s.table.addWaiting(sums, from)
	for _, report := range reports {
		for route, tokens := range report.Waiting {
			sums[route] += tokens
		}
		for key, tokens := range report.WorkspaceWaiting {
			sums[routes[key]] += tokens
		}
	}
	return sums
}

// addWaiting adds the tokens of unfinished items by route, for the jobs whose summary has at least the
// offset in from for its shard. It returns the routes of all jobs of workspaces by accountKey.
func (t *Table) addWaiting(sums map[string]int64, from []int64) (routes map[uint64]string) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	routes = make(map[uint64]string)
	for id, e := range t.byID {
		if e.job == nil {
			continue
		}
		if a := e.job.account(); a.workspace != "" {
			routes[accountKey(a)] = a.route
		}
		if e.cancelled || e.offset < from[shardOf(id, len(from))] {
			continue
		}
		for i, tokens := range e.job.Tokens {
			if !e.done[i] {
				sums[e.job.Route] += tokens
			}
		}
	}
	return routes
}

// backfillItem describes an item of a job for a decision on its start.
func (r *runner) backfillItem(j openJob, u *run, service string, now time.Time) backfill.Item {
	item := r.describe(u, now)
	free := r.gaps.meanFree(service, now)
	if free <= 0 {
		return item
	}
	waiting := r.backlog.items(u.route, j.job.totalTokens()/int64(max(len(j.job.Tokens), 1)), now)
	item.Backlog = time.Duration(waiting / free * float64(r.estimates.remaining(u.route, 0)))
	return item
}
