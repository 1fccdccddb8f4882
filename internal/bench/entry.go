package bench

import (
	"math/rand/v2"
	"strconv"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/routing"
)

const (
	maxOnlineAttempts = 3
	incarnation       = "1"
)

// entry models an entry process, which routes the requests of its clients.
type entry struct {
	sim           *sim
	index, zone   int
	online, batch router

	feeders map[int]*feeder // by service
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

// dispatch sends an attempt to a backend server and reports whether one was
// available.
func (e *entry) dispatch(a *attempt) bool {
	r := a.req
	d, ok := e.router(r.class).Pick(e.sim.now, routing.Request{
		Service: e.sim.dep.Services[r.service].Name, Class: r.class,
		Workspace: "default", Prefix: r.prefix,
		Tokens:  r.prefixTokens + r.promptTokens + r.outputTokens,
		Prefer:  a.preferredWorker(),
		Exclude: a.failedWorkers,
	})
	if !ok {
		if r.class == admission.Online {
			e.sim.stats.refused++
		}
		return false
	}
	a.tries++
	a.id = r.id + "." + strconv.Itoa(a.tries)
	a.worker = e.sim.byName[d.Backend.Instance]
	p := onlineBytes
	if r.class == admission.Batch {
		p = batchBytes
	}
	bytes := messageBytes + bytesPerToken*(r.prefixTokens+r.promptTokens+a.keptTokens)
	e.sim.send(e.zone, a.worker.zone, bytes, p, func() { a.worker.arrive(a) })
	return true
}

func (e *entry) observe(w *worker, l routing.Load) {
	e.online.Observe(e.sim.now, w.name, l)
	if e.batch != e.online {
		e.batch.Observe(e.sim.now, w.name, l)
	}
}

// refused handles the refusal of an attempt. An online attempt is sent to another
// backend server if its error is retryable, at most maxOnlineAttempts times in
// total. A batch attempt goes back to its feeder.
func (e *entry) refused(a *attempt, act admission.Action) {
	e.router(a.req.class).RecordResult(e.sim.now, a.worker.name, routing.Refused)
	if a.req.class == admission.Batch {
		e.feeders[a.req.service].requeue(a)
		return
	}
	a.failedWorkers = append(a.failedWorkers, a.worker.name)
	if a.tries >= maxOnlineAttempts || !retryable(act.Err) {
		e.sim.stats.refused++
		return
	}
	e.dispatch(a)
}

// preempted sends a preempted batch attempt on at once if a worker may still have
// its tokens cached. Otherwise, or if no backend server is available, the attempt
// goes back to its feeder.
func (e *entry) preempted(a *attempt) {
	e.router(a.req.class).RecordResult(e.sim.now, a.worker.name, routing.OK)
	if a.cachedOn == nil || !e.dispatch(a) {
		e.feeders[a.req.service].requeue(a)
	}
}

func (e *entry) finished(a *attempt) {
	e.router(a.req.class).RecordResult(e.sim.now, a.worker.name, routing.OK)
}

// feeder supplies the unlimited batch backlog of one service in one region.
type feeder struct {
	sim      *sim
	entry    *entry
	service  int
	rng      *rand.Rand
	requeued []*attempt
	drawn    int
}

func newFeeder(s *sim, e *entry, service int) *feeder {
	f := &feeder{
		sim: s, entry: e, service: service,
		rng: rand.New(rand.NewPCG(s.seed, 1000+uint64(e.index*16+service))),
	}
	e.feeders[service] = f
	return f
}

// feed sends as many items as there is room for and schedules its next call. If
// the policy sends groups, it sends one whole group at once instead.
func (f *feeder) feed() {
	room, every := f.sim.policy.groupItems, groupInterval
	if room == 0 {
		room, every = f.entry.batch.BatchRoom(f.sim.now, f.sim.dep.Services[f.service].Name), feedInterval
	}
	for range room {
		a := f.next()
		if !f.entry.dispatch(a) {
			f.requeue(a)
			break
		}
	}
	f.sim.after(every, f.feed)
}

func (f *feeder) next() *attempt {
	if n := len(f.requeued); n > 0 {
		a := f.requeued[0]
		f.requeued = f.requeued[1:]
		return a
	}
	svc := f.sim.dep.Services[f.service]
	r := svc.Batch.draw(f.rng, svc.Name, f.service, admission.Batch)
	r.setID("b" + strconv.Itoa(f.entry.index) + "-" + strconv.Itoa(f.drawn))
	f.drawn++
	return &attempt{req: r, entry: f.entry}
}

func (f *feeder) requeue(a *attempt) { f.requeued = append(f.requeued, a) }
