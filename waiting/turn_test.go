package waiting_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/waiting"
)

// TestFreeSlotsAreTakenOnce plays slots that become free one by one while requests wait at
// all of ten gateways, which learn of a choice only after the others have made theirs.
func TestFreeSlotsAreTakenOnce(t *testing.T) {
	const rounds, gateways = 1000, 10
	rng := rand.New(rand.NewPCG(1, 1))
	elsewhere := waiting.Elsewhere{Gateways: gateways - 1, WaitingAt: gateways - 1, Waiting: 50, InTimeAt: gateways - 1}
	taken, queued := 0, 0
	for range rounds {
		heads := 0
		for range gateways {
			if rng.Float64() < waiting.Chance(1, false, elsewhere) {
				heads++
			}
		}
		taken += min(heads, 1)
		queued += max(heads-1, 0)
	}
	assert.Assert(t, taken > rounds/2, "%d of %d slots", taken, rounds)
	assert.Assert(t, queued < rounds/2, "%d requests queue at engines; all would if every head tried", queued)
	assert.Equal(t, waiting.Chance(20, false, elsewhere), 1.0, "there is room for all")
	assert.Equal(t, waiting.Chance(0, true, waiting.Elsewhere{Gateways: 9}), 1.0, "nobody competes")
	someLate := waiting.Elsewhere{Gateways: 9, WaitingAt: 6, InTimeAt: 4, Waiting: 30}
	assert.Equal(t, waiting.Chance(4, true, someLate), 0.0, "the slots are for those in time")
	assert.Equal(t, waiting.Chance(5, true, someLate), 1.0/3, "one is left for three who are late")
	assert.Equal(t, waiting.Chance(1, false, someLate), 0.2)
}
