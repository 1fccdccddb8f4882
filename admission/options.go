package admission

// Option configures which optional actions the caller of a core supports and
// what it reports about the engine.
type Option func(*Core)

// WithKVCapacity sets the number of context tokens that the engine's KV cache
// holds.
func WithKVCapacity(tokens int) Option { return func(c *Core) { c.kvCapacity = tokens } }

// WithPause allows the core to pause batch attempts with Pause and to prefill
// their prompts in slices with Action.PrefillTokens.
func WithPause() Option { return func(c *Core) { c.pausing = true } }
