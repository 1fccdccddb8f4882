package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/catkinrudder/catkinrudder/internal/logservice"
)

// Bounds of what one entry polls. Up to allSidecars sidecars and allEntries
// other entries it polls everyone.
const (
	allSidecars = 64
	allEntries  = 16
	// zoneSidecars of each service are in the entry's availability zone if
	// there are as many, nearSidecars in its region, farSidecars elsewhere.
	zoneSidecars = 12
	nearSidecars = 24
	farSidecars  = 8
	// sidecarPollers is how many entries poll a sidecar at the least.
	sidecarPollers = 4
	// dutyCandidates is how many entries, the owner included, watch over each
	// duty.
	dutyCandidates = 3
)

// distance is how far apart two instances are.
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

// pairWeight is the random weight of an entry and a sidecar for each other
// (Thaler and Ravishankar, 1998).
func pairWeight(entry, sidecar string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + sidecar)
}

// pollSet names the sidecars that an entry polls: enough of each service, near
// ones first, and those that too few other entries would poll. Every entry
// finds the others' sets by the same rule, so that together they poll every
// sidecar. entries are all live ones, self included.
func pollSet(self logservice.Instance, entries, sidecars []logservice.Instance) []string {
	if len(sidecars) <= allSidecars {
		return names(sidecars)
	}
	byService := make(map[string][]logservice.Instance)
	for _, s := range sidecars {
		byService[s.Service] = append(byService[s.Service], s)
	}
	set := make(map[string]bool)
	for _, rows := range byService {
		chooseOfService(self, rows, set)
	}
	p := newPollers(entries)
	for _, s := range sidecars {
		if !set[s.Name] && p.includes(self, s) {
			set[s.Name] = true
		}
	}
	return sortedNames(set)
}

// chooseOfService adds the sidecars of one service that suit the entry.
func chooseOfService(self logservice.Instance, rows []logservice.Instance, set map[string]bool) {
	weights := make(map[string]uint64, len(rows))
	for _, r := range rows {
		weights[r.Name] = pairWeight(self.Name, r.Name)
	}
	slices.SortFunc(rows, func(a, b logservice.Instance) int { return cmp.Compare(weights[b.Name], weights[a.Name]) })
	n := 0
	take := func(most int, fit func(distance) bool) {
		for _, r := range rows {
			if n < most && !set[r.Name] && fit(distanceOf(self, r)) {
				set[r.Name] = true
				n++
			}
		}
	}
	take(zoneSidecars, func(d distance) bool { return d == sameZone })
	take(nearSidecars, func(d distance) bool { return d != otherRegion })
	take(nearSidecars+farSidecars, func(d distance) bool { return d == otherRegion })
}

// place names an availability zone, or a region if zone is empty.
type place struct{ region, zone string }

// pollers finds the entries that a sidecar is polled by whatever else they
// choose: the sidecarPollers nearest, by weight where the distance is equal.
type pollers struct {
	entries []logservice.Instance
	count   map[place]int
}

func newPollers(entries []logservice.Instance) *pollers {
	p := &pollers{entries: entries, count: make(map[place]int)}
	for _, e := range entries {
		p.count[place{e.Region, e.Zone}]++
		p.count[place{region: e.Region}]++
	}
	return p
}

// nearer is how many entries are nearer to a sidecar than a distance.
func (p *pollers) nearer(s logservice.Instance, d distance) int {
	switch d {
	case sameRegion:
		return p.count[place{s.Region, s.Zone}]
	case otherRegion:
		return p.count[place{region: s.Region}]
	}
	return 0
}

func (p *pollers) includes(self, s logservice.Instance) bool {
	d := distanceOf(self, s)
	rank := p.nearer(s, d)
	if rank >= sidecarPollers {
		return false
	}
	own := pairWeight(self.Name, s.Name)
	for _, e := range p.entries {
		if e.Name != self.Name && distanceOf(e, s) == d && pairWeight(e.Name, s.Name) > own {
			rank++
		}
	}
	return rank < sidecarPollers
}

// watchSet names the other entries that an entry polls: those that come before
// it as owners of a duty, if it is one of the duty's candidates. Only they need
// to know at once that an owner has gone; everyone else waits for the
// platform's list.
func watchSet(self string, entries, duties []string) []string {
	set := make(map[string]bool)
	for _, duty := range duties {
		before := candidates(duty, entries)
		if i := slices.Index(before, self); i > 0 {
			for _, e := range before[:i] {
				set[e] = true
			}
		}
	}
	return sortedNames(set)
}

// candidates returns the first entries in rendezvous order for a duty.
func candidates(duty string, entries []string) []string {
	left := slices.Clone(entries)
	var out []string
	for len(out) < dutyCandidates && len(left) > 0 {
		first := rendezvous.New(left, xxhash.Sum64String).Lookup(duty)
		out = append(out, first)
		left = slices.DeleteFunc(left, func(e string) bool { return e == first })
	}
	return out
}

func names(rows []logservice.Instance) []string {
	set := make(map[string]bool, len(rows))
	for _, r := range rows {
		set[r.Name] = true
	}
	return sortedNames(set)
}

// sortedNames returns the members of a set in order.
func sortedNames(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
