package backfill_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/backfill"
)

// The load: online requests at 1.85 times their mean for 2.2 s and at 0.38 of it for 3.0 s by
// turns, beside more items than fit.
const (
	peakTime, gapTime     = 2200 * time.Millisecond, 3 * time.Second
	peakFactor, gapFactor = 1.85, 0.38
	fleetServers          = 22
	fleetSlots            = 8
	requestTime           = 800 * time.Millisecond
	requestsPerSecond     = 105
	perEvent              = 30 * time.Millisecond
	promptTime            = 12 * time.Millisecond
	step                  = 10 * time.Millisecond
	// Three gateways start items by loads that they see every 30 ms.
	gateways, viewSteps = 3, 3
	playTime            = 60 * time.Second
	itemTarget          = 18 * time.Second
	jobInterval         = 700 * time.Millisecond
	jobItems            = 10
)

// batchRun is an item, and its run while it has a server.
type batchRun struct {
	due       time.Duration
	left      time.Duration
	startedAt time.Duration
}

// server holds what runs at one backend server: when its online requests end, and its items.
type server struct {
	online []time.Duration
	batch  []*batchRun
	// seenOnline and seenBatch are the load that the gateways know of.
	seenOnline, seenBatch int
}

func (s *server) total() int { return len(s.online) + len(s.batch) }

// play is one play of the load, and what came of it.
type play struct {
	rng     *rand.Rand
	aware   bool
	servers []*server
	queue   []*batchRun
	now     time.Duration
	load    backfill.Forecast

	requests, waited           int
	submitted, done, late      int
	cuts, shortRuns            int
	busy, wasted, capacityTime time.Duration
}

func newPlay(seed uint64, aware bool) *play {
	p := &play{rng: rand.New(rand.NewPCG(seed, seed)), aware: aware}
	for range fleetServers {
		p.servers = append(p.servers, &server{})
	}
	for p.now = 0; p.now < playTime; p.now += step {
		p.endRuns()
		p.arrive()
		p.stopExcess()
		p.startItems()
	}
	return p
}

func (p *play) time() time.Time { return time.Unix(0, 0).Add(p.now) }

// endRuns ends what is done at this step.
func (p *play) endRuns() {
	for _, s := range p.servers {
		online := s.online[:0]
		for _, end := range s.online {
			if end > p.now {
				online = append(online, end)
			}
		}
		s.online = online
		var batch []*batchRun
		for _, r := range s.batch {
			p.busy += step
			if p.now-r.startedAt > promptTime {
				r.left -= step
			} else {
				p.wasted += step
			}
			if r.left > 0 {
				batch = append(batch, r)
				continue
			}
			p.done++
			if p.now > r.due {
				p.late++
			}
		}
		s.batch = batch
		p.capacityTime += step * time.Duration(fleetSlots-len(s.online))
	}
}

// arrive lets the online requests and the jobs of this step arrive.
func (p *play) arrive() {
	factor := gapFactor
	if p.now%(peakTime+gapTime) < peakTime {
		factor = peakFactor
	}
	perStep := requestsPerSecond * factor * step.Seconds()
	for p.rng.ExpFloat64() < perStep { // at most a few in one step
		p.request()
		perStep -= 0.5
	}
	if p.now%jobInterval == 0 {
		for range jobItems {
			events := 140 + p.rng.IntN(51)
			p.queue = append(p.queue, &batchRun{due: p.now + itemTarget, left: time.Duration(events) * perEvent})
			p.submitted++
		}
	}
}

// request sends an online request to the server with the least load.
func (p *play) request() {
	least := p.servers[0]
	for _, s := range p.servers {
		if s.total() < least.total() || s.total() == least.total() && len(s.online) < len(least.online) {
			least = s
		}
	}
	p.requests++
	least.online = append(least.online, p.now+requestTime/2+time.Duration(p.rng.Int64N(int64(requestTime))))
	if least.total() > fleetSlots {
		p.waited++
	}
}

// stopExcess stops runs where online requests and runs are more than the slots.
func (p *play) stopExcess() {
	for _, s := range p.servers {
		for len(s.online) > 0 && len(s.batch) > 0 && s.total() > fleetSlots {
			p.cut(s)
		}
	}
}

// cut stops a run: the one that is due last, as it was decided without package backfill, or the
// one that the package names.
func (p *play) cut(s *server) {
	victim := 0
	if p.aware {
		var runs []backfill.Run
		for _, r := range s.batch {
			runs = append(runs, backfill.Run{Answered: p.now-r.startedAt > promptTime, Item: p.item(r)})
		}
		victim = backfill.Cut(runs, 1)[0]
	} else {
		for i, r := range s.batch {
			if r.due > s.batch[victim].due {
				victim = i
			}
		}
	}
	r := s.batch[victim]
	s.batch = append(s.batch[:victim:victim], s.batch[victim+1:]...)
	p.queue = append([]*batchRun{r}, p.queue...)
	p.cuts++
	if p.now-r.startedAt < 300*time.Millisecond {
		p.shortRuns++
	}
}

func (p *play) item(r *batchRun) backfill.Item {
	return backfill.Item{Remaining: r.left, Left: r.due - p.now}
}

// startItems lets each gateway start items where it sees free slots, at most one at each server.
func (p *play) startItems() {
	if p.now%(viewSteps*step) != 0 {
		return
	}
	var load backfill.Load
	for _, s := range p.servers {
		s.seenOnline, s.seenBatch = len(s.online), len(s.batch)
		load.Slots += fleetSlots
		load.Online += min(s.seenOnline, fleetSlots)
		load.Batch += s.seenBatch
	}
	p.load.Observe(load.Online, p.time())
	for range gateways {
		p.startAtGateway(backfill.NewRoom(load, &p.load, p.time()))
	}
}

func (p *play) startAtGateway(room *backfill.Room) {
	for _, i := range p.rng.Perm(len(p.servers)) {
		s := p.servers[i]
		if len(p.queue) == 0 || p.aware && room.Decide(p.item(p.queue[0])) == backfill.Held {
			return
		}
		reserve := 0
		if 2*s.seenOnline > fleetSlots {
			reserve = 1
		}
		if s.seenOnline+s.seenBatch+reserve >= fleetSlots {
			continue
		}
		r := p.queue[0]
		p.queue = p.queue[1:]
		r.startedAt = p.now
		s.batch = append(s.batch, r)
		room.Started()
	}
}

// TestItemsRunInTheGaps plays the load with and without the decisions of this package. With them
// as many items are done, none late, in far fewer runs, and no more requests wait for a slot.
func TestItemsRunInTheGaps(t *testing.T) {
	for seed := range uint64(3) {
		before, after := newPlay(seed, false), newPlay(seed, true)
		for _, p := range []*play{before, after} {
			t.Logf("seed %d: %d items, %d done, %d late, %d cuts (%d within 300 ms), wasted %.4f, used %.3f, %d of %d requests waited",
				seed, p.submitted, p.done, p.late, p.cuts, p.shortRuns, p.wasted.Seconds()/p.busy.Seconds(), p.busy.Seconds()/p.capacityTime.Seconds(), p.waited, p.requests)
		}
		assert.Assert(t, after.done*100 >= before.done*98)
		assert.Assert(t, after.late <= before.late)
		assert.Assert(t, after.cuts*3 <= before.cuts*2)
		assert.Assert(t, after.shortRuns*4 <= before.shortRuns)
		assert.Assert(t, after.wasted < before.wasted)
		assert.Assert(t, after.waited <= before.waited)
	}
}
