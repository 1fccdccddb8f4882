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
	// Counted are the ends of servers that count against a suspect at the gateway that reports, which
	// knows the order of its own crashes and runs. Reports may be delayed.
	Counted map[string][]CountedCrash
}

// CountedCrash is the end of a backend server as a gateway reports it.
type CountedCrash struct {
	// Server is the hash of the server's id.
	Server uint32
	// Age is how long before the report the server has ended, and Lasted how long the run had lasted.
	Age, Lasted time.Duration
}

// evidence are the crashes under runs with one suspect that count, in the order of their times.
type evidence []crash

// crash is the end of a backend server, which is given by the hash of its id, under a run.
type crash struct {
	server    uint32
	at, began time.Time
}

// follows reports whether the crash adds to the evidence of an earlier one: the two are spacing apart
// or, if spacing is 0, the run began after the earlier server had ended.
func (c crash) follows(earlier crash, spacing time.Duration) bool {
	if spacing == 0 {
		return !c.began.Before(earlier.at)
	}
	return c.at.Sub(earlier.at) >= spacing
}

// has reports whether the end of a server is part of the evidence.
func (e evidence) has(server uint32) bool {
	return slices.ContainsFunc(e, func(c crash) bool { return c.server == server })
}

// maxCounted bounds the crashes that are kept for one suspect.
const maxCounted = 8

// with returns the evidence that all crashes together are, the last maxCounted. Several gateways may have
// counted different servers that have ended together.
func (e evidence) with(crashes []crash, spacing time.Duration) evidence {
	all := slices.Clone(e)
	for _, c := range crashes {
		all = all.add(c)
	}
	slices.SortStableFunc(all, func(a, b crash) int { return a.at.Compare(b.at) })
	var counted evidence
	for _, c := range all {
		if len(counted) == 0 || c.follows(counted[len(counted)-1], spacing) {
			counted = append(counted, c)
		}
	}
	return counted[max(len(counted)-maxCounted, 0):]
}

// add adds a crash, unless it is known. Of two times for one crash the earlier one counts: the other
// was delayed.
func (e evidence) add(c crash) evidence {
	i := slices.IndexFunc(e, func(known crash) bool {
		return known.server == c.server && c.at.Sub(known.at).Abs() < sameCrash
	})
	switch {
	case i < 0:
		return append(e, c)
	case c.at.Before(e[i].at):
		e[i] = c
	}
	return e
}

// counted returns the evidence as it is reported.
func (e evidence) counted(now time.Time) []CountedCrash {
	out := make([]CountedCrash, len(e))
	for i, c := range e {
		out[i] = CountedCrash{Server: c.server, Age: now.Sub(c.at), Lasted: c.at.Sub(c.began)}
	}
	return out
}

// reported returns crashes that another gateway has counted.
func reported(counted []CountedCrash, now time.Time) []crash {
	out := make([]crash, len(counted))
	for i, c := range counted {
		at := now.Add(-c.Age)
		out[i] = crash{c.Server, at, at.Add(-c.Lasted)}
	}
	return out
}

// without returns the crashes that are not among those of other.
func (e evidence) without(other evidence) evidence {
	return slices.DeleteFunc(slices.Clone(e), func(c crash) bool {
		return other.has(c.server)
	})
}
