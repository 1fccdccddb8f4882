package soak

import (
	"context"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
)

// One in lapseEvery seeds has a gateway that is left alone after its memberships have lapsed, and backend servers whose
// heartbeats are executed late while they drain.
const lapseEvery = 3

// drawLapses adds the faults of one in lapseEvery seeds.
func (p *Plan) drawLapses() {
	if p.Seed%lapseEvery != 1 {
		return
	}
	g := generator{chaos.NewRand(p.Seed, 6)}
	for range 1 + g.IntN(3) {
		late := Fault{At: g.Within(workloadDuration / 2), For: g.Between(400*time.Millisecond, 2*time.Second), Kind: BackendWritesLate, Target: g.IntN(60), Delay: g.Between(time.Second, 5*time.Second)}
		drain := Fault{At: late.At + g.Within(late.For), Kind: DrainBackend, Target: late.Target}
		p.Faults = append(p.Faults, late, drain)
	}
	if p.Profile == Backends {
		return
	}
	p.Faults = append(p.Faults, Fault{
		At: g.Within(workloadDuration / 2), For: g.Between(500*time.Millisecond, 5*time.Second), Kind: IsolateGateway,
		Target: g.IntN(60), Share: g.IntN(100), Delay: g.Between(50*time.Millisecond, 1500*time.Millisecond),
	})
}

// isolateGateway cuts a gateway off from the store and the others, or suspends it. It is back when the others have
// stopped, which start again after f.Delay.
func (r *Round) isolateGateway(ctx context.Context, f Fault) {
	index := f.Target % len(r.gateways)
	g := r.gateways[index]
	isolate := func() { g.StoreLink.Cut(); r.links.cut(index) }
	rejoin := func() { g.StoreLink.Restore(); r.links.restore() }
	if f.Share < 50 {
		isolate, rejoin = g.Freeze, g.Resume
	}
	isolate()
	delay.Wait(ctx, f.For)
	r.eachOther(g, func(other *proctest.Gateway) {
		if other.Stop(grace) != nil {
			other.Kill()
		}
	})
	rejoin()
	delay.Wait(ctx, f.Delay)
	r.eachOther(g, func(other *proctest.Gateway) { r.recordError(other.Start()) })
}

// eachOther calls f for all gateways but one at the same time, and waits.
func (r *Round) eachOther(one *proctest.Gateway, f func(*proctest.Gateway)) {
	var wg sync.WaitGroup
	for _, g := range r.gateways {
		if g != one {
			wg.Go(func() { f(g) })
		}
	}
	wg.Wait()
}

// writeLate makes the store execute the heartbeats of a backend server late while the fault lasts.
func (r *Round) writeLate(ctx context.Context, f Fault, b *incarnation) {
	b.setLateBy(f.Delay)
	delay.Wait(ctx, f.For)
	b.setLateBy(0)
}

func (i *incarnation) setLateBy(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lateBy = d
}
