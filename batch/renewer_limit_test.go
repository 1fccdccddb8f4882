package batch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// However many rows a shard holds, every one is renewed well within the renewal
// age; with a fixed bound on a step, results at full size expired first.
func TestRenewalKeepsUpWithAnyNumberOfRows(t *testing.T) {
	for _, rows := range []int{0, 1, 32, 2048, 2049, 21_000, 333_000} {
		assert.Assert(t, renewLimit(rows)*renewSteps/renewSpread >= rows, "%d rows", rows)
		assert.Assert(t, renewLimit(rows) >= renewBatch)
	}
	assert.Equal(t, renewLimit(100), renewBatch, "few rows are no burst")
}
