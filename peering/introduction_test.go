package peering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGatewaysOfALargeFleetIntroduceThemselves covers a start of all gateways within a second: each
// one has reported to the others again once all of them listen.
func TestGatewaysOfALargeFleetIntroduceThemselves(t *testing.T) {
	start := time.Now()
	r := &reporter{p: &Peering{startedAt: start}}
	var at []time.Duration
	for d := time.Duration(0); d < time.Minute; d += 250 * time.Millisecond {
		if r.introductionDue(start.Add(d)) {
			at = append(at, d)
		}
	}
	assert.DeepEqual(t, at, introductions)
}
