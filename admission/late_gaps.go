package admission

import "time"

const (
	// maxHarm is how much longer batch may make the online tail, as a share of
	// the tail without batch.
	maxHarm = 0.02
	// harmCredit bounds the late gaps that may be saved up or owed.
	harmCredit = 5000
	// weightMargin is the part of the late gaps that is kept back when online
	// weighs all.
	weightMargin = 0.2
)

// harm keeps the account of late online gaps: those longer than the bound. A
// share of 1-tailQuantile of all gaps may be late; batch is prefilled beside
// online attempts only while the account is in credit.
type harm struct {
	alone  gapHistogram // gaps as they would be without batch
	credit float64
}

// bound is the longest gap that is not late.
func (h *harm) bound(target time.Duration) time.Duration {
	b := time.Duration(float64(h.alone.tail) * (1 + maxHarm))
	if target > 0 {
		b = min(b, target)
	}
	return b
}

// observe records an online gap, and what it would be without batch.
func (h *harm) observe(gap, alone, target time.Duration, onlineShare float64) {
	h.alone.add(alone)
	h.credit += (1 - tailQuantile) * (1 - weightMargin*onlineShare)
	if gap > h.bound(target) {
		h.credit--
	}
	h.credit = min(max(h.credit, -harmCredit), harmCredit)
}

// onlinePrefilled says whether the step that gave a row its token prefilled an
// online attempt. One that arrived during the step waits for the next.
func (c *Core) onlinePrefilled(r *row) bool {
	if !c.pausing {
		return c.prefilledSince(r, Online) || !c.prefilledSince(r, Batch)
	}
	return r.beside[Online] > 0 || c.startedAt[Online] == r.tokenAt
}

// observeGap feeds the account with a gap of an online attempt.
func (c *Core) observeGap(r *row, gap time.Duration) {
	n := c.running[Batch]
	if c.pausing && c.stoppedAt > r.tokenAt {
		n = r.batchAt
	}
	batch := time.Duration(n) * c.steps.perStream()
	alone := max(gap-batch-c.prefill.cost(c.done-r.doneAt), 0)
	if !c.onlinePrefilled(r) {
		alone = min(alone, c.steps.predict(c.running[Online]))
	}
	c.harm.observe(gap, alone, c.policy.TBTTarget, 1-c.batchShare())
}
