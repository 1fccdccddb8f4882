package soak

import (
	"context"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const (
	// allGateways is the target of a disturbance that affects every gateway.
	allGateways = "every gateway"
	// limitedRate is the rate of a rate-limited link in bytes per second.
	limitedRate = 40 << 10
	// disturbanceSlack is how long a gateway may take to recover after a disturbance.
	disturbanceSlack = 2 * time.Second
)

// inject injects a fault and ends it after its duration.
func (r *Round) inject(ctx context.Context, f Fault) {
	r.history.update(func(h *History) { h.Injected[string(f.Kind)]++ })
	gateway := r.gateways[f.Target%len(r.gateways)]
	server := r.servers[f.Target%len(r.servers)]
	switch f.Kind {
	case KillGateway, KillAllGateways, FreezeGateway, StopGateway, ReloadGateway, RollGateways:
		r.injectGatewayFault(ctx, f, gateway)
	case IsolateGateway:
		r.recordDisturbance(allGateways, func() { r.isolateGateway(ctx, f) })
	case FenceShards:
		r.fenceShards(ctx)
	case ResetCallers, SlowCallers, LimitCallerRate:
		r.recordDisturbance(gateway.Name, func() { r.injectLinkFault(ctx, f, gateway.CallerLink) })
	case CutPeers, DropPeerTraffic:
		r.recordDisturbance(gateway.Name, func() { r.injectPeerFault(ctx, f, f.Target%len(r.gateways)) })
	case CutRegion:
		r.recordDisturbance(allGateways, func() { r.partitionRegion(ctx, f) })
	case CutStoreLink, ResetStoreLink, StallStoreLink, StallStoreResponses:
		r.recordDisturbance(gateway.Name, func() { r.injectLinkFault(ctx, f, gateway.StoreLink) })
	case CutMostStoreLinks:
		r.recordDisturbance(allGateways, func() { r.cutMostStoreLinks(ctx, f, gateway) })
	case StoreDown, StoreDownAndEmptied, StoreSlow, StoreDropsResponses, StoreDropsRequests, StoreDelaysAppends, StoreTruncated:
		r.recordDisturbance(allGateways, func() { r.injectStoreFault(ctx, f) })
	case KillBackend:
		r.killBackend(ctx, f, server)
	case DrainBackend:
		r.drainBackend(ctx, server)
	case RestartBackend:
		r.recordError(server.restart(identity(f.Share)))
	case PauseBackend:
		server.current().backend.Pause(min(f.For, maxPause))
	case BackendWritesLate:
		r.writeLate(ctx, f, server.current())
	case BackendNamesLimit:
		r.limitBackend(ctx, f, server.current())
	case CutBackend, ResetBackend, StallBackend, StallBackendResponses, SlowBackend:
		r.injectLinkFault(ctx, f, server.current().link)
	default:
		b := server.current()
		b.setFault(backendFault[f.Kind], f.Share)
		delay.Wait(ctx, f.For)
		b.setFault(platformtest.None, 0)
	}
}

var backendFault = map[FaultKind]platformtest.Fault{
	BackendFails: platformtest.Fail, BackendFull: platformtest.Full, BackendCutsStreams: platformtest.CutMidEvent,
	BackendMismatchesResponses: platformtest.MismatchedResponse, BackendTrailingBytes: platformtest.TrailingBytes,
	BackendCloseDelimited: platformtest.CloseDelimited, BackendResetsAfterRun: platformtest.ResetAfterRun, BackendHangs: platformtest.Hang,
	BackendLateRefusals: platformtest.LateRefusal, BackendRepeatsRefusals: platformtest.RefuseTwice,
	BackendEndlessHead: platformtest.EndlessHeader, BackendEndlessBody: platformtest.EndlessMismatch,
}

// recordDisturbance runs f and records the period as a disturbance of the target.
func (r *Round) recordDisturbance(target string, f func()) {
	var index int
	r.history.update(func(h *History) {
		index = len(h.Disturbed)
		h.Disturbed = append(h.Disturbed, Interval{Target: target, Begin: time.Now()})
	})
	f()
	r.history.update(func(h *History) { h.Disturbed[index].End = time.Now().Add(disturbanceSlack) })
}

func (r *Round) injectGatewayFault(ctx context.Context, f Fault, g *proctest.Gateway) {
	switch f.Kind {
	case KillGateway:
		r.recordDisturbance(g.Name, func() { r.killAndRestart(ctx, f.For, g) })
	case KillAllGateways:
		r.recordDisturbance(allGateways, func() { r.killAndRestart(ctx, f.For, r.gateways...) })
	case FreezeGateway:
		r.recordDisturbance(g.Name, func() {
			g.Freeze()
			delay.Wait(ctx, f.For)
			g.Resume()
		})
	case StopGateway:
		r.stopGateway(ctx, g)
	case ReloadGateway:
		g.Reload()
	case RollGateways:
		r.rollGateways(ctx, f)
	}
}

// rollGateways stops the gateways in turn. Later stops begin before earlier gateways are back.
func (r *Round) rollGateways(ctx context.Context, f Fault) {
	var stops sync.WaitGroup
	for i := range r.gateways {
		stops.Go(func() { r.stopGateway(ctx, r.gateways[(f.Target+i)%len(r.gateways)]) })
		delay.Wait(ctx, f.Delay)
	}
	stops.Wait()
}

func (r *Round) killAndRestart(ctx context.Context, d time.Duration, gateways ...*proctest.Gateway) {
	for _, g := range gateways {
		g.Kill()
	}
	delay.Wait(ctx, d)
	for _, g := range gateways {
		r.recordError(g.Start())
	}
}

// stopGateway stops a gateway gracefully and starts it again. A gateway that is suspended
// or killed meanwhile may take longer or exit with an error.
func (r *Round) stopGateway(ctx context.Context, g *proctest.Gateway) {
	if r.plan.Profile == Planned {
		r.replacing.Lock()
		defer r.replacing.Unlock()
		defer r.awaitReady(ctx, g)
	}
	begin := time.Now()
	err := g.Stop(grace)
	if err != nil && r.undisturbedSince(g.Name, begin) {
		r.history.update(func(h *History) { h.FailedStops = append(h.FailedStops, g.Name+": "+err.Error()) })
	}
	if err != nil {
		g.Kill()
	}
	r.recordError(g.Start())
}

func (r *Round) awaitReady(ctx context.Context, g *proctest.Gateway) {
	for end := time.Now().Add(startTimeout); !g.Ready() && time.Now().Before(end); {
		delay.Wait(ctx, pollInterval)
	}
	// The load balancer detects the readiness only with its next probe.
	delay.Wait(ctx, 2*probeInterval)
}

// undisturbedSince reports whether only planned stops have affected a gateway since begin.
func (r *Round) undisturbedSince(gateway string, begin time.Time) bool {
	return r.undisturbedDuring(gateway, begin, time.Now())
}

func (r *Round) injectLinkFault(ctx context.Context, f Fault, link *proctest.Forwarder) {
	switch f.Kind {
	case CutStoreLink, CutBackend:
		link.Cut()
	case ResetCallers, ResetStoreLink, ResetBackend:
		link.Reset()
		return
	case StallStoreLink, StallBackend:
		link.Stall()
	case StallStoreResponses, StallBackendResponses:
		link.StallDirection(proctest.FromTarget)
	case SlowCallers, SlowBackend:
		link.Delay(f.Delay)
	case LimitCallerRate:
		link.LimitRate(limitedRate)
	}
	delay.Wait(ctx, f.For)
	link.Restore()
}

// cutMostStoreLinks cuts the store links of all gateways but one.
func (r *Round) cutMostStoreLinks(ctx context.Context, f Fault, connected *proctest.Gateway) {
	for _, g := range r.gateways {
		if g != connected {
			g.StoreLink.Cut()
		}
	}
	delay.Wait(ctx, f.For)
	for _, g := range r.gateways {
		g.StoreLink.Restore()
	}
}

// injectPeerFault cuts a gateway's links to the others, or drops what it sends to them.
func (r *Round) injectPeerFault(ctx context.Context, f Fault, gateway int) {
	if f.Kind == CutPeers {
		r.links.cut(gateway)
	} else {
		r.links.dropFrom(gateway)
	}
	delay.Wait(ctx, f.For)
	r.links.restore()
}

// partitionRegion partitions the region without the store from the other one. Its
// gateways reach neither the store nor the gateways of the other region.
func (r *Round) partitionRegion(ctx context.Context, f Fault) {
	far := make(map[int]bool)
	for i, g := range r.gateways {
		if far[i] = regionOf[zoneOf(i)] != storeRegion; far[i] {
			g.StoreLink.Cut()
		}
	}
	r.links.partition(far)
	delay.Wait(ctx, f.For)
	r.links.restore()
	for i, g := range r.gateways {
		if far[i] {
			g.StoreLink.Restore()
		}
	}
}

func (r *Round) injectStoreFault(ctx context.Context, f Fault) {
	fault := storeFault{share: f.Share}
	switch f.Kind {
	case StoreTruncated:
		r.store.Log.Truncate()
		return
	case StoreSlow:
		r.store.SetDelay(f.Delay)
		delay.Wait(ctx, f.For)
		r.store.SetDelay(0)
		return
	case StoreDown, StoreDownAndEmptied:
		fault = storeFault{fault: keyedlogtest.Refuse, share: 100}
	case StoreDropsResponses:
		fault.fault = keyedlogtest.DropResponse
	case StoreDropsRequests:
		fault.fault = keyedlogtest.DropRequest
	case StoreDelaysAppends:
		fault.fault = keyedlogtest.Delay
	}
	r.faults.begin(fault)
	delay.Wait(ctx, f.For)
	r.faults.end(fault)
	switch f.Kind {
	case StoreDelaysAppends:
		delay.Wait(ctx, f.Delay)
		r.store.Log.RunDelayed()
	case StoreDownAndEmptied:
		// The registrations have expired meanwhile. The next heartbeats renew them.
		for _, s := range r.servers {
			s.current().remove(r.store.Log)
		}
	}
}

func (r *Round) killBackend(ctx context.Context, f Fault, s *server) {
	s.kill()
	delay.Wait(ctx, f.For)
	r.recordError(s.start())
}

// limitBackend makes a backend server name a limit.
func (r *Round) limitBackend(ctx context.Context, f Fault, b *incarnation) {
	named := Interval{Target: b.backend.ID, Begin: time.Now()}
	b.addLimit(1)
	delay.Wait(ctx, f.For)
	b.addLimit(-1)
	named.End = time.Now()
	r.history.update(func(h *History) { h.Limits = append(h.Limits, named) })
}

// drainBackend drains a backend server and replaces it.
func (r *Round) drainBackend(ctx context.Context, s *server) {
	b := s.current()
	if !b.leave(stateDraining, stateReady, stateDraining, stateKilled) {
		return // it has just been restarted
	}
	notice := Interval{Target: b.backend.ID, Begin: b.drain(ctx, r.store.Log)}
	r.recordError(s.start())
	delay.Wait(ctx, drainTime+lingerTime)
	notice.End = time.Now()
	r.history.update(func(h *History) { h.Drains = append(h.Drains, notice) })
	b.shutDown(r.store.Log)
}

// endFaults ends every fault that is still in effect.
func (r *Round) endFaults() {
	for _, g := range r.gateways {
		g.Resume()
		g.CallerLink.Restore()
		g.StoreLink.Restore()
		r.links.restore()
		if !g.Running() {
			r.history.update(func(h *History) { h.Crashes = append(h.Crashes, g.Name) })
			r.recordError(g.Start())
		}
	}
	for _, s := range r.servers {
		s.current().link.Restore()
		s.current().setFault(platformtest.None, 0)
	}
	r.store.Log.RunDelayed()
	now := time.Now()
	r.mu.Lock()
	r.faultsEndedAt = now
	r.mu.Unlock()
	r.history.update(func(h *History) { h.FaultsEnded = now })
}
