package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/serving"
)

const (
	// reportedLoadTTL is how long the load that a backend server reports is valid.
	reportedLoadTTL = 600 * time.Millisecond
	// reportedLoadSlack is how far the load that a backend server reports may exceed
	// the known load merely because one of the two is delayed.
	reportedLoadSlack = 1
)

// unreportedLoad is the load that a backend server reports beyond the sum of the
// gateways' reports: attempts of a gateway that has died, which the backend server
// has not noticed yet.
type unreportedLoad struct {
	attempts int
	until    time.Time
}

// ObserveLoad records the load that a backend server reported in a response.
func (t *Table) ObserveLoad(id string, l serving.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	attempts := l.Running + l.Waiting - t.load(id, now).total() - reportedLoadSlack
	if attempts <= 0 {
		delete(t.unreportedLoads, id)
		return
	}
	t.unreportedLoads[id] = unreportedLoad{attempts: min(attempts, l.Running+l.Waiting), until: now.Add(reportedLoadTTL)}
}

// unreported returns the attempts at a backend server that no gateway reports.
func (t *Table) unreported(id string, now time.Time) int {
	if u, ok := t.unreportedLoads[id]; ok && now.Before(u.until) {
		return u.attempts
	}
	return 0
}
