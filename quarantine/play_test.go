package quarantine

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// play is a fleet in virtual time: gateways that run items of one service, whose backend servers end.
type play struct {
	rng      *rand.Rand
	gateways []*playGateway
	// restart is how long a server that has ended is away, eventInterval the time between the events of a run and
	// events their number.
	restart, eventInterval time.Duration
	events                 int
	// guilty is the part that ends each server which has run it for guiltyAfter; empty if none does.
	guilty      string
	guiltyAfter time.Duration

	mu sync.Mutex
	// servers holds by id those that serve, with the function that ends them.
	servers map[string]context.CancelFunc
	done    map[string]context.Context
	boots   int
	// ended counts the servers that have ended under runs of the guilty part, endedBefore those of them under runs
	// that had begun before the part was held.
	ended, endedBefore int
}

// playGateway is a gateway of a play. It implements Peers.
type playGateway struct {
	*Guard
	p    *play
	rank int
}

// peerDelay is the time that a message between gateways of a play takes.
const peerDelay = 5 * time.Millisecond

func newPlay(gateways, servers int, seed uint64) *play {
	p := &play{
		rng: rand.New(rand.NewPCG(seed, seed)), restart: 3 * time.Second, eventInterval: 40 * time.Millisecond, events: 100,
		servers: make(map[string]context.CancelFunc), done: make(map[string]context.Context),
	}
	for range servers {
		p.boot()
	}
	for i := range gateways {
		g := &playGateway{p: p, rank: i}
		g.Guard = NewGuard(Options{
			StartedAt: time.Now().Add(-time.Minute), Probe: p.probe, Eject: func(catalog.Backend) {}, Backends: p.backends,
			Peers: func() Peers { return g }, Logger: log.New(io.Discard), Store: func(context.Context, keyedlog.Record) error { return nil },
		})
		p.gateways = append(p.gateways, g)
	}
	return p
}

func (p *play) boot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.boots++
	id := fmt.Sprint("i-", p.boots)
	p.done[id], p.servers[id] = context.WithCancel(context.Background())
}

func (p *play) backends(string) []catalog.Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []catalog.Backend
	for id := range p.servers {
		out = append(out, catalog.Backend{ID: id, Service: "s", State: catalog.Ready})
	}
	slices.SortFunc(out, func(a, b catalog.Backend) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (p *play) probe(_ context.Context, b catalog.Backend, _ bool) error {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers[b.ID] == nil {
		return upstream.ErrProcessEnded
	}
	return nil
}

// crash ends servers; they start again under other ids.
func (p *play) crash(ids ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if end := p.servers[id]; end != nil {
			end()
			delete(p.servers, id)
			time.AfterFunc(p.restart, p.boot)
		}
	}
}

// crashAll ends all servers at once.
func (p *play) crashAll() {
	for _, b := range p.backends("s") {
		p.crash(b.ID)
	}
}

// crashOne ends the server that has served for the longest time.
func (p *play) crashOne() {
	if all := p.backends("s"); len(all) > 0 {
		p.crash(all[0].ID)
	}
}

// recordHeld records that the guilty part is held at all gateways, and that the runs which had begun before are over.
func (p *play) recordHeld() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedBefore = max(p.endedBefore, p.ended)
}

// send passes a message to the other gateways.
func (g *playGateway) send(deliver func(to *playGateway)) {
	for _, other := range g.p.gateways {
		if other != g {
			time.AfterFunc(peerDelay, func() { deliver(other) })
		}
	}
}

func (g *playGateway) BroadcastCrash(r CrashReport) {
	g.send(func(to *playGateway) {
		if completed := to.PeerCrash(r); len(completed) > 0 {
			time.AfterFunc(peerDelay, func() { g.PeerCompleted(completed) })
		}
	})
}

func (g *playGateway) BroadcastHeld(suspects []string) {
	time.AfterFunc(g.p.guiltyAfter+2*peerDelay, g.p.recordHeld)
	g.send(func(to *playGateway) { to.PeerHeld(suspects) })
}

func (g *playGateway) BroadcastHolds(states []HoldState) {
	g.send(func(to *playGateway) { to.PeerHolds(states) })
}

func (g *playGateway) BroadcastCompleted(suspects []string) {
	g.send(func(to *playGateway) { to.PeerCompleted(suspects) })
}

func (g *playGateway) Priority(string) uint64 { return uint64(g.rank) }

// runItem runs an item with a part until it is complete, as the owner of its job does.
func (g *playGateway) runItem(ctx context.Context, part string) (complete bool) {
	for from := 0; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		all := g.p.backends("s")
		if len(all) == 0 || g.Check([]string{part}, balance.Batch).Refuses() {
			continue
		}
		g.p.mu.Lock()
		b := all[g.p.rng.IntN(len(all))]
		g.p.mu.Unlock()
		trial, ok := g.Begin([]string{part}, b, balance.Batch)
		if !ok {
			continue
		}
		began := time.Now()
		progress := g.Follow(func() []string { return []string{part} })
		from = g.p.serve(b.ID, part, from, progress)
		if from == g.p.events {
			g.RunCompleted([]string{part})
			trial.End(nil)
			return true
		}
		trial.End(g.RunInterrupted(b, []string{part}, began))
		time.Sleep(400 * time.Millisecond)
	}
	return false
}

// serve is a run at a server. It returns how many events of the item have been sent.
func (p *play) serve(id, part string, from int, progress *Progress) int {
	p.mu.Lock()
	done := p.done[id]
	p.mu.Unlock()
	if part == p.guilty {
		time.AfterFunc(p.guiltyAfter, func() {
			if done.Err() == nil {
				p.mu.Lock()
				p.ended++
				p.mu.Unlock()
			}
			p.crash(id)
		})
	}
	for n := from; n < p.events; n++ {
		select {
		case <-done.Done():
			return n
		case <-time.After(p.eventInterval):
			progress.Event()
		}
	}
	return p.events
}

// runItems lets each gateway run items with a part until ctx ends, and returns how many did not complete.
func (p *play) runItems(ctx context.Context, part string, each int) (open int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, g := range p.gateways {
		for range each {
			wg.Go(func() {
				if !g.runItem(ctx, part) {
					mu.Lock()
					open++
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return open
}

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

// runSuspects runs an item with several suspects until it is complete.
func (g *playGateway) runSuspects(ctx context.Context, suspects []string, guilty bool) bool {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		if g.runOnce(suspects, guilty) {
			return true
		}
	}
	return false
}

// runOnce runs an item once, if it may start.
func (g *playGateway) runOnce(suspects []string, guilty bool) (complete bool) {
	all := g.p.backends("s")
	if len(all) == 0 || g.Check(suspects, balance.Batch).Refuses() {
		return false
	}
	g.p.mu.Lock()
	b := all[g.p.rng.IntN(len(all))]
	g.p.mu.Unlock()
	trial, ok := g.Begin(suspects, b, balance.Batch)
	if !ok {
		return false
	}
	began := time.Now()
	progress := g.Follow(func() []string { return suspects })
	part := "sound"
	if guilty {
		part = g.p.guilty
	}
	if g.p.serve(b.ID, part, 0, progress) == g.p.events {
		g.RunCompleted(suspects)
		trial.End(nil)
		return true
	}
	trial.End(g.RunInterrupted(b, suspects, began))
	time.Sleep(400 * time.Millisecond)
	return false
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
