package routing

import (
	"math"
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
)

const (
	// packTo is how many online attempts a backend server takes before the
	// next one is used, while batch runs.
	packTo = 4
	// burstWeight is how much more an attempt counts that was sent since the
	// last load report: it is still to be prefilled.
	burstWeight = 3
)

// active returns the leading rows that the present online load needs. While
// batch runs, few backend servers take a low online load and the others are
// left to batch; without batch all of them are used.
func active(now time.Duration, rows []*row) []*row {
	total, batch := 0.0, false
	for _, r := range rows {
		total += r.online(now) + (burstWeight-1)*float64(r.sent[admission.Online])
		batch = batch || r.load.RunningBatch > 0
	}
	if !batch {
		return rows
	}
	need := int(math.Ceil((total + 1) / packTo))
	return rows[:min(need, len(rows))]
}
