package gateway

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/serving"
	"github.com/catkinrudder/catkinrudder/waiting"
)

// refusedRetryDelay is the maximum wait before a request that all backend servers
// have refused is tried again.
const refusedRetryDelay = 20 * time.Millisecond

// pickBackend waits for a backend server with a free slot and counts the attempt there.
func (o *onlineRequest) pickBackend(ctx context.Context) (balance.Choice, error) {
	p := o.g.queue.place(o.service, o.claim(), o.g.Metrics)
	defer p.leave()
	for {
		changed := o.g.Table.CapacityChanged()
		now := time.Now()
		candidates := o.g.Backends.OfService(o.service)
		if o.g.Backends.Len() == 0 && now.Sub(o.r.ReceivedAt) < startupWait && ctx.Err() == nil {
			o.waitForChange(ctx, changed, startupWait)
			continue
		}
		if err := o.checkCandidates(candidates); err != nil {
			return balance.Choice{}, err
		}
		need := o.requirements(p)
		if o.bypassesLine() || p.mayTry(now) && o.hasChance(p, candidates, &need, now) {
			if choice, ok := o.g.Table.Pick(candidates, need, now); ok {
				p.served(now)
				o.waitEnded(p, now)
				o.logChoice(choice, now)
				return choice, nil
			}
		}
		if ctx.Err() != nil {
			return balance.Choice{}, o.expiredError(ctx)
		}
		if err := o.judge(p, candidates, need, now); err != nil {
			o.waitEnded(p, now)
			return balance.Choice{}, err
		}
		if o.bypassesLine() {
			o.waitForChange(ctx, changed, o.judged.until.Sub(now))
			continue
		}
		p.wait(now)
		p.await(ctx, changed, o.judged.until)
		o.retryRefusing()
	}
}

// checkCandidates returns an error if no backend server can serve the request, however long
// it waits.
func (o *onlineRequest) checkCandidates(candidates []catalog.Backend) error {
	if len(candidates) == 0 {
		return errkind.New(errkind.NoBackend, "service %s has no backend server", o.service)
	}
	if o.origin.Known() && !anyReady(candidates, o.origin) {
		return errkind.New(errkind.NoBackend, "no backend server of service %s runs version %s", o.service, o.origin.Version)
	}
	return nil
}

// requirements returns the criteria of the request for its backend server.
func (o *onlineRequest) requirements(p *place) balance.Requirements {
	return balance.Requirements{
		Class: balance.Online, PromptPart: o.lastSharedPart(), Exclude: o.excluded,
		RunsOnce: !o.route.Idempotent, AllowOverload: o.mayHaveRun(), Origin: o.origin,
		QueueCut: p.engineQueueCut(), LeastLoaded: o.onTrial,
	}
}

// judge decides whether a request that found no slot goes on waiting, and returns the error
// with which it is refused otherwise.
func (o *onlineRequest) judge(p *place, candidates []catalog.Backend, need balance.Requirements, now time.Time) error {
	o.judged = p.judge(readySlots(candidates), o.elsewhere(now), o.refused, now)
	permit, limited := o.g.Table.NextPermit(candidates, need, now)
	if limited && permit.After(o.judged.until) && o.judged.reason == waiting.None {
		o.judged.reason = p.refusalReason()
	}
	if o.judged.reason == waiting.None {
		return nil
	}
	return o.overloadedError(p, o.g.Table.Availability(candidates, need, now), permit.Sub(now), now)
}

// claim returns what the request brings into the line of its service.
func (o *onlineRequest) claim() waiting.Claim {
	limit := o.deadline.Sub(o.r.ReceivedAt)
	arrived := o.r.ReceivedAt
	if o.mayHaveRun() {
		arrived = time.Now()
	}
	return waiting.Claim{
		Workspace: o.r.Identity.Workspace, Priority: o.priority, Returned: o.spent > 0,
		Arrived: arrived, Objective: o.route.FirstByteObjective, InTimeUntil: o.r.ReceivedAt.Add(o.route.FirstByteObjective - o.spent), Deadline: o.r.ReceivedAt.Add(limit),
	}
}

// bypassesLine reports whether the request does not take turns with others: a backend server
// may have run a part of it already, or only some backend servers can go on with its stream.
func (o *onlineRequest) bypassesLine() bool { return o.mayHaveRun() || o.origin.Known() }

// hasChance reports whether the request tries for a slot now. What other regions report of
// their slots is old when requests wait there, so it then keeps to its own region.
func (o *onlineRequest) hasChance(p *place, candidates []catalog.Backend, need *balance.Requirements, now time.Time) bool {
	elsewhere := o.elsewhere(now)
	if elsewhere.WaitingAt == 0 {
		return true
	}
	if elsewhere.Far {
		need.OwnRegion = true
		elsewhere = o.g.Crowd.InRegion(balance.Key(o.service), now)
	}
	return p.hasChance(o.g.Table.FreeSlots(candidates, *need, now), elsewhere, now)
}

// elsewhere returns what waits for the service at other gateways.
func (o *onlineRequest) elsewhere(now time.Time) waiting.Elsewhere {
	if o.g.Crowd == nil {
		return waiting.Elsewhere{}
	}
	return o.g.Crowd.Of(balance.Key(o.service), now)
}

// waitEnded counts the end of a wait.
func (o *onlineRequest) waitEnded(p *place, now time.Time) {
	if p.w != nil || o.judged.reason != waiting.None {
		o.g.Metrics.waited(o.judged.reason, now.Sub(o.r.ReceivedAt))
	}
}

// readySlots returns the number of slots of the backend servers that take requests.
func readySlots(candidates []catalog.Backend) int {
	n := 0
	for _, b := range candidates {
		if b.State == catalog.Ready {
			n += b.Slots
		}
	}
	return n
}

// waitForChange waits up to d for a change of the balance table.
func (o *onlineRequest) waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(min(d, refusedRetryDelay) + time.Millisecond)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
	o.retryRefusing()
}

// retryRefusing lets backend servers that refused the request be tried again, unless one may
// have run it.
func (o *onlineRequest) retryRefusing() {
	if o.attempts == 0 {
		clear(o.excluded)
	}
}

// overloadedError returns the error of a request that found no backend server with
// capacity in time. untilPermit is the time until one that names a limit probably takes a request,
// if nothing else stands in the way.
func (o *onlineRequest) overloadedError(p *place, r balance.Availability, untilPermit time.Duration, now time.Time) *errkind.Error {
	return errkind.New(errkind.Overloaded, "no backend server has room: %d known, %d leaving, %d tried, %d at their limits, %d avoided, least load %d online and %d batch",
		r.Candidates, r.Draining, r.Excluded, r.Limited, r.Ejected, r.LeastLoaded.Online, r.LeastLoaded.Batch).
		WithRetryAfter(max(p.comeBack(o.judged, now), untilPermit))
}

// priority returns the rank of a request on a route: that of its workspace, if it has one.
func (g *Gateway) priority(r *serving.Request, route *catalog.Route) int {
	if r.Identity.Workspace == "" || g.Configs == nil {
		return route.Priority
	}
	config := g.Configs.Current()
	if config == nil {
		return route.Priority
	}
	return config.Workspaces()[r.Identity.Workspace].PriorityOn(route)
}
