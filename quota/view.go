package quota

import "time"

// View is what this gateway knows of the others, for one workspace.
type View struct {
	// Owner is the name of the gateway that hands out the permits in this region; Self states
	// that it is this one.
	Owner string
	Self  bool
	// Others are the owners in the other regions that are reached.
	Others []string
	// Gateways is the number of known gateways in all regions, this one included; it is 0 while
	// the directory of gateways has not been read. MostOfRegion states that nearly all
	// those of this region are reached.
	Gateways     int
	MostOfRegion bool
	// Share and Wide are those of package function Share.
	Share float64
	Wide  bool
	// Since is since when no gateway of this region was lost.
	Since time.Time
}

// regions returns the number of regions that hand out permits.
func (v View) regions() float64 { return float64(1 + len(v.Others)) }
