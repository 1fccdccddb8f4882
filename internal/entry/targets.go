package entry

import (
	"slices"

	"github.com/catkinrudder/catkinrudder/internal/logservice"
	"github.com/catkinrudder/catkinrudder/settings"
)

const (
	// maxPolledAtOnce is the largest number of instances that are all polled in each
	// interval. Of a larger set, pollSubset instances are polled in each interval, or
	// more if it would otherwise take more than maxPollRounds intervals to poll all.
	maxPolledAtOnce = 16
	pollSubset      = 7
	// maxPollRounds limits the intervals between two polls of one instance, for an
	// entry that has to poll a whole service.
	maxPollRounds = 60
	// listSubset is how many instances of the platform's list are read per
	// interval on average: a list of n instances is read every n/listSubset
	// intervals.
	listSubset = 256
)

// pollRounds returns how many intervals it takes to poll n instances once.
func pollRounds(n int) int {
	if n <= maxPolledAtOnce {
		return 1
	}
	return min((n+pollSubset-1)/pollSubset, maxPollRounds)
}

// listRounds returns the number of intervals between two reads of a list of n
// instances.
func listRounds(n int) int { return max((n+listSubset-1)/listSubset, 1) }

// subset returns the targets that are polled in a round.
func subset(targets []string, round int) []string {
	rounds := pollRounds(len(targets))
	var out []string
	for i := round % rounds; i < len(targets); i += rounds {
		out = append(out, targets[i])
	}
	return out
}

// listDue reports whether the platform's list is read in this round. It is read in
// the first round.
func (f *fleet) listDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.round%listRounds(len(f.members)) == 0
}

// nextTargets returns the instances to poll in this round and starts the next round.
func (f *fleet) nextTargets() []member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []member
	for _, name := range subset(f.targets, f.round) {
		if m, ok := f.members[name]; ok {
			out = append(out, *m)
		}
	}
	f.round++
	return out
}

// selectTargets returns the names of the instances that this entry polls; the
// caller holds mu.
func (f *fleet) selectTargets(rows []logservice.Instance) []string {
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
	polled := instanceNames(others)
	if len(others) > pollAllEntries {
		polled = watchSet(self.Name, instanceNames(live), tasks(f.placedServices()))
	}
	targets := append(pollSet(self, live, sidecars), polled...)
	return append(targets, f.ownedPlacementSidecars(sidecars)...)
}

// ownedPlacementSidecars returns the names of the sidecars of the services whose
// placement this entry owns: it needs the reports of all of them. The caller holds mu.
func (f *fleet) ownedPlacementSidecars(sidecars []logservice.Instance) []string {
	owned := make(map[string]bool)
	for _, service := range f.placedServices() {
		owned[service] = f.ownsLocked(placementTask(service))
	}
	var out []string
	for _, s := range sidecars {
		if owned[s.Service] {
			out = append(out, s.Name)
		}
	}
	return out
}

// setTargets replaces the instances to poll and discards the reports of those that
// are no longer polled; the caller holds mu.
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
