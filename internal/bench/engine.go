package bench

import "time"

// EngineModel is the cost model of one engine. A step decodes one token of every
// running stream and prefills at most ChunkTokens prompt tokens, in order of
// arrival. The duration of a step is linear in both.
type EngineModel struct {
	StepBase     time.Duration // of every step
	PerStream    time.Duration // added by each decoding stream
	PerPrefill   time.Duration // added by each prefilled token
	ChunkTokens  int
	MaxStreams   int
	MemoryTokens int // size of the KV cache
	BlockTokens  int // cached prefixes are reused in whole blocks
}

// stream is one attempt running on an engine.
type stream struct {
	attempt     *attempt
	prefill     int  // prompt tokens still to be prefilled
	context     int  // tokens held in memory
	emitted     bool // the first token has been emitted
	lastToken   time.Duration
	cancelled   bool // cancelled or finished; removed before the next step
	sliceTokens int  // leading prompt tokens that are sent, zero if all are
}

// engine models an engine with continuous batching and without priorities.
type engine struct {
	model   EngineModel
	cache   *prefixCache
	streams []*stream
	busy    bool
}

// stepPlan is the work of one step.
type stepPlan struct {
	duration   time.Duration
	decode     []*stream
	firstToken []*stream // streams whose prefill ends with this step
	prefill    int
	// prefillByClass splits prefill by class.
	prefillByClass [2]int
}

func newEngine(m EngineModel) *engine {
	return &engine{model: m, cache: newPrefixCache(m.MemoryTokens)}
}

// admit adds an attempt to the running batch. Whole blocks of tokens found in
// the prefix cache need no prefill. If slice is positive, only that many leading
// prompt tokens are sent.
func (e *engine) admit(a *attempt, slice int) *stream {
	prompt := a.req.prefixTokens + a.req.promptTokens + a.keptTokens
	if slice > 0 {
		prompt = min(prompt, slice)
	}
	hit := max(e.cache.lookup(a.req.prefix), e.cache.lookup(a.req.contextKey))
	hit = min(hit, prompt-1) / e.model.BlockTokens * e.model.BlockTokens
	s := &stream{attempt: a, prefill: max(prompt-hit, 1), context: prompt, sliceTokens: slice}
	e.streams = append(e.streams, s)
	e.cache.removeKey(a.req.contextKey)
	e.cache.touch(a.req.prefix, a.req.prefixTokens)
	e.cache.reserve(prompt)
	return s
}

// cancel ends a stream at the end of the running step. Its context stays in the
// cache until it is evicted.
func (e *engine) cancel(s *stream) {
	s.cancelled = true
	e.cache.touch(s.attempt.req.contextKey, s.context-s.prefill)
}

// planStep plans the next step; ok is false if there is no work.
func (e *engine) planStep() (stepPlan, bool) {
	var p stepPlan
	left := e.model.ChunkTokens
	for _, s := range e.streams[:min(len(e.streams), e.model.MaxStreams)] {
		if s.prefill == 0 {
			p.decode = append(p.decode, s)
			continue
		}
		n := min(left, s.prefill)
		s.prefill -= n
		p.prefillByClass[s.attempt.req.class] += n
		left -= n
		if n > 0 && s.prefill == 0 {
			p.firstToken = append(p.firstToken, s)
		}
	}
	p.prefill = e.model.ChunkTokens - left
	if len(p.decode) == 0 && p.prefill == 0 {
		return p, false
	}
	p.duration = e.model.stepDuration(len(p.decode), p.prefill)
	return p, true
}

// stepDuration returns the duration of a step.
func (m EngineModel) stepDuration(streams, prefill int) time.Duration {
	return m.StepBase + time.Duration(streams)*m.PerStream + time.Duration(prefill)*m.PerPrefill
}

// finish marks a complete stream for removal from the batch and keeps its prefix
// in the cache.
func (e *engine) finish(s *stream) {
	s.cancelled = true
	e.cache.touch(s.attempt.req.prefix, s.attempt.req.prefixTokens)
}

// removeDone removes cancelled and finished streams from the batch.
func (e *engine) removeDone() {
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
