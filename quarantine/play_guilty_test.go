package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
)

// TestGuiltyPartEndsFewServers guards against trials of a held part that end one server after the other.
func TestGuiltyPartEndsFewServers(t *testing.T) {
	for _, after := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond} {
		for _, c := range []struct {
			gateways, servers int
			length            time.Duration
			trials            int
		}{
			{1, 3, 8 * time.Second, 1}, {1, 3, 5 * time.Minute, 3},
			{8, 9, 8 * time.Second, 1}, {8, 9, 40 * time.Second, 2}, {8, 9, 5 * time.Minute, 3},
		} {
			t.Run(fmt.Sprintf("%v/%d gateways/%v", after, c.gateways, c.length), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newPlay(c.gateways, c.servers, 1)
					p.guilty, p.guiltyAfter = "bad", after
					ctx, cancel := context.WithTimeout(t.Context(), c.length)
					defer cancel()
					var items sync.WaitGroup
					for i, g := range p.gateways {
						items.Go(func() {
							time.Sleep(time.Duration(i) * time.Second)
							assert.Check(t, !g.runItem(ctx, "bad"))
						})
					}
					items.Wait()
					p.mu.Lock()
					defer p.mu.Unlock()
					assert.Assert(t, p.endedBefore >= minCrashes)
					assert.Assert(t, p.ended <= p.endedBefore+c.trials, "%d servers have ended, %d before the part was held", p.ended, p.endedBefore)
				})
			})
		}
	}
}

// TestSeveralGuiltyItemsEndFewServers guards against guilty suspects whose trials are never judged, because they start at the same moment.
func TestSeveralGuiltyItemsEndFewServers(t *testing.T) {
	const trials = 2 // after 2 s and 15 s
	for _, fleet := range []struct{ gateways, guilty, servers int }{{1, 1, 12}, {1, 4, 12}, {3, 8, 24}} {
		t.Run(fmt.Sprintf("%d guilty/%d gateways", fleet.guilty, fleet.gateways), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay(fleet.gateways, fleet.servers, 1)
				p.guilty, p.guiltyAfter = "guilty", 100*time.Millisecond
				for _, g := range p.gateways {
					for i := range fleet.guilty {
						g.PeerHeld([]string{ItemSuspect("j", i)})
					}
				}
				ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
				defer cancel()
				var items sync.WaitGroup
				for i := range fleet.guilty {
					items.Go(func() {
						p.gateways[i%len(p.gateways)].runSuspects(ctx, []string{ItemSuspect("j", i)}, true)
					})
				}
				items.Wait()
				for i := range fleet.guilty {
					v := p.gateways[i%len(p.gateways)].Check([]string{ItemSuspect("j", i)}, balance.Batch)
					assert.Check(t, v.Failures >= trials, "the trials of item %d are judged", i)
				}
				p.mu.Lock()
				defer p.mu.Unlock()
				// Two trials that begin at one server at the same moment are repeated.
				assert.Check(t, p.ended <= fleet.guilty*(trials+1), "%d servers have ended", p.ended)
			})
		})
	}
}
