package admission

import "time"

const (
	// maxTailIncrease bounds the increase of the online tail latency that batch
	// may cause, as a share of the tail latency without batch.
	maxTailIncrease = 0.02
	// maxCredit bounds the credit, and the debt, of late gaps.
	maxCredit = 5000
	// onlineReserve is the share of the late-gap allowance that is withheld when
	// all of the weight is on online.
	onlineReserve = 0.2
)

// lateGapBudget tracks late online gaps, which are gaps between tokens that
// exceed the bound. A share of 1-tailQuantile of all gaps may be late. Batch
// prompts are prefilled alongside online attempts only while the credit is
// positive.
type lateGapBudget struct {
	baseline gapHistogram // estimated gaps without batch
	credit   float64
}

// bound returns the longest gap that does not count as late.
func (h *lateGapBudget) bound(target time.Duration) time.Duration {
	b := time.Duration(float64(h.baseline.tail) * (1 + maxTailIncrease))
	if target > 0 {
		b = min(b, target)
	}
	return b
}

// observe records an online gap and its estimated length without batch.
func (h *lateGapBudget) observe(gap, baseline, target time.Duration, onlineShare float64) {
	h.baseline.add(baseline)
	h.credit += (1 - tailQuantile) * (1 - onlineReserve*onlineShare)
	if gap > h.bound(target) {
		h.credit--
	}
	h.credit = min(max(h.credit, -maxCredit), maxCredit)
}

// onlinePrefilled reports whether the step that produced a row's token also
// prefilled an online attempt. An attempt that arrives during a step is
// prefilled in the next one. In a core without WithPause the result is also true
// if no batch attempt was prefilled, so that observeGap caps its estimate only
// for gaps in which nothing but batch was prefilled.
func (c *Core) onlinePrefilled(r *row) bool {
	if !c.pausing {
		return c.prefilledSince(r, Online) || !c.prefilledSince(r, Batch)
	}
	return r.prefillsAtToken[Online] > 0 || c.startedAt[Online] == r.lastTokenAt
}

// observeGap records a gap of an online attempt in the late-gap budget. It
// estimates the gap without batch by subtracting the time that batch streams and
// batch prefills added. If no online attempt was prefilled, the estimate is at
// most the predicted step of the online attempts.
func (c *Core) observeGap(r *row, gap time.Duration) {
	n := c.running[Batch]
	if c.pausing && c.stoppedAt > r.lastTokenAt {
		n = r.batchAtToken
	}
	batch := time.Duration(n) * c.steps.perStream()
	baseline := max(gap-batch-c.prefillTime.cost(c.completedPrefill-r.prefilledAtToken), 0)
	if !c.onlinePrefilled(r) {
		baseline = min(baseline, c.steps.predict(c.running[Online]))
	}
	c.lateGaps.observe(gap, baseline, c.policy.TBTTarget, 1-c.batchShare())
}
