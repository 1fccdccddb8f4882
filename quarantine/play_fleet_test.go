package quarantine

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

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
