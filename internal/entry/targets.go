package entry

import (
	"slices"

	"github.com/catkinrudder/catkinrudder/internal/logservice"
	"github.com/catkinrudder/catkinrudder/settings"
)

const (
	// pollsAtOnce is how many instances are polled in one interval where all
	// are; a larger set is polled in slices of pollSlice.
	pollsAtOnce = 16
	pollSlice   = 7
	// maxRounds bounds the intervals between two polls of one instance, for an
	// entry that has to know a whole service.
	maxRounds = 60
	// listSlice is how many instances of the platform's list one interval
	// pays for.
	listSlice = 256
)

// pollRounds is how many intervals it takes to poll n instances once.
func pollRounds(n int) int {
	if n <= pollsAtOnce {
		return 1
	}
	return min((n+pollSlice-1)/pollSlice, maxRounds)
}

// listRounds is how many intervals lie between two reads of a list of n
// instances.
func listRounds(n int) int { return max((n+listSlice-1)/listSlice, 1) }

// slice returns the part of the targets that is polled in a round.
func slice(targets []string, round int) []string {
	rounds := pollRounds(len(targets))
	var out []string
	for i := round % rounds; i < len(targets); i += rounds {
		out = append(out, targets[i])
	}
	return out
}

// listDue reports whether the platform's list is read in this round. The first
// round reads it.
func (f *fleet) listDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.round%listRounds(len(f.members)) == 0
}

// nextTargets returns the instances to poll in this round and begins the next.
func (f *fleet) nextTargets() []member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []member
	for _, name := range slice(f.targets, f.round) {
		if m, ok := f.members[name]; ok {
			out = append(out, *m)
		}
	}
	f.round++
	return out
}

// choose returns the instances that this entry polls; the caller holds mu.
func (f *fleet) choose(rows []logservice.Instance) []string {
	self := logservice.Instance{Name: f.settings.Instance, Region: f.settings.Region, Zone: f.settings.Zone}
	live := []logservice.Instance{self}
	var others, sidecars []logservice.Instance
	for _, row := range rows {
		switch {
		case row.Role == string(settings.RoleSidecar):
			sidecars = append(sidecars, row)
		case row.Role != string(settings.RoleEntry) || row.Name == self.Name:
		default:
			others = append(others, row)
			if row.State != logservice.Leaving {
				live = append(live, row)
			}
		}
	}
	watched := names(others)
	if len(others) > allEntries {
		watched = watchSet(self.Name, names(live), duties(f.placed()))
	}
	targets := append(pollSet(self, live, sidecars), watched...)
	return append(targets, f.placedHere(sidecars)...)
}

// placedHere names the sidecars of the services whose placement this entry
// decides: it has to know all of them. The caller holds mu.
func (f *fleet) placedHere(sidecars []logservice.Instance) []string {
	owned := make(map[string]bool)
	for _, service := range f.placed() {
		owned[service] = f.ownsLocked(placementDuty(service))
	}
	var out []string
	for _, s := range sidecars {
		if owned[s.Service] {
			out = append(out, s.Name)
		}
	}
	return out
}

// setTargets begins to poll other instances and forgets what it was told by
// those that it no longer polls; the caller holds mu.
func (f *fleet) setTargets(targets []string) {
	slices.Sort(targets)
	targets = slices.Compact(targets)
	for _, name := range f.targets {
		if _, ok := slices.BinarySearch(targets, name); ok {
			continue
		}
		if m, ok := f.members[name]; ok {
			m.incarnation, m.missed, m.draining = "", 0, false
			m.running, m.jobs = nil, nil
			f.table.Remove(name)
		}
	}
	f.targets = targets
}
