package bench

import (
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/routing"
)

const (
	timerEvery = 20 * time.Millisecond
	// prefixMemory is how long a sidecar takes a prefix that it sent for
	// cached.
	prefixMemory = 3 * time.Second
)

// worker is one backend server with its sidecar.
type worker struct {
	sim     *sim
	name    string
	index   int // within the service
	service int
	zone    int
	core    admitter
	engine  *engine
	known   map[string]*attempt
	running map[string]*stream
	plan    stepPlan
	inputs  []admission.Input
	ticking bool
	// idleSince is when the last step ended or idle time was last accounted.
	idleSince time.Duration
	// prefixes holds when each prefix was last sent to the engine.
	prefixes map[uint64]time.Duration
}

func newWorker(s *sim, service, k int) *worker {
	svc := s.dep.Services[service]
	return &worker{
		sim: s, name: instanceName(svc.Name, k), index: k, service: service,
		zone:     k % len(s.dep.Zones),
		core:     s.policy.admitter(svc),
		engine:   newEngine(svc.Model),
		known:    make(map[string]*attempt),
		running:  make(map[string]*stream),
		prefixes: make(map[uint64]time.Duration),
	}
}

// arrive hands an attempt to the sidecar.
func (w *worker) arrive(a *attempt) {
	w.known[a.id] = a
	r := a.req
	w.tick(admission.Arrive{Attempt: admission.Attempt{
		ID: a.id, Class: r.class, Deadline: r.deadline,
		PromptTokens:  r.prefixTokens + r.promptTokens + a.kept,
		MaxTokens:     r.outputTokens - a.kept,
		CachedTokens:  w.cachedTokens(a),
		NonIdempotent: r.nonIdempotent,
	}})
}

// cachedTokens estimates how many tokens of a prompt the engine holds, from
// what the sidecar has sent to it.
func (w *worker) cachedTokens(a *attempt) int {
	n := a.cachedAt(w)
	if at, ok := w.prefixes[a.req.prefix]; ok && w.sim.now-at < prefixMemory {
		n = max(n, a.req.prefixTokens)
	}
	return n
}

// tick feeds the core until it asks for nothing more.
func (w *worker) tick(in ...admission.Input) {
	w.inputs = append(w.inputs, in...)
	if w.ticking {
		return
	}
	w.ticking = true
	for first := true; first || len(w.inputs) > 0; first = false {
		now := w.inputs
		w.inputs = nil
		for _, act := range w.core.Tick(w.sim.now, now...) {
			w.apply(act)
		}
	}
	w.ticking = false
	w.step()
}

func (w *worker) apply(act admission.Action) {
	a := w.known[act.ID]
	switch act.Kind {
	case admission.Start:
		w.start(a, act.PrefillTokens)
	case admission.Pause:
		w.pause(a)
	case admission.Refuse:
		delete(w.known, act.ID)
		w.reply(a, messageBytes, func() { a.entry.refused(a, act) })
	case admission.Preempt, admission.Stop:
		w.preempt(a)
	}
}

// start sends an attempt, or the leading tokens of its prompt, to the engine.
func (w *worker) start(a *attempt, prefillTokens int) {
	s := w.engine.admit(a, prefillTokens)
	w.running[a.id] = s
	w.prefixes[a.req.prefix] = w.sim.now
}

// pause cancels a stream and keeps its attempt and tokens.
func (w *worker) pause(a *attempt) {
	w.engine.cancel(w.running[a.id])
	delete(w.running, a.id)
	w.sim.stats.account.Paused++
}

// preempt cancels a stream and answers with the tokens it produced.
func (w *worker) preempt(a *attempt) {
	a.held = nil
	if s, ok := w.running[a.id]; ok {
		w.engine.cancel(s)
		if s.prefill == 0 {
			a.held = w
		}
	} else if a.kept > 0 {
		a.held = w
	}
	w.sim.stats.preempted++
	w.sim.stats.account.Preempted++
	w.forget(a)
	w.reply(a, messageBytes, func() { a.entry.preempted(a) })
}

// forget ends an attempt at the core.
func (w *worker) forget(a *attempt) {
	delete(w.known, a.id)
	delete(w.running, a.id)
	w.tick(admission.Finish{ID: a.id})
}

// step starts the next step if the engine is idle and has work.
func (w *worker) step() {
	if w.engine.busy {
		return
	}
	w.noteIdle()
	w.engine.sweep()
	p, ok := w.engine.plan()
	if !ok {
		return
	}
	w.engine.busy, w.plan = true, p
	w.sim.stats.step(w, p)
	w.sim.after(p.dur, w.stepDone)
}

// noteIdle accounts for the time without a step.
func (w *worker) noteIdle() {
	if w.sim.dep.Services[w.service].Batch != nil {
		w.sim.stats.account.add(engineIdle, w, w.sim.now-w.idleSince, 0, 0)
	}
	w.idleSince = w.sim.now
}

// stepDone delivers the tokens of a step.
func (w *worker) stepDone() {
	w.engine.busy, w.idleSince = false, w.sim.now
	w.ticking = true // one call for the whole step
	for _, s := range w.plan.first {
		w.emit(s)
	}
	for _, s := range w.plan.decode {
		w.emit(s)
	}
	w.ticking = false
	w.tick()
}

func (w *worker) emit(s *stream) {
	if s.cancelled {
		w.sim.stats.account.Discarded++
		return
	}
	a := s.att
	if s.slice > 0 {
		w.engine.cancel(s)
		delete(w.running, a.id)
		w.inputs = append(w.inputs, admission.SlicePrefilled{ID: a.id})
		return
	}
	a.kept++
	s.context++
	w.engine.cache.reserve(1)
	w.sim.stats.token(w.sim, s)
	if a.kept < a.req.outputTokens {
		w.inputs = append(w.inputs, admission.Token{ID: a.id, N: 1})
		return
	}
	w.engine.finish(s)
	w.forget(a)
	w.reply(a, messageBytes, func() { a.entry.finished(a) })
	w.sim.stats.finish(w.sim, a)
}

// reply sends an answer, with the present load on it, to the attempt's entry.
func (w *worker) reply(a *attempt, bytes int, deliver func()) {
	p := onlineBytes
	if a.req.class == admission.Batch {
		p = batchBytes
	}
	w.sim.after(0, func() {
		load := w.load()
		w.sim.send(w.zone, a.entry.zone, bytes, p, func() {
			a.entry.observe(w, load)
			deliver()
		})
	})
}

// report sends the load to every entry, and goes on doing so.
func (w *worker) report() {
	load := w.load()
	for _, e := range w.sim.entries {
		w.sim.send(w.zone, e.zone, reportBytes, controlBytes, func() { e.observe(w, load) })
	}
	w.sim.after(reportEvery, w.report)
}

// timer ticks the core when nothing arrives.
func (w *worker) timer() {
	w.tick()
	w.sim.after(timerEvery, w.timer)
}

func (w *worker) load() routing.Load {
	l := w.core.Load()
	return routing.Load{
		RunningOnline: l.RunningOnline, RunningBatch: l.RunningBatch,
		QueuedOnline: l.QueuedOnline, QueuedBatch: l.QueuedBatch,
		Slots:     w.sim.dep.Services[w.service].Policy.Slots,
		BatchRoom: l.BatchRoom, StepTime: l.Step,
	}
}

// retryable says whether another backend server may take a refused attempt.
func retryable(k errkind.Kind) bool {
	return k == errkind.Overloaded || k == errkind.Draining || k == errkind.DeadlineTooShort
}
