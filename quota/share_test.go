package quota

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSharesOfPartsAddUpToOneAtMost covers partitions, each as the parts of it see the gateways of three
// zones, and gateways that have ended.
func TestSharesOfPartsAddUpToOneAtMost(t *testing.T) {
	for name, test := range map[string]struct {
		parts [][]Reach
		least float64
	}{
		"whole":          {[][]Reach{{{4, 4}, {4, 4}, {4, 4}}}, 1},
		"one cut off":    {[][]Reach{{{4, 3}, {4, 4}, {4, 4}}, {{4, 1}, {4, 0}, {4, 0}}}, 1},
		"zone cut off":   {[][]Reach{{{4, 4}, {4, 4}, {4, 0}}, {{4, 0}, {4, 0}, {4, 4}}}, 0.8},
		"three zones":    {[][]Reach{{{4, 4}, {4, 0}, {4, 0}}, {{4, 0}, {4, 4}, {4, 0}}, {{4, 0}, {4, 0}, {4, 4}}}, 0.5},
		"two regions":    {[][]Reach{{{4, 4}, {4, 0}}, {{4, 0}, {4, 4}}}, 1},
		"halves":         {[][]Reach{{{2, 1}}, {{2, 1}}}, 1},
		"more than half": {[][]Reach{{{5, 3}}, {{5, 2}}}, 1},
		"most ended":     {[][]Reach{{{4, 2}, {4, 1}, {4, 2}}}, 0.7},
	} {
		sum := 0.0
		for _, zones := range test.parts {
			share, _ := Share(zones)
			sum += share
		}
		assert.Assert(t, sum <= 1+countTolerance && sum >= test.least-countTolerance, "%s: %v", name, sum)
	}
}
