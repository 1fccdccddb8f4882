package soak

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const (
	everyGateway = "every gateway"
	// narrowRate is the narrow link's bytes a second.
	narrowRate = 40 << 10
	// afterEffect is how long a gateway may need to be itself again after a
	// disturbance.
	afterEffect = 2 * time.Second
)

// inject carries out one fault and ends it.
func (r *Round) inject(ctx context.Context, f Fault) {
	r.history.add(func(h *History) { h.Struck[string(f.Kind)]++ })
	gateway := r.gateways[f.Target%len(r.gateways)]
	server := r.servers[f.Target%len(r.servers)]
	switch f.Kind {
	case KillGateway, KillAllGateways, FreezeGateway, StopGateway, ReloadGateway:
		r.disturbGateway(ctx, f, gateway)
	case ResetCallers, SlowCallers, NarrowCallers:
		r.disturbed(gateway.Name, func() { r.disturbLink(ctx, f, gateway.CallerLink) })
	case CutPeers, SilencePeers:
		r.disturbed(gateway.Name, func() { r.disturbPeers(ctx, f, f.Target%len(r.gateways)) })
	case CutRegion:
		r.disturbed(everyGateway, func() { r.cutRegion(ctx, f) })
	case CutStoreLink, ResetStoreLink, SilenceStoreLink, SilenceStoreAnswers:
		r.disturbed(gateway.Name, func() { r.disturbLink(ctx, f, gateway.StoreLink) })
	case CutMostStoreLinks:
		r.disturbed(everyGateway, func() { r.cutMostStoreLinks(ctx, f, gateway) })
	case StoreDown, StoreDownAndEmptied, StoreSlow, StoreLosesAnswers, StoreLosesCalls, StoreAppliesLate, StoreForgetsItsPast:
		r.disturbed(everyGateway, func() { r.disturbStore(ctx, f) })
	case KillBackend:
		r.killBackend(ctx, f, server)
	case DrainBackend:
		r.drainBackend(ctx, server)
	case CutBackend, ResetBackend, SilenceBackend, SilenceBackendAnswers, SlowBackend:
		r.disturbLink(ctx, f, server.now().link)
	default:
		b := server.now()
		b.disturb(backendFault[f.Kind], f.Share)
		delay.Wait(ctx, f.For)
		b.disturb(platformtest.None, 0)
	}
}

var backendFault = map[FaultKind]platformtest.Fault{
	BackendFails: platformtest.Fail, BackendFull: platformtest.Full, BackendCutsStreams: platformtest.CutMidEvent,
	BackendStraysAnswers: platformtest.MismatchedResponse, BackendExtraAnswers: platformtest.TrailingBytes,
	BackendUnframed: platformtest.CloseDelimited, BackendLosesAnswers: platformtest.ResetAfterRun, BackendSilent: platformtest.Hang,
}

// disturbed notes the time of a disturbance.
func (r *Round) disturbed(what string, f func()) {
	var index int
	r.history.add(func(h *History) {
		index = len(h.Disturbed)
		h.Disturbed = append(h.Disturbed, Interval{What: what, Begin: time.Now()})
	})
	f()
	r.history.add(func(h *History) { h.Disturbed[index].End = time.Now().Add(afterEffect) })
}

func (r *Round) disturbGateway(ctx context.Context, f Fault, g *proctest.Gateway) {
	switch f.Kind {
	case KillGateway:
		r.disturbed(g.Name, func() { r.kill(ctx, f.For, g) })
	case KillAllGateways:
		r.disturbed(everyGateway, func() { r.kill(ctx, f.For, r.gateways...) })
	case FreezeGateway:
		r.disturbed(g.Name, func() {
			g.Freeze()
			delay.Wait(ctx, f.For)
			g.Resume()
		})
	case StopGateway:
		r.stopGateway(ctx, g)
	case ReloadGateway:
		g.Reload()
	}
}

func (r *Round) kill(ctx context.Context, d time.Duration, gateways ...*proctest.Gateway) {
	for _, g := range gateways {
		g.Kill()
	}
	delay.Wait(ctx, d)
	for _, g := range gateways {
		r.fail(g.Start())
	}
}

// stopGateway asks a gateway to stop and starts it again. One that is frozen or
// killed meanwhile may take longer or end otherwise.
func (r *Round) stopGateway(ctx context.Context, g *proctest.Gateway) {
	if r.plan.Profile == Planned {
		r.rolling.Lock()
		defer r.rolling.Unlock()
		defer r.awaitReady(ctx, g)
	}
	begin := time.Now()
	err := g.Stop(grace)
	if err != nil && r.undisturbed(g.Name, begin) {
		r.history.add(func(h *History) { h.BadStops = append(h.BadStops, g.Name+": "+err.Error()) })
	}
	if err != nil {
		g.Kill()
	}
	r.fail(g.Start())
}

func (r *Round) awaitReady(ctx context.Context, g *proctest.Gateway) {
	for end := time.Now().Add(startTimeout); !g.Ready() && time.Now().Before(end); {
		delay.Wait(ctx, lookInterval)
	}
	// The platform's own look comes later.
	delay.Wait(ctx, 2*probeInterval)
}

// undisturbed reports whether nothing but planned stops struck a gateway.
func (r *Round) undisturbed(gateway string, begin time.Time) bool {
	return r.inTouch(gateway, begin, time.Now())
}

func (r *Round) disturbLink(ctx context.Context, f Fault, link *proctest.Forwarder) {
	switch f.Kind {
	case CutStoreLink, CutBackend:
		link.Cut()
	case ResetCallers, ResetStoreLink, ResetBackend:
		link.Reset()
		return
	case SilenceStoreLink, SilenceBackend:
		link.Stall()
	case SilenceStoreAnswers, SilenceBackendAnswers:
		link.StallDirection(proctest.FromTarget)
	case SlowCallers, SlowBackend:
		link.Delay(f.Delay)
	case NarrowCallers:
		link.LimitRate(narrowRate)
	}
	delay.Wait(ctx, f.For)
	link.Restore()
}

// cutMostStoreLinks leaves one gateway that reaches the store.
func (r *Round) cutMostStoreLinks(ctx context.Context, f Fault, spared *proctest.Gateway) {
	for _, g := range r.gateways {
		if g != spared {
			g.StoreLink.Cut()
		}
	}
	delay.Wait(ctx, f.For)
	for _, g := range r.gateways {
		g.StoreLink.Restore()
	}
}

// disturbPeers cuts a gateway off from the others, or drops what it sends to them.
func (r *Round) disturbPeers(ctx context.Context, f Fault, gateway int) {
	if f.Kind == CutPeers {
		r.links.cut(gateway)
	} else {
		r.links.silence(gateway)
	}
	delay.Wait(ctx, f.For)
	r.links.restore()
}

// cutRegion parts the region without the store from the other: its gateways reach
// neither the store nor the gateways there.
func (r *Round) cutRegion(ctx context.Context, f Fault) {
	far := make(map[int]bool)
	for i, g := range r.gateways {
		if far[i] = regionOf[zoneOf(i)] != storeRegion; far[i] {
			g.StoreLink.Cut()
		}
	}
	r.links.part(far)
	delay.Wait(ctx, f.For)
	r.links.restore()
	for i, g := range r.gateways {
		if far[i] {
			g.StoreLink.Restore()
		}
	}
}

func (r *Round) disturbStore(ctx context.Context, f Fault) {
	fault := storeFault{share: f.Share}
	switch f.Kind {
	case StoreForgetsItsPast:
		r.store.Log.Truncate()
		return
	case StoreSlow:
		r.store.SetDelay(f.Delay)
		delay.Wait(ctx, f.For)
		r.store.SetDelay(0)
		return
	case StoreDown, StoreDownAndEmptied:
		fault = storeFault{fault: keyedlogtest.Refuse, share: 100}
	case StoreLosesAnswers:
		fault.fault = keyedlogtest.DropResponse
	case StoreLosesCalls:
		fault.fault = keyedlogtest.DropRequest
	case StoreAppliesLate:
		fault.fault = keyedlogtest.Delay
	}
	r.faults.begin(fault)
	delay.Wait(ctx, f.For)
	r.faults.end(fault)
	switch f.Kind {
	case StoreAppliesLate:
		delay.Wait(ctx, f.Delay)
		r.store.Log.RunDelayed()
	case StoreDownAndEmptied:
		// The registrations have lapsed meanwhile; the next beats bring them back.
		for _, s := range r.servers {
			s.now().remove(r.store.Log)
		}
	}
}

func (r *Round) killBackend(ctx context.Context, f Fault, s *server) {
	s.kill()
	delay.Wait(ctx, f.For)
	r.fail(s.start())
}

// drainBackend replaces a backend server as planned.
func (r *Round) drainBackend(ctx context.Context, s *server) {
	b := s.now()
	notice := Interval{What: b.backend.ID, Begin: b.leave(ctx, r.store.Log)}
	r.fail(s.start())
	delay.Wait(ctx, drainTime+lingerTime)
	notice.End = time.Now()
	r.history.add(func(h *History) { h.Drains = append(h.Drains, notice) })
	b.depart(r.store.Log)
}

// heal ends every fault that is still in force.
func (r *Round) heal() {
	for _, g := range r.gateways {
		g.Resume()
		g.CallerLink.Restore()
		g.StoreLink.Restore()
		r.links.restore()
		if !g.Running() {
			r.history.add(func(h *History) { h.Crashes = append(h.Crashes, g.Name) })
			r.fail(g.Start())
		}
	}
	for _, s := range r.servers {
		s.now().link.Restore()
		s.now().disturb(platformtest.None, 0)
	}
	r.store.Log.RunDelayed()
	now := time.Now()
	r.mu.Lock()
	r.healed = now
	r.mu.Unlock()
	r.history.add(func(h *History) { h.Healed = now })
}
