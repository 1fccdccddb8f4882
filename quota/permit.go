package quota

import (
	"fmt"
	"time"
)

// Refusal is the error of a request beyond the quota of its workspace.
type Refusal struct {
	Workspace string
	// Wait is the time after which the request may come back.
	Wait time.Duration
	// By is who decided.
	By RefusedBy
	// Owner is the gateway that hands out the permits.
	Owner string
	Limit Limit
}

// RefusedBy says who has refused a request.
type RefusedBy string

// The values of RefusedBy.
const (
	// ByOwner: the owner has denied a permit.
	ByOwner RefusedBy = "owner"
	// ByDenial: the owner has denied one to another request just before.
	ByDenial RefusedBy = "denial"
	// ByMargin: the owner does not answer, and this gateway has admitted what it may without it.
	ByMargin RefusedBy = "margin"
)

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("workspace %s is beyond its quota of %v requests a second and a burst of %v: next permit in %v (by %s, owner %s)",
		r.Workspace, r.Limit.RequestsPerSecond, r.Limit.Burst, r.Wait, r.By, r.Owner)
}

// Permit is the right to run one request.
type Permit struct {
	limiter   *Limiter
	workspace string
}

// Return gives back the permit of a request that has not run and never will. A nil permit is that of a
// workspace without a limit.
func (p *Permit) Return() {
	if p == nil {
		return
	}
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.holding(p.workspace, now).add(1, now)
}
