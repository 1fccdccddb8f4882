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
	byRoute  map[string]float64
	measured time.Time
}

// items returns how many items of a route are unfinished, given the tokens of one of them.
func (b *backlog) items(route string, tokens int64, now time.Time) float64 {
	if now.Sub(b.measured) >= backlogInterval {
		b.byRoute, b.measured = make(map[string]float64), now
	}
	waiting, known := b.byRoute[route]
	if !known {
		waiting = float64(b.s.waitingTokens(route))
		b.byRoute[route] = waiting
	}
	return waiting / float64(max(tokens, 1))
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
