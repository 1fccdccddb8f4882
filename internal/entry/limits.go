package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
)

// limiter enforces the workspaces' limits on live requests. Each entry allows
// its share of a workspace's rate, the balancer spreading requests evenly. mu
// guards the rest.
type limiter struct {
	mu   sync.Mutex
	rows map[string]*usageRow
}

// usageRow is what one workspace uses at this entry.
type usageRow struct {
	rate    *rate.Limiter
	limits  desired.Limits
	entries int
	online  int
}

func newLimiter() *limiter { return &limiter{rows: make(map[string]*usageRow)} }

// enter takes one live request of a workspace in, or refuses it at once with
// when to come back. leave must be called for every request taken in.
func (l *limiter) enter(ws desired.Workspace, entries int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.row(ws, max(entries, 1))
	if most := ws.Limits.MaxOnline; most > 0 && r.online >= share(most, r.entries) {
		return errkind.New(errkind.RateLimited, "workspace %q has %d live requests in progress here", ws.Name, r.online)
	}
	if r.rate != nil {
		if wait, ok := take(r.rate); !ok {
			return errkind.New(errkind.RateLimited, "workspace %q is over its rate of requests", ws.Name).WithRetryAfter(wait)
		}
	}
	r.online++
	return nil
}

func (l *limiter) leave(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.rows[workspace]; ok {
		r.online--
	}
}

// row returns a workspace's row with its limits up to date; the caller holds
// mu.
func (l *limiter) row(ws desired.Workspace, entries int) *usageRow {
	r, ok := l.rows[ws.Name]
	if !ok {
		r = &usageRow{}
		l.rows[ws.Name] = r
	}
	if ok && r.limits == ws.Limits && r.entries == entries {
		return r
	}
	r.limits, r.entries = ws.Limits, entries
	if ws.Limits.RequestsPerSecond <= 0 {
		r.rate = nil
		return r
	}
	perSecond := rate.Limit(ws.Limits.RequestsPerSecond / float64(entries))
	burst := share(max(ws.Limits.Burst, 1), entries)
	if r.rate == nil {
		r.rate = rate.NewLimiter(perSecond, burst)
		return r
	}
	r.rate.SetLimit(perSecond)
	r.rate.SetBurst(burst)
	return r
}

// share is one entry's part of a whole limit, at least one.
func share(whole, entries int) int { return max((whole+entries-1)/entries, 1) }

// take takes a token; without one it says when there will be.
func take(r *rate.Limiter) (time.Duration, bool) {
	res := r.Reserve()
	if wait := res.Delay(); wait > 0 {
		res.Cancel()
		return wait, false
	}
	return 0, true
}
