package waiting

import "time"

// ChanceInterval is the time between two chances of a gateway: about what the reports of
// gateways take, so that a slot that one has taken is known to the others.
const ChanceInterval = 15 * time.Millisecond

// Chance returns the probability with which the head of a line tries for slots that are
// free as far as is known. It answers slots that become free one by one while requests wait
// at many gateways: if each of them tried, all but one would queue at the engine.
func Chance(free int, elsewhere Elsewhere) float64 {
	if elsewhere.WaitingAt == 0 {
		return 1
	}
	return min(float64(free)/float64(elsewhere.WaitingAt+1), 1)
}
