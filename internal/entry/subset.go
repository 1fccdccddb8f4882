package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/catkinrudder/catkinrudder/internal/logservice"
)

// Limits of what one entry polls. An entry polls all instances if there are at
// most pollAllSidecars sidecars and pollAllEntries other entries.
const (
	pollAllSidecars = 64
	pollAllEntries  = 16
	// Of each service, an entry polls up to sameZoneSidecars sidecars in its own
	// availability zone. It adds others in its region until it polls
	// sameRegionSidecars, and then some in other regions until it polls
	// sameRegionSidecars+otherRegionSidecars.
	sameZoneSidecars    = 12
	sameRegionSidecars  = 24
	otherRegionSidecars = 8
	// minSidecarPollers is the minimum number of entries that poll a sidecar.
	minSidecarPollers = 4
	// taskCandidates is how many entries, including the owner, are candidates for
	// owning a task and detect that the owner is unavailable.
	taskCandidates = 3
)

// distance is the network distance between two instances.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func distanceOf(a, b logservice.Instance) distance {
	switch {
	case a.Region != b.Region:
		return otherRegion
	case a.Zone != b.Zone:
		return sameRegion
	}
	return sameZone
}

// pairWeight is the rendezvous weight of an entry and a sidecar (Thaler and
// Ravishankar, 1998).
func pairWeight(entry, sidecar string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + sidecar)
}

// pollSet returns the names of the sidecars that an entry polls: enough of each
// service, nearest first, and those that too few other entries would poll. Every
// entry computes the sets by the same rule, so that together they poll all
// sidecars. entries are all live entries, including self.
func pollSet(self logservice.Instance, entries, sidecars []logservice.Instance) []string {
	if len(sidecars) <= pollAllSidecars {
		return instanceNames(sidecars)
	}
	byService := make(map[string][]logservice.Instance)
	for _, s := range sidecars {
		byService[s.Service] = append(byService[s.Service], s)
	}
	set := make(map[string]bool)
	for _, rows := range byService {
		selectOfService(self, rows, set)
	}
	p := newPollers(entries)
	for _, s := range sidecars {
		if !set[s.Name] && p.includes(self, s) {
			set[s.Name] = true
		}
	}
	return sortedNames(set)
}

// selectOfService adds to set the sidecars of one service that the entry polls.
func selectOfService(self logservice.Instance, rows []logservice.Instance, set map[string]bool) {
	weights := make(map[string]uint64, len(rows))
	for _, r := range rows {
		weights[r.Name] = pairWeight(self.Name, r.Name)
	}
	slices.SortFunc(rows, func(a, b logservice.Instance) int { return cmp.Compare(weights[b.Name], weights[a.Name]) })
	n := 0
	add := func(limit int, matches func(distance) bool) {
		for _, r := range rows {
			if n < limit && !set[r.Name] && matches(distanceOf(self, r)) {
				set[r.Name] = true
				n++
			}
		}
	}
	add(sameZoneSidecars, func(d distance) bool { return d == sameZone })
	add(sameRegionSidecars, func(d distance) bool { return d != otherRegion })
	add(sameRegionSidecars+otherRegionSidecars, func(d distance) bool { return d == otherRegion })
}

// location is an availability zone, or a region if zone is empty.
type location struct{ region, zone string }

// pollers finds the entries that poll a sidecar in addition to the subset that
// each entry selects by service: the minSidecarPollers nearest ones, ordered by
// weight where the distance is equal.
type pollers struct {
	entries []logservice.Instance
	count   map[location]int
}

func newPollers(entries []logservice.Instance) *pollers {
	p := &pollers{entries: entries, count: make(map[location]int)}
	for _, e := range entries {
		p.count[location{e.Region, e.Zone}]++
		p.count[location{region: e.Region}]++
	}
	return p
}

// nearer returns how many entries are nearer than d to a sidecar.
func (p *pollers) nearer(s logservice.Instance, d distance) int {
	switch d {
	case sameRegion:
		return p.count[location{s.Region, s.Zone}]
	case otherRegion:
		return p.count[location{region: s.Region}]
	}
	return 0
}

func (p *pollers) includes(self, s logservice.Instance) bool {
	d := distanceOf(self, s)
	rank := p.nearer(s, d)
	if rank >= minSidecarPollers {
		return false
	}
	own := pairWeight(self.Name, s.Name)
	for _, e := range p.entries {
		if e.Name != self.Name && distanceOf(e, s) == d && pairWeight(e.Name, s.Name) > own {
			rank++
		}
	}
	return rank < minSidecarPollers
}

// watchSet returns the names of the other entries that an entry polls: those that
// precede it among the candidates of a task, if it is a candidate itself. Only
// candidates have to detect at once that an owner is unavailable; all other
// entries wait for the platform's list.
func watchSet(self string, entries, tasks []string) []string {
	set := make(map[string]bool)
	for _, task := range tasks {
		ranked := candidates(task, entries)
		if i := slices.Index(ranked, self); i > 0 {
			for _, e := range ranked[:i] {
				set[e] = true
			}
		}
	}
	return sortedNames(set)
}

// candidates returns the first taskCandidates entries in rendezvous order for a
// task.
func candidates(task string, entries []string) []string {
	remaining := slices.Clone(entries)
	var out []string
	for len(out) < taskCandidates && len(remaining) > 0 {
		first := rendezvous.New(remaining, xxhash.Sum64String).Lookup(task)
		out = append(out, first)
		remaining = slices.DeleteFunc(remaining, func(e string) bool { return e == first })
	}
	return out
}

func instanceNames(rows []logservice.Instance) []string {
	set := make(map[string]bool, len(rows))
	for _, r := range rows {
		set[r.Name] = true
	}
	return sortedNames(set)
}

// sortedNames returns the elements of a set in sorted order.
func sortedNames(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
