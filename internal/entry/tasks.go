package entry

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/catkinrudder/catkinrudder/batch"
	"github.com/catkinrudder/catkinrudder/settings"
)

// Tasks that one entry performs for all entries.
const (
	renewConfiguration = "renew/configuration"
	renewClaims        = "renew/claims"
)

// batchTask is the task of owning a batch shard.
func batchTask(shard int) string { return "batch/" + strconv.Itoa(shard) }

// placementTask is the task of deciding which models a service's backend servers
// load.
func placementTask(service string) string { return "placement/" + service }

// tasks returns all tasks, given the services whose models are placed.
func tasks(placed []string) []string {
	out := []string{renewConfiguration, renewClaims}
	for i := range batchShards {
		out = append(out, batchTask(i))
	}
	for _, service := range placed {
		out = append(out, placementTask(service))
	}
	return out
}

// placedServices returns the names of the services whose models are placed.
func (f *fleet) placedServices() []string {
	var out []string
	if v, ok := f.config.InForce(); ok {
		for i := range v.Document.Services {
			if svc := &v.Document.Services[i]; len(svc.Deploy) > 0 {
				out = append(out, svc.Name)
			}
		}
	}
	return out
}

// peerEntries returns the addresses of at most limit other live entries.
func (f *fleet) peerEntries(limit int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, m := range f.members {
		if len(out) == limit {
			break
		}
		if m.instance.Role == string(settings.RoleEntry) && m.instance.Name != f.settings.Instance && m.missed < maxMissedReports {
			out = append(out, m.instance.PeerAddr)
		}
	}
	return out
}

// holdsAny reports whether a sidecar held an attempt of one of the jobs at its
// last report.
func (f *fleet) holdsAny(jobs []batch.JobView) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		for _, j := range jobs {
			if m.jobs[j.ID] {
				return true
			}
		}
	}
	return false
}

// entryCount returns the number of live entries, including this one.
func (f *fleet) entryCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.liveEntries())
}

// invalidateEntries discards the cached live entries; the caller holds mu.
func (f *fleet) invalidateEntries() { f.live, f.hash = nil, nil }

// liveEntries returns the names of all live entries, including this one; the
// caller holds mu.
func (f *fleet) liveEntries() []string {
	if f.live != nil {
		return f.live
	}
	names := []string{f.settings.Instance}
	for name, m := range f.members {
		live := m.instance.Role == string(settings.RoleEntry) && m.missed < maxMissedReports && !m.draining && !m.leaving
		if live && name != f.settings.Instance {
			names = append(names, name)
		}
	}
	f.live = names
	return names
}

// owns reports whether this entry owns a task: whether it comes first in
// rendezvous order among the live entries.
func (f *fleet) owns(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownsLocked(task)
}

// ownsLocked is owns for callers that hold mu.
func (f *fleet) ownsLocked(task string) bool {
	if f.hash == nil {
		f.hash = rendezvous.New(f.liveEntries(), xxhash.Sum64String)
	}
	return f.hash.Lookup(task) == f.settings.Instance
}
