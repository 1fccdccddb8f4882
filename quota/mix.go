package quota

import (
	"math"
	"time"
)

// mixTime is the time over which the use of the regions is compared.
const mixTime = 5 * time.Second

// mix is how much of a quota was lately used through this region and through the others.
type mix struct {
	own, others float64
	at          time.Time
}

func (m *mix) decay(now time.Time) {
	factor := math.Exp(-now.Sub(m.at).Seconds() / mixTime.Seconds())
	m.own *= factor
	m.others *= factor
	m.at = now
}

// ownPart returns the part of the use that was through this region, of so many.
func (m *mix) ownPart(regions float64) float64 {
	return (m.own + 1) / (m.own + m.others + regions)
}
