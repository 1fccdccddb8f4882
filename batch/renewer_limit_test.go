package batch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRenewalKeepsUpWithAnyNumberOfRows checks that every row of a shard is renewed
// well within the renewal age, however many there are. With a fixed number of rows
// per step, results at full size expired before their renewal.
func TestRenewalKeepsUpWithAnyNumberOfRows(t *testing.T) {
	for _, rows := range []int{0, 1, 32, 2048, 2049, 21_000, 333_000} {
		assert.Assert(t, renewStepLimit(rows)*renewSteps/renewSpread >= rows, "%d rows", rows)
		assert.Assert(t, renewStepLimit(rows) >= renewBatch)
	}
	assert.Equal(t, renewStepLimit(100), renewBatch, "a step renews few rows at once")
}
