package bench

import (
	"math/rand/v2"
	"strconv"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/routing"
)

const (
	maxOnlineTries = 3
	incarnation    = "1"
)

// entry routes the requests of its callers.
type entry struct {
	sim           *sim
	index, zone   int
	online, batch router

	feeders map[int]*feeder
}

func newEntry(s *sim, index, zone int) *entry {
	e := &entry{sim: s, index: index, zone: zone, feeders: make(map[int]*feeder)}
	e.online, e.batch = s.policy.routers(s.dep.Zones[zone], s.seed+uint64(index))
	for _, w := range s.workers {
		z := s.dep.Zones[w.zone]
		b := routing.Backend{
			Instance: w.name, Addr: w.name, Incarnation: incarnation,
			Service: s.dep.Services[w.service].Name, Region: z.Region, Zone: z.Name,
		}
		reserved := s.policy.reserved != nil && s.policy.reserved(w)
		if !reserved {
			e.online.Upsert(b)
		}
		if e.batch != e.online && reserved {
			e.batch.Upsert(b)
		}
	}
	return e
}

func (e *entry) router(c admission.Class) router {
	if c == admission.Batch {
		return e.batch
	}
	return e.online
}

// dispatch sends an attempt to a backend server; it reports whether one was
// found.
func (e *entry) dispatch(a *attempt) bool {
	r := a.req
	d, ok := e.router(r.class).Pick(e.sim.now, routing.Request{
		Service: e.sim.dep.Services[r.service].Name, Class: r.class,
		Workspace: "default", Prefix: r.prefix,
		Tokens:  r.prefixTokens + r.promptTokens + r.outputTokens,
		Prefer:  a.prefer(),
		Exclude: a.fails,
	})
	if !ok {
		if r.class == admission.Online {
			e.sim.stats.refused++
		}
		return false
	}
	a.tries++
	a.id = r.id + "." + strconv.Itoa(a.tries)
	a.work = e.sim.byName[d.Backend.Instance]
	p := onlineBytes
	if r.class == admission.Batch {
		p = batchBytes
	}
	bytes := messageBytes + bytesPerToken*(r.prefixTokens+r.promptTokens+a.kept)
	e.sim.send(e.zone, a.work.zone, bytes, p, func() { a.work.arrive(a) })
	return true
}

func (e *entry) observe(w *worker, l routing.Load) {
	e.online.Observe(e.sim.now, w.name, l)
	if e.batch != e.online {
		e.batch.Observe(e.sim.now, w.name, l)
	}
}

// refused tries another backend server or gives up.
func (e *entry) refused(a *attempt, act admission.Action) {
	e.router(a.req.class).RecordResult(e.sim.now, a.work.name, routing.Refused)
	if a.req.class == admission.Batch {
		e.feeders[a.req.service].back(a)
		return
	}
	a.fails = append(a.fails, a.work.name)
	if a.tries >= maxOnlineTries || !retryable(act.Err) {
		e.sim.stats.refused++
		return
	}
	e.dispatch(a)
}

func (e *entry) preempted(a *attempt) {
	e.router(a.req.class).RecordResult(e.sim.now, a.work.name, routing.OK)
	if a.held == nil || !e.dispatch(a) {
		e.feeders[a.req.service].back(a)
	}
}

func (e *entry) finished(a *attempt) {
	e.router(a.req.class).RecordResult(e.sim.now, a.work.name, routing.OK)
}

// feeder hands out the endless backlog of one service in one region.
type feeder struct {
	sim     *sim
	entry   *entry
	service int
	rng     *rand.Rand
	resumed []*attempt
	drawn   int
}

func newFeeder(s *sim, e *entry, service int) *feeder {
	f := &feeder{
		sim: s, entry: e, service: service,
		rng: rand.New(rand.NewPCG(s.seed, 1000+uint64(e.index*16+service))),
	}
	e.feeders[service] = f
	return f
}

// feed sends items while there is room, and goes on doing so. A feeder of lots
// sends each lot at once.
func (f *feeder) feed() {
	room, every := f.sim.policy.lotItems, lotEvery
	if room == 0 {
		room, every = f.entry.batch.BatchRoom(f.sim.now, f.sim.dep.Services[f.service].Name), feedEvery
	}
	for range room {
		a := f.take()
		if !f.entry.dispatch(a) {
			f.back(a)
			break
		}
	}
	f.sim.after(every, f.feed)
}

func (f *feeder) take() *attempt {
	if n := len(f.resumed); n > 0 {
		a := f.resumed[0]
		f.resumed = f.resumed[1:]
		return a
	}
	svc := f.sim.dep.Services[f.service]
	r := svc.Batch.draw(f.rng, svc.Name, f.service, admission.Batch)
	r.name("b" + strconv.Itoa(f.entry.index) + "-" + strconv.Itoa(f.drawn))
	f.drawn++
	return &attempt{req: r, entry: f.entry}
}

func (f *feeder) back(a *attempt) { f.resumed = append(f.resumed, a) }
