package quarantine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
)

// TestItemsOfAnInnocentPartGoOnAfterCrashes guards against items that wait longer than they live, because servers have
// ended by chance under young runs of a part that they share.
func TestItemsOfAnInnocentPartGoOnAfterCrashes(t *testing.T) {
	const finishTime = 18 * time.Second
	for name, c := range map[string]struct {
		times         int
		first, period time.Duration
		down          time.Duration
		all           bool
	}{
		"one after another, 0.35 s apart": {3, 200 * time.Millisecond, 350 * time.Millisecond, 3 * time.Second, false},
		"all at once, 0.6 s apart":        {6, 100 * time.Millisecond, 600 * time.Millisecond, 200 * time.Millisecond, true},
		"all at once, 2.1 s apart":        {3, 300 * time.Millisecond, 2100 * time.Millisecond, 600 * time.Millisecond, true},
		"all at once, 3.9 s apart":        {5, 300 * time.Millisecond, 3900 * time.Millisecond, 3200 * time.Millisecond, true},
		"one after another for long":      {12, 200 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, false},
	} {
		for _, fleet := range []struct{ gateways, servers int }{{1, 3}, {3, 3}, {8, 9}} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%s/%d gateways/seed %d", name, fleet.gateways, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := newPlay(fleet.gateways, fleet.servers, seed)
						p.restart = c.down
						ctx, cancel := context.WithTimeout(t.Context(), c.first+time.Duration(c.times)*c.period+c.down+finishTime)
						defer cancel()
						for i := range c.times {
							time.AfterFunc(c.first+time.Duration(i)*c.period, func() {
								if c.all {
									p.crashAll()
								} else {
									p.crashOne()
								}
							})
						}
						assert.Equal(t, p.runItems(ctx, "part", 6), 0)
					})
				})
			}
		}
	}
}

// TestLostTrialIsRepeatedByAnyGateway guards against gateways that take each other's claims for trials, once the outcome of a trial is lost.
func TestLostTrialIsRepeatedByAnyGateway(t *testing.T) {
	for _, gateways := range []int{1, 3, 12} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%d gateways/seed %d", gateways, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newPlay(gateways, gateways+2, seed)
					for _, g := range p.gateways {
						g.PeerHeld([]string{"part"})
						g.PeerHolds([]HoldState{{Suspect: "part", Phase: Trying, Server: 1}}) // its gateway dies
					}
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
					defer cancel()
					began := time.Now()
					var once sync.Once
					var first time.Duration
					var items sync.WaitGroup
					for _, g := range p.gateways {
						items.Go(func() {
							p.mu.Lock()
							d := time.Duration(p.rng.IntN(100)) * time.Millisecond
							p.mu.Unlock()
							time.Sleep(d)
							if g.runItem(ctx, "part") {
								once.Do(func() { first = time.Since(began) })
							}
						})
					}
					items.Wait()
					assert.Assert(t, first > 0 && first < trialTimeout+18*time.Second, "first item after %v", first)
				})
			})
		}
	}
}

// TestSoundItemsDoNotPayForAGuiltyOneOfTheirPart guards against sound items whose part is tried with a guilty item again and again.
func TestSoundItemsDoNotPayForAGuiltyOneOfTheirPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(1, 6, 1)
		p.guilty, p.guiltyAfter = "guilty", 100*time.Millisecond
		g := p.gateways[0]
		g.PeerHeld([]string{"part"})
		ctx, cancel := context.WithTimeout(t.Context(), 18*time.Second)
		defer cancel()
		var items sync.WaitGroup
		var mu sync.Mutex
		running, done := map[int]bool{}, map[int]bool{}
		for ctx.Err() == nil { // a cycle of the runner, items in their order
			time.Sleep(100 * time.Millisecond)
			for i := range 5 {
				mu.Lock()
				skip := running[i] || done[i]
				mu.Unlock()
				suspects := []string{"part", ItemSuspect("j", i)}
				if skip || g.Check(suspects, balance.Batch).Refuses() {
					continue
				}
				mu.Lock()
				running[i] = true
				mu.Unlock()
				began := make(chan struct{})
				items.Go(func() {
					close(began)
					complete := g.runOnce(suspects, i == 0)
					mu.Lock()
					defer mu.Unlock()
					running[i], done[i] = false, complete
				})
				<-began
				synctest.Wait()
			}
		}
		items.Wait()
		v := g.Check([]string{"part"}, balance.Batch)
		assert.Equal(t, len(slices.DeleteFunc([]int{1, 2, 3, 4}, func(i int) bool { return !done[i] })), 4,
			"sound items; failures %d, next in %v, ended %d, item held %v", v.Failures, v.Wait, p.ended, g.table.held[ItemSuspect("j", 0)] != nil)
	})
}

// TestGatewaysThatNeverStartTheirTrialsDoNotBlockOthers guards against items that wait for ever for gateways which
// announce trials and find no slot again.
func TestGatewaysThatNeverStartTheirTrialsDoNotBlockOthers(t *testing.T) {
	const items, finishTime = 2, 18 * time.Second
	for _, never := range []int{1, 8, 36} {
		t.Run(fmt.Sprint(never), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay(never+items, 6, 1)
				for _, g := range p.gateways {
					g.PeerHeld([]string{"part"})
				}
				ctx, cancel := context.WithTimeout(t.Context(), finishTime)
				defer cancel()
				var all sync.WaitGroup
				for _, g := range p.gateways[:never] {
					all.Go(func() {
						for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
							g.broadcast(g.table.Claim([]string{"part"}, balance.Batch, time.Now()))
						}
					})
				}
				for _, g := range p.gateways[never:] {
					all.Go(func() { assert.Check(t, g.runItem(ctx, "part")) })
				}
				all.Wait()
			})
		})
	}
}
