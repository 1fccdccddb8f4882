package bench

import (
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/routing"
)

const (
	timerInterval = 20 * time.Millisecond
	// prefixCacheTTL is how long a sidecar assumes that a prefix it sent to the
	// engine stays cached.
	prefixCacheTTL = 3 * time.Second
)

// worker is one backend server with its sidecar.
type worker struct {
	sim           *sim
	name          string
	index         int // within the service
	service       int
	zone          int
	core          admitter
	engine        *engine
	attempts      map[string]*attempt
	running       map[string]*stream
	plan          stepPlan
	pendingInputs []admission.Input
	ticking       bool
	// idleSince is when the last step ended or the idle time was last recorded.
	idleSince time.Duration
	// prefixSentAt holds the time at which each prefix was last sent to the engine.
	prefixSentAt map[uint64]time.Duration
}

func newWorker(s *sim, service, k int) *worker {
	svc := s.dep.Services[service]
	return &worker{
		sim: s, name: instanceName(svc.Name, k), index: k, service: service,
		zone:         k % len(s.dep.Zones),
		core:         s.policy.admitter(svc),
		engine:       newEngine(svc.Model),
		attempts:     make(map[string]*attempt),
		running:      make(map[string]*stream),
		prefixSentAt: make(map[uint64]time.Duration),
	}
}

// arrive passes an attempt to the sidecar's admission core.
func (w *worker) arrive(a *attempt) {
	w.attempts[a.id] = a
	r := a.req
	w.tick(admission.Arrive{Attempt: admission.Attempt{
		ID: a.id, Class: r.class, Deadline: r.deadline,
		PromptTokens:  r.prefixTokens + r.promptTokens + a.keptTokens,
		MaxTokens:     r.outputTokens - a.keptTokens,
		CachedTokens:  w.cachedTokens(a),
		NonIdempotent: r.nonIdempotent,
	}})
}

// cachedTokens estimates how many tokens of a prompt the engine has cached, from
// what the sidecar has sent to it.
func (w *worker) cachedTokens(a *attempt) int {
	n := a.cachedTokensOn(w)
	if at, ok := w.prefixSentAt[a.req.prefix]; ok && w.sim.now-at < prefixCacheTTL {
		n = max(n, a.req.prefixTokens)
	}
	return n
}

// tick passes inputs to the core until its actions produce no further inputs. A
// call during another tick only queues its inputs for that tick.
func (w *worker) tick(in ...admission.Input) {
	w.pendingInputs = append(w.pendingInputs, in...)
	if w.ticking {
		return
	}
	w.ticking = true
	for first := true; first || len(w.pendingInputs) > 0; first = false {
		now := w.pendingInputs
		w.pendingInputs = nil
		for _, act := range w.core.Tick(w.sim.now, now...) {
			w.apply(act)
		}
	}
	w.ticking = false
	w.startStep()
}

func (w *worker) apply(act admission.Action) {
	a := w.attempts[act.ID]
	switch act.Kind {
	case admission.Start:
		w.start(a, act.PrefillTokens)
	case admission.Pause:
		w.pause(a)
	case admission.Refuse:
		delete(w.attempts, act.ID)
		w.respond(a, messageBytes, func() { a.entry.refused(a, act) })
	case admission.Preempt, admission.Stop:
		w.preempt(a)
	}
}

// start sends an attempt, or the leading tokens of its prompt, to the engine.
func (w *worker) start(a *attempt, prefillTokens int) {
	s := w.engine.admit(a, prefillTokens)
	w.running[a.id] = s
	w.prefixSentAt[a.req.prefix] = w.sim.now
}

// pause cancels a stream but keeps its attempt and tokens.
func (w *worker) pause(a *attempt) {
	w.engine.cancel(w.running[a.id])
	delete(w.running, a.id)
	w.sim.stats.account.Paused++
}

// preempt cancels a stream and returns the attempt to its entry with the tokens
// it produced. If its prompt was prefilled, the attempt prefers this worker from
// then on, because its tokens may still be cached here.
func (w *worker) preempt(a *attempt) {
	a.cachedOn = nil
	if s, ok := w.running[a.id]; ok {
		w.engine.cancel(s)
		if s.prefill == 0 {
			a.cachedOn = w
		}
	} else if a.keptTokens > 0 {
		a.cachedOn = w
	}
	w.sim.stats.preempted++
	w.sim.stats.account.Preempted++
	w.finishAttempt(a)
	w.respond(a, messageBytes, func() { a.entry.preempted(a) })
}

// finishAttempt removes an attempt and reports its end to the core.
func (w *worker) finishAttempt(a *attempt) {
	delete(w.attempts, a.id)
	delete(w.running, a.id)
	w.tick(admission.Finish{ID: a.id})
}

// startStep starts the next step if the engine is idle and has work.
func (w *worker) startStep() {
	if w.engine.busy {
		return
	}
	w.recordIdle()
	w.engine.removeDone()
	p, ok := w.engine.planStep()
	if !ok {
		return
	}
	w.engine.busy, w.plan = true, p
	w.sim.stats.recordStep(w, p)
	w.sim.after(p.duration, w.stepDone)
}

// recordIdle records the time since the last step ended.
func (w *worker) recordIdle() {
	if w.sim.dep.Services[w.service].Batch != nil {
		w.sim.stats.account.add(engineIdle, w, w.sim.now-w.idleSince, 0, 0)
	}
	w.idleSince = w.sim.now
}

// stepDone emits the tokens of the finished step.
func (w *worker) stepDone() {
	w.engine.busy, w.idleSince = false, w.sim.now
	w.ticking = true // defers the tick, so that the whole step needs only one
	for _, s := range w.plan.firstToken {
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
	a := s.attempt
	if s.sliceTokens > 0 {
		w.engine.cancel(s)
		delete(w.running, a.id)
		w.pendingInputs = append(w.pendingInputs, admission.SlicePrefilled{ID: a.id})
		return
	}
	a.keptTokens++
	s.context++
	w.engine.cache.reserve(1)
	w.sim.stats.recordToken(w.sim, s)
	if a.keptTokens < a.req.outputTokens {
		w.pendingInputs = append(w.pendingInputs, admission.Token{ID: a.id})
		return
	}
	w.engine.finish(s)
	w.finishAttempt(a)
	w.respond(a, messageBytes, func() { a.entry.finished(a) })
	w.sim.stats.recordFinish(w.sim, a)
}

// respond sends a response with the current load to the attempt's entry. It reads
// the load only after the current event, when the core has processed all inputs.
func (w *worker) respond(a *attempt, bytes int, deliver func()) {
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

// report sends the load to every entry and schedules the next report.
func (w *worker) report() {
	load := w.load()
	for _, e := range w.sim.entries {
		w.sim.send(w.zone, e.zone, reportBytes, controlBytes, func() { e.observe(w, load) })
	}
	w.sim.after(reportInterval, w.report)
}

// timer ticks the core and schedules the next timer tick.
func (w *worker) timer() {
	w.tick()
	w.sim.after(timerInterval, w.timer)
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

// retryable reports whether a refused attempt may be retried at another backend
// server.
func retryable(k errkind.Kind) bool {
	return k == errkind.Overloaded || k == errkind.Draining || k == errkind.DeadlineTooShort
}
