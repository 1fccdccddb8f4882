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

// CrashReport is what a gateway reports about the end of a backend server.
type CrashReport struct {
	// Server is the hash of the server's id.
	Server uint32
	Runs   Runs
	// Counted are the hashes of the servers whose ends count against a suspect at the gateway that
	// reports, which knows the order of its own crashes and runs. Reports may be delayed.
	Counted map[string][]uint32
}

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

// has reports whether the end of a server is part of the evidence.
func (e evidence) has(server uint32) bool {
	return slices.ContainsFunc(e, func(c crash) bool { return c.server == server })
}

// with returns the evidence with the ends of further servers, minCrashes at most.
func (e evidence) with(servers []uint32, now time.Time) evidence {
	merged := slices.Clone(e)
	for _, server := range servers {
		if len(merged) < minCrashes && !merged.has(server) {
			merged = append(merged, crash{server, now})
		}
	}
	return merged
}

// servers returns the hashes of the servers that have ended.
func (e evidence) servers() []uint32 {
	servers := make([]uint32, len(e))
	for i, c := range e {
		servers[i] = c.server
	}
	return servers
}

// without returns the crashes that are not among those of other.
func (e evidence) without(other evidence) evidence {
	return slices.DeleteFunc(slices.Clone(e), func(c crash) bool {
		return other.has(c.server)
	})
}
