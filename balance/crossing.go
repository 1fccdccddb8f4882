package balance

import "github.com/catkinrudder/catkinrudder/catalog"

// Crossing is where a request goes as seen from its zone, and why.
type Crossing string

// The crossings.
const (
	// Home: the backend server is in the own zone.
	Home Crossing = "own_zone"
	// ZoneFuller: the own zone is fuller than the others, and the request belongs to the share
	// that leaves it.
	ZoneFuller Crossing = "own_zone_fuller"
	// NoRoomHome: this request finds less room in the own zone than elsewhere.
	NoRoomHome Crossing = "less_room_in_own_zone"
	// NoServerHome: the own zone has no backend server for the request.
	NoServerHome Crossing = "no_server_in_own_zone"
	// LeastLoaded: the zones of the region count as one for the request.
	LeastLoaded Crossing = "least_loaded"
	// OtherRegion: the backend server is in another region.
	OtherRegion Crossing = "other_region"
)

// Crossings lists every crossing.
func Crossings() []Crossing {
	return []Crossing{Home, ZoneFuller, NoRoomHome, NoServerHome, LeastLoaded, OtherRegion}
}

// crossing returns why a request goes to the zone of b. hasHome states that a backend server of the
// own zone could take it.
func (s *selection) crossing(b catalog.Backend, hasHome bool) Crossing {
	switch {
	case b.Zone == s.t.opts.Zone:
		return Home
	case s.t.otherRegion(b):
		return OtherRegion
	case !hasHome:
		return NoServerHome
	case s.leaves:
		return ZoneFuller
	case s.prefersHome:
		return NoRoomHome
	}
	return LeastLoaded
}
