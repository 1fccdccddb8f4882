package sidecar

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// A ledger that evicts entries never covers a claim whose entry it may have
// evicted.
func TestLedgerCoversOnlyClaimsAboveLowWatermark(t *testing.T) {
	l := newLedger(3)
	for claim := uint64(1); claim <= 5; claim++ {
		id := fmt.Sprint(claim)
		if claim%2 == 0 {
			l.recordVeto(id, claim)
		} else {
			l.recordStart(id, claim)
		}
	}
	for claim := uint64(1); claim <= 2; claim++ {
		assert.Assert(t, !l.covers(claim), "claim %d", claim)
		assert.Assert(t, !l.started(fmt.Sprint(claim)) && !l.vetoed(fmt.Sprint(claim)))
	}
	assert.Assert(t, l.covers(3) && l.started("3"))
	assert.Assert(t, l.covers(4) && l.vetoed("4"))
}
