package admission

import (
	"time"
)

const (
	// maxPause is how long an attempt stays paused before it is preempted.
	maxPause = 500 * time.Millisecond
	// blockTokens is the assumed block of the engine's prefix cache, which
	// finds whole blocks only.
	blockTokens = 16
	// idleSlice is the largest prefill of a step, in tokens, on a backend
	// server without online attempts.
	idleSlice = 128
	// maxStepShare bounds a step with batch, as a share of the online tail
	// without batch.
	maxStepShare = 1.03
	// fullStepShare bounds it as a share of a step that decodes in every slot.
	fullStepShare = 0.97
)

// onlineWaits says that an online attempt has no token yet.
func (c *Core) onlineWaits() bool { return c.queues[Online].len() > 0 || c.prefills[Online] > 0 }

// stepBound is the longest step that batch may cause beside online attempts.
func (c *Core) stepBound() time.Duration {
	full := time.Duration(float64(c.steps.predict(c.policy.Slots)) * fullStepShare)
	b := min(time.Duration(float64(c.harm.alone.tail)*maxStepShare), full)
	if t := c.policy.TBTTarget; t > 0 && (b == 0 || b > t) {
		b = t
	}
	return b
}

// pausableLimit is how many batch attempts fit beside the online attempts when
// none of these waits for its first token.
func (c *Core) pausableLimit() int {
	online := c.onlineDemand()
	free := max(c.policy.Slots-online, 0)
	if online == 0 {
		return min(free, idleStreams, c.memoryLimit())
	}
	return max(min(c.steps.streams(c.stepBound())-online, free, c.memoryLimit()), 0)
}

// prefillBudget is how many prompt tokens may be started now.
func (c *Core) prefillBudget() int {
	if c.running[Online] == 0 {
		return idleSlice - c.pending
	}
	slack := c.stepBound() - c.steps.predict(c.runningTotal())
	return c.prefill.tokens(slack) - c.pending
}

// pauseBatch pauses batch attempts while an online attempt waits for its first
// token, and those beyond the limit.
func (c *Core) pauseBatch() {
	limit := c.pausableLimit()
	if c.onlineWaits() {
		limit = 0
	}
	for c.running[Batch] > limit {
		r := c.victim()
		if r == nil {
			return
		}
		c.pauseRow(r)
		c.act(Action{Kind: Pause, ID: r.attempt.ID})
	}
}

func (c *Core) pauseRow(r *row) {
	c.fire(r, pause)
	r.pausedAt = c.now
	c.paused = append(c.paused, r)
}

// expirePaused preempts attempts that have been paused for long.
func (c *Core) expirePaused() {
	for len(c.paused) > 0 && c.now-c.paused[0].pausedAt > maxPause {
		r := c.paused[0]
		c.fire(r, stop)
		c.act(Action{Kind: Preempt, ID: r.attempt.ID})
	}
}

// resumeBatch starts paused and queued batch attempts within the budget of
// prompt tokens.
func (c *Core) resumeBatch() {
	if c.onlineWaits() {
		return
	}
	limit := c.pausableLimit()
	for c.running[Batch] < limit && c.runningTotal() < c.policy.Slots {
		r := c.nextResume(limit)
		if r == nil || !c.startSlice(r) {
			return
		}
	}
}

// nextResume returns the paused attempt of earliest pause, else the first in
// the queue.
func (c *Core) nextResume(limit int) *row {
	if len(c.paused) > 0 {
		return c.paused[0]
	}
	if c.running[Batch]+len(c.paused) >= limit {
		return nil
	}
	return c.queues[Batch].front()
}

// startSlice starts a row, or a slice of its prompt if the whole exceeds the
// budget; it reports whether the budget allowed any.
func (c *Core) startSlice(r *row) bool {
	budget := c.prefillBudget()
	need := r.uncached()
	slice := 0
	if need > budget && r.attempt.NonIdempotent {
		return c.startWhole(r, need)
	}
	if need > budget {
		need = wholeBlocks(budget)
		if need < blockTokens {
			return false
		}
		slice = wholeBlocks(r.inCache()) + need
	}
	c.begin(r, slice, need)
	return true
}

// startWhole starts a row whose prompt may not be sent in slices, if no other
// work stands beside it.
func (c *Core) startWhole(r *row, need int) bool {
	if c.running[Online] > 0 || c.pending > 0 {
		return false
	}
	c.begin(r, 0, need)
	return true
}

// begin starts a row with a slice of its prompt, or all of it if slice is zero.
func (c *Core) begin(r *row, slice, cost int) {
	r.slice, r.cost = slice, cost
	c.fire(r, start)
	c.act(Action{Kind: Start, ID: r.attempt.ID, PrefillTokens: slice})
}

// sliced notes that a slice is in the engine's cache.
func (c *Core) sliced(id string) {
	r, ok := c.rows[id]
	if !ok || r.state != running || r.slice == 0 {
		return
	}
	r.built = r.slice
	c.fire(r, pause)
	r.pausedAt = c.now
	c.paused = append([]*row{r}, c.paused...)
}

// inCache is how many leading tokens of a row the engine is thought to hold.
func (r *row) inCache() int { return max(r.attempt.CachedTokens, r.built) }

// wholeBlocks rounds tokens down to whole blocks.
func wholeBlocks(tokens int) int { return tokens / blockTokens * blockTokens }

// uncached is how many tokens of a row would be prefilled.
func (r *row) uncached() int {
	total := r.attempt.PromptTokens + r.produced
	cached := r.inCache()
	if r.produced > 0 {
		cached = total
	}
	return total - wholeBlocks(min(cached, total-1))
}
