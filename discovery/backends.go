package discovery

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// Change is a change of the registration of one backend server.
type Change struct {
	Backend catalog.Backend
	// Kind is one of Registered, DrainStarted, Lapsed, Returned, Removed, Refused and Outdated.
	Kind string
	// Cause is why a record was refused. Backend then holds only its key as the id.
	Cause error
}

// The kinds of changes.
const (
	// Registered: the backend server has been registered, or its registration has
	// changed.
	Registered = "seen"
	// DrainStarted: the backend server drains; it accepts no new requests.
	DrainStarted = "leaving"
	// Lapsed: the registration has disappeared; the grace period begins.
	Lapsed = "lapsed"
	// Returned: a lapsed backend server has been registered again.
	Returned = "returned"
	// Removed: the grace period has ended without a new registration.
	Removed = "gone"
	// Refused: a record names no backend server to use.
	Refused = "refused"
	// Outdated: a record is older than what is known of its backend server and was ignored. Backend is what it says.
	Outdated = "outdated"
)

// maxRefused bounds the memory for keys whose records were refused.
const maxRefused = 1 << 10

const (
	// OutageGrace is how long a backend server may still receive requests after its
	// registration has disappeared in a store outage: the servers that are still
	// running are registered again within two seconds of the end of the outage.
	OutageGrace = 2 * time.Second
	// DefaultGrace is the grace period while the store is available: the backend
	// server has been stopped or has died.
	DefaultGrace = 500 * time.Millisecond
	// outageAftermath is the time after a store outage in which a registration that
	// disappears is still attributed to the outage.
	outageAftermath = 3 * time.Second
)

// Backends holds the registered backend servers. It implements keyedlog.View and keyedlog.Filter
// and is safe for concurrent use.
type Backends struct {
	decode  func(id string, raw []byte) (catalog.Backend, error)
	changed func(Change)
	now     func() time.Time
	// loaded is closed once a backend server is known.
	loaded   chan struct{}
	loadOnce sync.Once

	mu        sync.RWMutex
	byID      map[string]*registration
	byService map[string][]catalog.Backend
	// starts holds what is known of the servers' starts, also without a registration.
	starts starts
	// removed is when the last backend server with a software was removed.
	removed map[catalog.Software]time.Time
	// refused holds the keys whose newest record was refused, so that a record that is written again
	// and again is reported once.
	refused map[string]bool
	// unavailable states that the store does not respond; availableAt is when it last
	// became available again.
	unavailable bool
	availableAt time.Time
}

type registration struct {
	backend catalog.Backend
	record  keyedlog.Record
	// leaving states that the backend server is known to drain, though the record says that it is ready.
	leaving bool
	// lapsedAt is when the registration disappeared; zero while it is present.
	lapsedAt time.Time
	// removeAt is when a lapsed backend server is removed.
	removeAt time.Time
}

// NewBackends returns an empty view. changed is called from the goroutine of the
// follower or from Expire.
func NewBackends(decode func(id string, raw []byte) (catalog.Backend, error), changed func(Change), now func() time.Time) *Backends {
	return &Backends{
		decode: decode, changed: changed, now: now, loaded: make(chan struct{}),
		byID: make(map[string]*registration), byService: make(map[string][]catalog.Backend), starts: make(starts),
		removed: make(map[catalog.Software]time.Time), refused: make(map[string]bool),
	}
}

// Loaded returns a channel that is closed once a backend server is known.
func (b *Backends) Loaded() <-chan struct{} { return b.loaded }

// OfService returns the backend servers of a service. The caller must not modify the
// slice.
func (b *Backends) OfService(service string) []catalog.Backend {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.byService[service]
}

// OnlySoftware returns the software of a service if all of its backend servers run the same
// one, and none that ran another has been removed in the last window.
func (b *Backends) OnlySoftware(service string, window time.Duration) (s catalog.Software, only bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, backend := range b.byService[service] {
		if s.Known() && !backend.Runs(s) {
			return catalog.Software{}, false
		}
		s = backend.Software()
	}
	now := b.now()
	for other, at := range b.removed {
		if other.Service == service && other != s && now.Sub(at) < window {
			return catalog.Software{}, false
		}
	}
	return s, s.Known()
}

// RecentSoftware returns the software of all backend servers that are registered or have been removed
// in the last window, as far as it is known.
func (b *Backends) RecentSoftware(window time.Duration) map[catalog.Software]bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	recent := make(map[catalog.Software]bool)
	for _, reg := range b.byID {
		if s := reg.backend.Software(); s.Known() {
			recent[s] = true
		}
	}
	now := b.now()
	for s, at := range b.removed {
		if s.Known() && now.Sub(at) < window {
			recent[s] = true
		}
	}
	return recent
}

// Zone returns the availability zone of a backend server; it is empty if the server is not known.
func (b *Backends) Zone(id string) string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if reg := b.byID[id]; reg != nil {
		return reg.backend.Zone
	}
	return ""
}

// ForEach calls f for each backend server.
func (b *Backends) ForEach(f func(catalog.Backend)) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, list := range b.byService {
		for _, backend := range list {
			f(backend)
		}
	}
}

// Records returns the records of the backend servers that are registered and have not said that they
// drain: their records may not say so.
func (b *Backends) Records() []keyedlog.Record {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var records []keyedlog.Record
	for _, reg := range b.byID {
		if reg.lapsedAt.IsZero() && !reg.leaving {
			records = append(records, reg.record)
		}
	}
	return records
}

// Len returns the number of backend servers.
func (b *Backends) Len() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.byID)
}

// Rebuild implements keyedlog.View. A backend server without a record lapses.
func (b *Backends) Rebuild(records []keyedlog.Record) {
	b.update(func() []Change {
		var changes []Change
		present := make(map[string]bool, len(records))
		for _, r := range records {
			present[r.Key] = r.Value != nil
			changes = append(changes, b.put(r)...)
		}
		for id := range b.byID {
			if !present[id] {
				changes = append(changes, b.lapse(id)...)
			}
		}
		return changes
	})
}

// Apply implements keyedlog.View.
func (b *Backends) Apply(records []keyedlog.Record) {
	b.update(func() []Change {
		var changes []Change
		for _, r := range records {
			changes = append(changes, b.put(r)...)
		}
		return changes
	})
}

// SetStoreUnavailable records whether the store is unavailable.
func (b *Backends) SetStoreUnavailable(unavailable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unavailable && !unavailable {
		b.availableAt = b.now()
	}
	b.unavailable = unavailable
}

// grace returns how long the backend server of a registration that disappears now is
// kept. The caller holds the lock.
func (b *Backends) grace(now time.Time) time.Duration {
	if b.unavailable || !b.availableAt.IsZero() && now.Sub(b.availableAt) < outageAftermath {
		return OutageGrace
	}
	return DefaultGrace
}

// Expire removes the backend servers whose grace period has ended without a new
// registration, and forgets starts that have long gone.
func (b *Backends) Expire() {
	b.update(func() []Change {
		var changes []Change
		now := b.now()
		for id, reg := range b.byID {
			if !reg.lapsedAt.IsZero() && !now.Before(reg.removeAt) {
				delete(b.byID, id)
				b.starts.gone(id, now)
				b.removed[reg.backend.Software()] = now
				changes = append(changes, Change{Backend: reg.backend, Kind: Removed})
			}
		}
		b.starts.forget(now, func(id string) bool { return b.byID[id] != nil })
		return changes
	})
}

// update runs f under the lock. It reports the changes that f returns after it has
// released the lock.
func (b *Backends) update(f func() []Change) {
	b.mu.Lock()
	changes := f()
	if len(changes) > 0 {
		b.index()
		if len(b.byID) > 0 {
			b.loadOnce.Do(func() { close(b.loaded) })
		}
	}
	b.mu.Unlock()
	for _, c := range changes {
		b.changed(c)
	}
}

// put applies one record. A record that cannot be decoded has the effect of a tombstone.
// The caller holds the lock.
func (b *Backends) put(r keyedlog.Record) []Change {
	if r.Value == nil {
		delete(b.refused, r.Key)
		return b.lapse(r.Key)
	}
	backend, err := b.decode(r.Key, r.Value)
	if err != nil {
		return append(b.lapse(r.Key), b.refuse(r.Key, err)...)
	}
	delete(b.refused, r.Key)
	now := b.now()
	if b.starts.outdated(backend, now) {
		return []Change{{Backend: backend, Kind: Outdated}}
	}
	old := b.byID[r.Key]
	leaving := b.starts.record(backend, now) && backend.State != catalog.Draining
	if leaving {
		backend.State = catalog.Draining
	}
	if old != nil && old.backend.Software() != backend.Software() {
		b.removed[old.backend.Software()] = now
	}
	b.byID[r.Key] = &registration{backend: backend, record: r, leaving: leaving}
	switch {
	case old == nil:
		return []Change{{Backend: backend, Kind: Registered}}
	case !old.lapsedAt.IsZero():
		return []Change{{Backend: backend, Kind: Returned}}
	case old.backend.State != backend.State && backend.State == catalog.Draining:
		return []Change{{Backend: backend, Kind: DrainStarted}}
	case !old.backend.Renews(backend):
		return []Change{{Backend: backend, Kind: Registered}}
	}
	return nil
}

// refuse returns the change for a record that names no backend server to use. The caller holds the
// lock.
func (b *Backends) refuse(key string, cause error) []Change {
	if b.refused[key] || len(b.refused) >= maxRefused {
		return nil
	}
	b.refused[key] = true
	return []Change{{Backend: catalog.Backend{ID: key}, Kind: Refused, Cause: cause}}
}

// lapse starts the grace period of a registration that has disappeared. The caller holds
// the lock.
func (b *Backends) lapse(id string) []Change {
	reg := b.byID[id]
	if reg == nil || !reg.lapsedAt.IsZero() {
		return nil
	}
	reg.lapsedAt = b.now()
	b.starts.sign(id, reg.lapsedAt)
	reg.removeAt = reg.lapsedAt.Add(b.grace(reg.lapsedAt))
	return []Change{{Backend: reg.backend, Kind: Lapsed}}
}

// index rebuilds byService from byID. The caller holds the lock.
func (b *Backends) index() {
	b.byService = make(map[string][]catalog.Backend)
	for _, reg := range b.byID {
		b.byService[reg.backend.Service] = append(b.byService[reg.backend.Service], reg.backend)
	}
	for _, list := range b.byService {
		slices.SortFunc(list, func(x, y catalog.Backend) int { return cmp.Compare(x.ID, y.ID) })
	}
}
