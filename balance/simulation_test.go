package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
)

// play runs entries in front of engines in virtual time. Engines admit in the
// order of arrival and have some slots; online requests and batch items hold a
// slot for a while, and batch leaves when it is told to.
type play struct {
	entries  []*balance.Table
	engines  []*engine
	backends []catalog.Backend
	// delay is the way of a report between entries; negative for none at all.
	delay time.Duration
	rng   *rand.Rand

	now    time.Time
	events eventQueue
	seq    int
	// held lists the batch attempts in progress of each entry.
	held map[int][]*attempt
	// waits holds how long each online request waited for its slot; refused
	// counts those that found no room.
	waits   []time.Duration
	refused int
	// busy is the time that slots were taken, of both classes.
	busy time.Duration
}

type engine struct {
	running int
	queue   []*attempt
}

type attempt struct {
	entry, engine int
	class         balance.Class
	arrived       time.Time
	started       time.Time // zero until it has a slot
	over          bool
}

type playEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []playEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(playEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	playEntries = 8
	playEngines = 9
	playSlots   = 8
	onlineTime  = 750 * time.Millisecond
	batchTime   = 5 * time.Second
)

func newPlay(seed uint64, delay time.Duration) *play {
	p := &play{delay: delay, rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0), held: make(map[int][]*attempt)}
	for i := range playEntries {
		p.entries = append(p.entries, balance.New(balance.Options{Zone: "z", PeerTTL: time.Hour, Seed: seed + uint64(i)}))
	}
	for i := range playEngines {
		p.engines = append(p.engines, &engine{})
		p.backends = append(p.backends, catalog.Backend{ID: fmt.Sprint("b", i), Zone: "z", Slots: playSlots, State: catalog.Ready})
	}
	return p
}

// random returns a time below d.
func (p *play) random(d time.Duration) time.Duration { return time.Duration(p.rng.Int64N(int64(d))) }

func (p *play) after(d time.Duration, run func()) {
	p.seq++
	heap.Push(&p.events, playEvent{p.now.Add(d), p.seq, run})
}

func (p *play) until(end time.Duration) {
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(playEvent)
		if e.at.After(time.Unix(0, 0).Add(end)) {
			return
		}
		p.now = e.at
		e.run()
	}
}

// report tells the others what entry has in progress.
func (p *play) report(entry int) {
	if p.delay < 0 {
		return
	}
	counts := p.entries[entry].LocalCounts()
	for i, other := range p.entries {
		if i != entry {
			p.after(p.delay, func() {
				other.SetPeer(fmt.Sprint(entry), balance.PeerReport{Counts: counts}, p.now)
				p.yield(i)
			})
		}
	}
}

// arrive sends an online request through an entry.
func (p *play) arrive(entry int) {
	c, ok := p.entries[entry].Pick(p.backends, balance.Requirements{}, p.now)
	if !ok {
		p.refused++
		return
	}
	p.send(entry, c, balance.Online)
	p.yield(entry)
}

func (p *play) send(entry int, c balance.Choice, class balance.Class) {
	a := &attempt{entry: entry, class: class, arrived: p.now}
	for i, b := range p.backends {
		if b.ID == c.Backend.ID {
			a.engine = i
		}
	}
	if class == balance.Batch {
		p.held[entry] = append(p.held[entry], a)
	}
	e := p.engines[a.engine]
	e.queue = append(e.queue, a)
	p.report(entry)
	p.admit(e)
}

func (p *play) admit(e *engine) {
	for e.running < playSlots && len(e.queue) > 0 {
		a := e.queue[0]
		e.queue = e.queue[1:]
		if a.over {
			continue
		}
		a.started = p.now
		e.running++
		took := batchTime
		if a.class == balance.Online {
			p.waits = append(p.waits, p.now.Sub(a.arrived))
			took = onlineTime/2 + p.random(onlineTime)
		}
		p.after(took, func() { p.end(a) })
	}
}

func (p *play) end(a *attempt) {
	if a.over {
		return
	}
	a.over = true
	if !a.started.IsZero() {
		p.engines[a.engine].running--
		p.busy += p.now.Sub(a.started)
	}
	p.entries[a.entry].Release(p.backends[a.engine].ID, a.class)
	p.report(a.entry)
	p.admit(p.engines[a.engine])
}

// yield stops the batch attempts of an entry that are too many.
func (p *play) yield(entry int) {
	for i, b := range p.backends {
		for range p.entries[entry].ExcessBatch(fmt.Sprint(entry), b, p.now) {
			p.stopOne(entry, i)
		}
	}
}

func (p *play) stopOne(entry, engine int) {
	for i, a := range p.held[entry] {
		if a.engine == engine && !a.over {
			p.held[entry] = append(p.held[entry][:i:i], p.held[entry][i+1:]...)
			p.end(a)
			return
		}
	}
}

// online lets requests arrive at random entries, perSecond on average, with
// bursts of twice as many for two of each five seconds.
func (p *play) online(perSecond float64) {
	entry := p.rng.IntN(playEntries)
	p.arrive(entry)
	rate := perSecond * 0.5
	if p.now.Unix()%5 >= 3 {
		rate = perSecond * 1.75
	}
	p.after(time.Duration(p.rng.ExpFloat64()/rate*float64(time.Second)), func() { p.online(perSecond) })
}

// batch starts an item at an entry whenever one fits.
func (p *play) batch(entry int) {
	if c, ok := p.entries[entry].Pick(p.backends, balance.Requirements{Class: balance.Batch}, p.now); ok {
		p.send(entry, c, balance.Batch)
	}
	p.after(10*time.Millisecond+p.random(10*time.Millisecond), func() { p.batch(entry) })
}

const (
	playTime = 60 * time.Second
	// reportDelay is the way of a report inside a region.
	reportDelay = 4 * time.Millisecond
	// startAim is the time in which a request has to get its slot so that its
	// first event can come within an objective of 300 ms.
	startAim = 250 * time.Millisecond
	// playOnline is the online load: 0.45 of the capacity on average, 0.8 in
	// its bursts.
	playOnline = 45
)

// inTime returns the part of all online requests that got a slot in time.
func (p *play) inTime() float64 {
	n := 0
	for _, w := range p.waits {
		if w <= startAim {
			n++
		}
	}
	return float64(n) / float64(len(p.waits)+p.refused)
}

func (p *play) used() float64 {
	return float64(p.busy) / float64(playTime*playEngines*playSlots)
}

func run(seed uint64, delay time.Duration, batch bool) *play {
	p := newPlay(seed, delay)
	p.after(0, func() { p.online(playOnline) })
	for entry := range playEntries {
		if batch {
			p.after(0, func() { p.batch(entry) })
		}
	}
	p.until(playTime)
	return p
}

// TestOnlineIsNotSlowedByBatch plays bursts of online requests beside more batch
// work than fits. Online requests start as without batch, to within a hundredth,
// and the capacity that they leave is used. Entries that know only their own
// attempts do worse at both.
func TestOnlineIsNotSlowedByBatch(t *testing.T) {
	for seed := range uint64(3) {
		alone := run(seed, reportDelay, false)
		both := run(seed, reportDelay, true)
		blind := run(seed, -1, true)
		t.Logf("seed %d: in time alone %.4f, with batch %.4f, without reports %.4f; used %.3f, %.3f, %.3f",
			seed, alone.inTime(), both.inTime(), blind.inTime(), alone.used(), both.used(), blind.used())
		assert.Assert(t, alone.inTime() >= 0.99)
		assert.Assert(t, both.inTime() >= alone.inTime()-0.01)
		assert.Assert(t, blind.inTime() < both.inTime())
		assert.Assert(t, both.used() >= 0.85)
	}
}
