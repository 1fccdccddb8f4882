package admission

import (
	"time"
)

const (
	// maxPause is the time for which an attempt may stay paused before it is
	// preempted.
	maxPause = 500 * time.Millisecond
	// blockTokens is the assumed block size of the engine's prefix cache, which
	// matches only whole blocks.
	blockTokens = 16
	// idlePrefillTokens bounds the prompt tokens that are prefilled in one step
	// on a backend server without online attempts.
	idlePrefillTokens = 128
	// maxStepShare bounds the duration of a step with batch, as a share of the
	// online tail latency without batch.
	maxStepShare = 1.03
	// fullStepShare bounds it as a share of the duration of a step that decodes
	// in every slot.
	fullStepShare = 0.97
)

// onlinePending reports whether an online attempt has not produced a token yet.
func (c *Core) onlinePending() bool { return c.queues[Online].len() > 0 || c.prefills[Online] > 0 }

// stepBound returns the longest step that batch may cause alongside online
// attempts.
func (c *Core) stepBound() time.Duration {
	full := time.Duration(float64(c.steps.predict(c.policy.Slots)) * fullStepShare)
	b := min(time.Duration(float64(c.lateGaps.baseline.tail)*maxStepShare), full)
	if t := c.policy.TBTTarget; t > 0 && (b == 0 || b > t) {
		b = t
	}
	return b
}

// pausingBatchLimit returns the number of batch attempts that fit alongside the
// online attempts when none of these waits for its first token.
func (c *Core) pausingBatchLimit() int {
	online := c.onlineDemand()
	free := max(c.policy.Slots-online, 0)
	if online == 0 {
		return min(free, maxIdleBatch, c.contextLimit())
	}
	return max(min(c.steps.streamsWithin(c.stepBound())-online, free, c.contextLimit()), 0)
}

// prefillBudget returns the number of prompt tokens whose prefill may start now.
func (c *Core) prefillBudget() int {
	if c.running[Online] == 0 {
		return idlePrefillTokens - c.pendingPrefill
	}
	slack := c.stepBound() - c.steps.predict(c.runningTotal())
	return c.prefillTime.tokensWithin(slack) - c.pendingPrefill
}

// pauseBatch pauses all idempotent batch attempts while an online attempt waits
// for its first token, and otherwise those beyond the limit.
func (c *Core) pauseBatch() {
	limit := c.pausingBatchLimit()
	if c.onlinePending() {
		limit = 0
	}
	for c.running[Batch] > limit {
		r := c.victim()
		if r == nil {
			return
		}
		c.pauseRow(r)
		c.emit(Action{Kind: Pause, ID: r.attempt.ID})
	}
}

func (c *Core) pauseRow(r *row) {
	c.fire(r, pause)
	r.pausedAt = c.now
	c.paused = append(c.paused, r)
}

// expirePaused preempts attempts that have been paused for longer than maxPause.
func (c *Core) expirePaused() {
	for len(c.paused) > 0 && c.now-c.paused[0].pausedAt > maxPause {
		r := c.paused[0]
		c.fire(r, stop)
		c.emit(Action{Kind: Preempt, ID: r.attempt.ID})
	}
}

// resumeBatch starts paused and queued batch attempts within the prefill
// budget.
func (c *Core) resumeBatch() {
	if c.onlinePending() {
		return
	}
	limit := c.pausingBatchLimit()
	for c.running[Batch] < limit && c.runningTotal() < c.policy.Slots {
		r := c.nextToResume(limit)
		if r == nil || !c.startSlice(r) {
			return
		}
	}
}

// nextToResume returns the first paused attempt, or the first queued one if none
// is paused.
func (c *Core) nextToResume(limit int) *row {
	if len(c.paused) > 0 {
		return c.paused[0]
	}
	if c.running[Batch]+len(c.paused) >= limit {
		return nil
	}
	return c.queues[Batch].front()
}

// startSlice starts a row, or a slice of its prompt if the whole prompt exceeds
// the budget. It reports whether the budget allowed a start.
func (c *Core) startSlice(r *row) bool {
	budget := c.prefillBudget()
	need := r.uncachedTokens()
	slice := 0
	if need > budget && r.attempt.NonIdempotent {
		return c.startWhole(r, need)
	}
	if need > budget {
		need = wholeBlocks(budget)
		if need < blockTokens {
			return false
		}
		slice = wholeBlocks(r.cachedTokens()) + need
	}
	c.startRow(r, slice, need)
	return true
}

// startWhole starts a row whose prompt must not be sent in slices. It does so
// only if no online attempt runs and no other prefill is pending.
func (c *Core) startWhole(r *row, need int) bool {
	if c.running[Online] > 0 || c.pendingPrefill > 0 {
		return false
	}
	c.startRow(r, 0, need)
	return true
}

// startRow starts a row with a slice of its prompt, or with the whole prompt if
// slice is zero.
func (c *Core) startRow(r *row, slice, cost int) {
	r.slice, r.prefillCost = slice, cost
	c.fire(r, start)
	c.emit(Action{Kind: Start, ID: r.attempt.ID, PrefillTokens: slice})
}

// slicePrefilled records that the engine has cached a slice, and pauses the row
// as the next one to be resumed.
func (c *Core) slicePrefilled(id string) {
	r, ok := c.rows[id]
	if !ok || r.state != running || r.slice == 0 {
		return
	}
	r.slicedTokens = r.slice
	c.fire(r, pause)
	r.pausedAt = c.now
	c.paused = append([]*row{r}, c.paused...)
}

// cachedTokens estimates how many leading tokens of a row the engine's cache
// holds.
func (r *row) cachedTokens() int { return max(r.attempt.CachedTokens, r.slicedTokens) }

// wholeBlocks rounds a number of tokens down to a multiple of blockTokens.
func wholeBlocks(tokens int) int { return tokens / blockTokens * blockTokens }

// uncachedTokens estimates how many tokens of a row the engine would prefill. A
// row that has produced tokens is assumed to be cached completely. The engine
// always prefills at least one token.
func (r *row) uncachedTokens() int {
	total := r.attempt.PromptTokens + r.produced
	cached := r.cachedTokens()
	if r.produced > 0 {
		cached = total
	}
	return total - wholeBlocks(min(cached, total-1))
}
