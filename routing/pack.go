package routing

import (
	"github.com/catkinrudder/catkinrudder/admission"
)

// packTo is how many online attempts a backend server may run for packing to
// send it one more.
const packTo = 4

// packed returns the busiest row of those that run few online attempts beside
// batch and have been sent none since their last load report, or nil. A low
// online load gathers on few backend servers and leaves the others to batch; a
// burst spreads.
func packed(rows []*row) *row {
	var best *row
	for _, r := range rows {
		n := r.load.RunningOnline + r.load.QueuedOnline
		if n == 0 || n >= packTo || r.sent[admission.Online] > 0 || r.load.RunningBatch == 0 {
			continue
		}
		if best == nil || n > best.load.RunningOnline+best.load.QueuedOnline {
			best = r
		}
	}
	return best
}
