package waiting

import "time"

// ChanceInterval is the time between two chances of a gateway: about what the reports of
// gateways take, so that a slot that one has taken is known to the others.
const ChanceInterval = 15 * time.Millisecond

// Chance returns the probability with which the head of a line tries for slots that are
// free as far as is known. It answers slots that become free one by one while requests wait
// at many gateways: if each of them tried, all but one would queue at the engine. late states
// that the head can't be in time any more; it leaves a slot to each gateway where others can.
func Chance(free int, late bool, elsewhere Elsewhere) float64 {
	competitors := elsewhere.InTimeAt
	if late {
		free -= elsewhere.InTimeAt
		competitors = elsewhere.WaitingAt - elsewhere.InTimeAt
	}
	if competitors == 0 && elsewhere.InTimeAt == 0 {
		return 1
	}
	return min(max(float64(free)/float64(competitors+1), 0), 1)
}
