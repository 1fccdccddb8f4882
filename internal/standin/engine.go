package standin

import (
	"context"
	"sync"
	"time"
)

// Engine simulates a model engine with continuous batching. Every step generates
// one token for each running stream. A step takes longer with more running
// streams and with more prompt tokens to prefill. The engine has no priorities
// and admits requests in the order of their arrival.
type Engine struct {
	settings EngineSettings
	wake     chan struct{}

	mu      sync.Mutex
	streams map[*stream]struct{}
	prefill int // prompt tokens to prefill in the next step
	stats   EngineStats
	history []Generation
	current EngineState
}

// Generation describes one generation that an engine has started.
type Generation struct {
	Attempt string `json:"attempt"`
	// Prompt is the last user message.
	Prompt string `json:"prompt"`
	// DeliveredTokens is the number of tokens that an earlier attempt delivered.
	DeliveredTokens int       `json:"given"`
	At              time.Time `json:"at"`
}

// EngineStats holds the counters of an engine. Stopped counts the streams whose
// client disconnected, Attempts the started generations by attempt id.
type EngineStats struct {
	Running  int            `json:"running"`
	Started  int            `json:"started"`
	Finished int            `json:"finished"`
	Stopped  int            `json:"stopped"`
	Tokens   int            `json:"tokens"`
	Attempts map[string]int `json:"attempts"`
}

// stream is one running generation. Its tokens channel receives one value a step.
type stream struct {
	tokens    chan struct{}
	remaining int
}

// NewEngine returns an idle engine.
func NewEngine(s EngineSettings) *Engine {
	s.setDefaults()
	return &Engine{
		settings: s,
		wake:     make(chan struct{}, 1),
		streams:  make(map[*stream]struct{}),
		stats:    EngineStats{Attempts: make(map[string]int)},
		current:  initialState(s),
	}
}

// Run runs the engine's steps until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	for {
		d := e.stepTime()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-time.After(d):
			e.step()
		case <-ctx.Done():
			return
		}
	}
}

// stepTime returns the duration of the next step, or zero if no stream runs. The
// step prefills all waiting prompt tokens, so stepTime resets their number.
func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.streams) == 0 {
		return 0
	}
	d := time.Duration(e.settings.StepBase)
	d += time.Duration(len(e.streams)) * time.Duration(e.settings.StepPerStream)
	d += time.Duration(e.prefill) * time.Duration(e.settings.PrefillPerToken)
	e.prefill = 0
	return d
}

// step generates one token for every running stream.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.streams {
		s.tokens <- struct{}{} // never blocks: the channel's buffer holds all tokens
		e.stats.Tokens++
		s.remaining--
		if s.remaining == 0 {
			close(s.tokens)
			delete(e.streams, s)
			e.stats.Finished++
		}
	}
}

// start adds a stream that generates n tokens.
func (e *Engine) start(attempt string, prompt, n int) *stream {
	s := &stream{tokens: make(chan struct{}, n), remaining: n}
	e.mu.Lock()
	e.stats.Started++
	e.stats.Attempts[attempt]++
	if n > 0 {
		e.streams[s] = struct{}{}
		e.prefill += prompt
	} else {
		close(s.tokens)
	}
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// record adds a generation with its start time to the history.
func (e *Engine) record(g Generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.At = time.Now()
	e.history = append(e.history, g)
}

// Generations returns a copy of every generation started so far, oldest first.
func (e *Engine) Generations() []Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Generation(nil), e.history...)
}

// stop removes a stream whose client has disconnected.
func (e *Engine) stop(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams[s]; ok {
		delete(e.streams, s)
		e.stats.Stopped++
	}
}

// Stats returns a copy of the engine's counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.Running = len(e.streams)
	out.Attempts = make(map[string]int, len(e.stats.Attempts))
	for k, v := range e.stats.Attempts {
		out.Attempts[k] = v
	}
	return out
}
