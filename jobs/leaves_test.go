package jobs

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLeavesToStronger checks who stays out of the group, at its first heartbeat and once it has left.
func TestLeavesToStronger(t *testing.T) {
	mixed := slices.Concat(slices.Repeat([]float64{0.8}, 12), slices.Repeat([]float64{0.15}, 5))
	equal := slices.Repeat([]float64{0.15}, 16)
	for _, test := range []struct {
		name   string
		own    float64
		peers  []float64
		leaves bool
	}{
		{"small beside large", 0.15, mixed, true},
		{"large beside small", 0.8, mixed, false},
		{"among equals", 0.15, equal, false},
		{"unknown", 0, mixed, false},
		{"one large one is not enough", 0.15, append(slices.Clone(equal), 0.8), false},
		{"peers of unknown capacity", 0.15, make([]float64, 5), false},
		{"alone", 0.15, nil, false},
	} {
		assert.Equal(t, leavesToStronger(test.own, test.peers, true), test.leaves, test.name)
		assert.Equal(t, leavesToStronger(test.own, test.peers, false), test.leaves, test.name)
	}
	between := []float64{0.5, 0.5, 0.5}
	assert.Assert(t, !leavesToStronger(0.3, between, false) && leavesToStronger(0.3, between, true))
	assert.Equal(t, concurrentRuns(0), maxConcurrentRuns)
	assert.Equal(t, concurrentRuns(0.8), maxConcurrentRuns)
	assert.Equal(t, concurrentRuns(0.15), 60)
}
