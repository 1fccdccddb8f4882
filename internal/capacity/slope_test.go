package capacity

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name   string
		points []Point
		want   Line
	}{
		{"none", nil, Line{}},
		{"one size", []Point{{Size: 4, Value: 2}, {Size: 4, Value: 4}}, Line{Intercept: 3}},
		{"exact", []Point{{1, 5}, {2, 7}, {10, 23}}, Line{Slope: 2, Intercept: 3}},
		{"least squares", []Point{{0, 0}, {1, 2}, {2, 1}}, Line{Slope: 0.5, Intercept: 0.5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Fit(c.points)
			assert.Assert(t, math.Abs(got.Slope-c.want.Slope) < 1e-9, "slope %v", got.Slope)
			assert.Assert(t, math.Abs(got.Intercept-c.want.Intercept) < 1e-9, "intercept %v", got.Intercept)
		})
	}
}
