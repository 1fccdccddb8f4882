package bench

import "time"

// EngineModel describes the cost model of one engine. A step decodes one token
// of every running stream and prefills at most ChunkTokens prompt tokens in
// order of arrival; its duration is linear in both.
type EngineModel struct {
	StepBase     time.Duration
	PerStream    time.Duration
	PerPrefill   time.Duration
	ChunkTokens  int
	MaxStreams   int
	MemoryTokens int
	BlockTokens  int
}

// stream is one attempt that runs at an engine.
type stream struct {
	att       *attempt
	prefill   int // prompt tokens that are still to be computed
	context   int // tokens held in memory
	emitted   bool
	lastToken time.Duration
	cancelled bool
	slice     int // leading prompt tokens that are sent, zero if all are
}

// engine batches continuously and knows no priorities.
type engine struct {
	model   EngineModel
	cache   *prefixCache
	streams []*stream
	busy    bool
}

// stepPlan is the work of one step.
type stepPlan struct {
	dur     time.Duration
	decode  []*stream
	first   []*stream // streams whose prefill ends with this step
	prefill int
	// prefillOf splits prefill by class.
	prefillOf [2]int
}

func newEngine(m EngineModel) *engine {
	return &engine{model: m, cache: newPrefixCache(m.MemoryTokens)}
}

// admit puts an attempt into the running batch. Tokens found in the prefix
// cache, in whole blocks, need no prefill.
// A positive slice sends only so many leading tokens.
func (e *engine) admit(a *attempt, slice int) *stream {
	prompt := a.req.prefixTokens + a.req.promptTokens + a.kept
	if slice > 0 {
		prompt = min(prompt, slice)
	}
	hit := max(e.cache.lookup(a.req.prefix), e.cache.lookup(a.req.key))
	hit = min(hit, prompt-1) / e.model.BlockTokens * e.model.BlockTokens
	s := &stream{att: a, prefill: max(prompt-hit, 1), context: prompt, slice: slice}
	e.streams = append(e.streams, s)
	e.cache.take(a.req.key)
	e.cache.use(a.req.prefix, a.req.prefixTokens)
	e.cache.reserve(prompt)
	return s
}

// cancel ends a stream at the end of the running step; its context stays in
// the cache until it is evicted.
func (e *engine) cancel(s *stream) {
	s.cancelled = true
	e.cache.use(s.att.req.key, s.context-s.prefill)
}

// plan lays out the next step; ok is false if there is nothing to do.
func (e *engine) plan() (stepPlan, bool) {
	var p stepPlan
	left := e.model.ChunkTokens
	for _, s := range e.streams[:min(len(e.streams), e.model.MaxStreams)] {
		if s.prefill == 0 {
			p.decode = append(p.decode, s)
			continue
		}
		n := min(left, s.prefill)
		s.prefill -= n
		p.prefillOf[s.att.req.class] += n
		left -= n
		if n > 0 && s.prefill == 0 {
			p.first = append(p.first, s)
		}
	}
	p.prefill = e.model.ChunkTokens - left
	if len(p.decode) == 0 && p.prefill == 0 {
		return p, false
	}
	p.dur = e.model.step(len(p.decode), p.prefill)
	return p, true
}

// step is the duration of a step.
func (m EngineModel) step(streams, prefill int) time.Duration {
	return m.StepBase + time.Duration(streams)*m.PerStream + time.Duration(prefill)*m.PerPrefill
}

// finish takes a complete stream out of the batch.
func (e *engine) finish(s *stream) {
	s.cancelled = true
	e.cache.use(s.att.req.prefix, s.att.req.prefixTokens)
}

// sweep takes cancelled and finished streams out of the batch.
func (e *engine) sweep() {
	kept := e.streams[:0]
	for _, s := range e.streams {
		if s.cancelled {
			e.cache.reserve(-s.context)
			continue
		}
		kept = append(kept, s)
	}
	clear(e.streams[len(kept):])
	e.streams = kept
}
