package gatewayd

import (
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/platform"
)

// paths returns the costs of sending a request out of its zone: those of the settings, and the
// defaults for what they leave out.
func paths(s platform.PathSettings) *balance.Paths {
	d := balance.DefaultPaths()
	return &balance.Paths{
		ZoneRoundTrip:   setOr(s.ZoneRoundTrip, d.ZoneRoundTrip),
		RegionRoundTrip: setOr(s.RegionRoundTrip, d.RegionRoundTrip),
		ZonePrice:       setOr(s.ZonePrice, d.ZonePrice),
		RegionPrice:     setOr(s.RegionPrice, d.RegionPrice),
	}
}

// setOr returns the value of a setting, or the default if it is not set.
func setOr(set, otherwise time.Duration) time.Duration {
	if set < 0 {
		return otherwise
	}
	return set
}
