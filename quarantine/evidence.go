package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Runs are the runs that the end of a backend server has broken off: how long they had lasted, by
// suspect.
type Runs map[string]time.Duration

// Suspects returns the suspects of the runs in order.
func (r Runs) Suspects() []string { return slices.Sorted(maps.Keys(r)) }

// evidence are the crashes under runs with one suspect that count.
type evidence []crash

// crash is the end of a backend server, which is given by the hash of its id.
type crash struct {
	server uint32
	at     time.Time
}

// covers reports whether the end of a server, where a run had begun at a time, adds nothing to the
// evidence.
func (e evidence) covers(server uint32, began time.Time, spacing time.Duration, now time.Time) bool {
	return slices.ContainsFunc(e, func(c crash) bool {
		age := now.Sub(c.at)
		return age < spacing || spacing == 0 && began.Before(c.at) || c.server == server && age < sameCrash
	})
}

// without returns the crashes that are not among those of other.
func (e evidence) without(other evidence) evidence {
	return slices.DeleteFunc(slices.Clone(e), func(c crash) bool {
		return slices.ContainsFunc(other, func(o crash) bool { return o.server == c.server })
	})
}
