package entry

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/catkinrudder/catkinrudder/batch"
	"github.com/catkinrudder/catkinrudder/settings"
)

// The duties that one entry carries for all.
const (
	renewConfiguration = "renew/configuration"
	renewClaims        = "renew/claims"
)

// batchDuty is the duty of the owner of a batch shard.
func batchDuty(shard int) string { return "batch/" + strconv.Itoa(shard) }

// placementDuty is the duty of the entry that decides what a service's backend
// servers load.
func placementDuty(service string) string { return "placement/" + service }

// duties lists every duty, given the services whose models are placed.
func duties(placed []string) []string {
	out := []string{renewConfiguration, renewClaims}
	for i := range batchShards {
		out = append(out, batchDuty(i))
	}
	for _, service := range placed {
		out = append(out, placementDuty(service))
	}
	return out
}

// placed lists the services whose models are placed.
func (f *fleet) placed() []string {
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

// peerEntries returns the addresses of up to most other live entries.
func (f *fleet) peerEntries(most int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, m := range f.members {
		if len(out) == most {
			break
		}
		if m.instance.Role == string(settings.RoleEntry) && m.instance.Name != f.settings.Instance && m.missed < missedReports {
			out = append(out, m.instance.PeerAddr)
		}
	}
	return out
}

// holdsAny reports whether some sidecar held an attempt of one of the jobs.
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

// entries is how many entries are live, this one included.
func (f *fleet) entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.liveEntries())
}

// entriesChanged makes the live entries be found again; the caller holds mu.
func (f *fleet) entriesChanged() { f.live, f.ring = nil, nil }

// liveEntries names this entry and the live others; the caller holds mu.
func (f *fleet) liveEntries() []string {
	if f.live != nil {
		return f.live
	}
	names := []string{f.settings.Instance}
	for name, m := range f.members {
		live := m.instance.Role == string(settings.RoleEntry) && m.missed < missedReports && !m.draining && !m.leaving
		if live && name != f.settings.Instance {
			names = append(names, name)
		}
	}
	f.live = names
	return names
}

// owns reports whether this entry is the one that carries a duty: the first in
// rendezvous order over the live entries.
func (f *fleet) owns(duty string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownsLocked(duty)
}

// ownsLocked is owns for a caller that holds mu.
func (f *fleet) ownsLocked(duty string) bool {
	if f.ring == nil {
		f.ring = rendezvous.New(f.liveEntries(), xxhash.Sum64String)
	}
	return f.ring.Lookup(duty) == f.settings.Instance
}
