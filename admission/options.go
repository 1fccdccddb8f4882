package admission

// Option says what the shell of a core can carry out besides the basic
// actions.
type Option func(*Core)

// WithKVCapacity tells the core how many tokens of context the engine holds.
func WithKVCapacity(tokens int) Option { return func(c *Core) { c.memory = tokens } }

// WithPause lets the core pause batch attempts with Pause and prefill their
// prompts in slices with Action.PrefillTokens.
func WithPause() Option { return func(c *Core) { c.pausing = true } }
