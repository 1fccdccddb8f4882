// Package capacity measures how the cost of each part of the system grows with
// its size: processor time, memory, bytes and log appends, each at three or more
// sizes, with the packages that the daemons run. docs/CAPACITY.md derives from
// the slopes what one instance uses at full size.
package capacity

// Point is the value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a line fitted to points.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// Fit returns the least-squares line through points. The slope is zero if all
// points have the same size.
func Fit(points []Point) Line {
	if len(points) == 0 {
		return Line{}
	}
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Value / n
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.Size - meanX) * (p.Value - meanY)
		variance += (p.Size - meanX) * (p.Size - meanX)
	}
	if variance == 0 {
		return Line{Intercept: meanY}
	}
	slope := covariance / variance
	return Line{Slope: slope, Intercept: meanY - slope*meanX}
}
