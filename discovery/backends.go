package discovery

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// Change tells of one backend server.
type Change struct {
	Backend catalog.Backend
	// What is one of Seen, Leaving, Lapsed, Returned and Gone.
	Kind string
}

// What happened to a backend server.
const (
	Registered   = "seen"
	DrainStarted = "leaving"
	Lapsed       = "lapsed"
	Returned     = "returned"
	Removed      = "gone"
)

const (
	// OutageGrace is how long a backend server may still get work whose
	// registration has vanished while the store was away: those that live are
	// registered again within two seconds of its return.
	OutageGrace = 2 * time.Second
	// DefaultGrace is the same while the store has been there: the backend server
	// has left or died.
	DefaultGrace = 500 * time.Millisecond
	// outageEcho is for how long after its return the store's absence explains
	// a registration that vanishes.
	outageEcho = 3 * time.Second
)

// Backends holds the registered backend servers. It implements keyedlog.View
// and is safe for concurrent use.
type Backends struct {
	decode  func(id string, raw []byte) (catalog.Backend, error)
	changed func(Change)
	now     func() time.Time

	mu        sync.RWMutex
	byID      map[string]*entry
	byService map[string][]catalog.Backend
	// away says that the store does not answer, returnedAt when it last
	// answered again.
	away       bool
	returnedAt time.Time
}

type entry struct {
	backend catalog.Backend
	record  keyedlog.Record
	// lapsedAt is when the registration vanished; zero while it is there.
	lapsedAt time.Time
	// goneAt is when it then counts as gone.
	goneAt time.Time
}

// NewBackends returns an empty view. changed is called from the follower's
// goroutine or from Expire.
func NewBackends(decode func(id string, raw []byte) (catalog.Backend, error), changed func(Change), now func() time.Time) *Backends {
	return &Backends{
		decode: decode, changed: changed, now: now,
		byID: make(map[string]*entry), byService: make(map[string][]catalog.Backend),
	}
}

// OfService returns the backend servers of a service. The slice is not to be changed.
func (b *Backends) OfService(service string) []catalog.Backend {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.byService[service]
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

// Records returns the records of the backend servers that are registered.
func (b *Backends) Records() []keyedlog.Record {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var records []keyedlog.Record
	for _, e := range b.byID {
		if e.lapsedAt.IsZero() {
			records = append(records, e.record)
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

// Rebuild implements keyedlog.View. What is not among the records has lapsed.
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

// SetStoreUnavailable notes that the store does not answer, or does again.
func (b *Backends) SetStoreUnavailable(away bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.away && !away {
		b.returnedAt = b.now()
	}
	b.away = away
}

// grace returns how long a registration that vanishes now may come back. The
// caller holds the lock.
func (b *Backends) grace(now time.Time) time.Duration {
	if b.away || !b.returnedAt.IsZero() && now.Sub(b.returnedAt) < outageEcho {
		return OutageGrace
	}
	return DefaultGrace
}

// Expire removes backend servers whose registration has been missing for its
// grace.
func (b *Backends) Expire() {
	b.update(func() []Change {
		var changes []Change
		now := b.now()
		for id, e := range b.byID {
			if !e.lapsedAt.IsZero() && !now.Before(e.goneAt) {
				delete(b.byID, id)
				changes = append(changes, Change{e.backend, Removed})
			}
		}
		return changes
	})
}

// update runs f under the lock and tells of its changes.
func (b *Backends) update(f func() []Change) {
	b.mu.Lock()
	changes := f()
	if len(changes) > 0 {
		b.index()
	}
	b.mu.Unlock()
	for _, c := range changes {
		b.changed(c)
	}
}

func (b *Backends) put(r keyedlog.Record) []Change {
	if r.Value == nil {
		return b.lapse(r.Key)
	}
	backend, err := b.decode(r.Key, r.Value)
	if err != nil {
		return b.lapse(r.Key) // the entry names no backend server to use
	}
	old := b.byID[r.Key]
	b.byID[r.Key] = &entry{backend: backend, record: r}
	switch {
	case old == nil:
		return []Change{{backend, Registered}}
	case !old.lapsedAt.IsZero():
		return []Change{{backend, Returned}}
	case old.backend.State != backend.State && backend.State == catalog.Draining:
		return []Change{{backend, DrainStarted}}
	case old.backend != backend:
		return []Change{{backend, Registered}}
	}
	return nil
}

func (b *Backends) lapse(id string) []Change {
	e := b.byID[id]
	if e == nil || !e.lapsedAt.IsZero() {
		return nil
	}
	e.lapsedAt = b.now()
	e.goneAt = e.lapsedAt.Add(b.grace(e.lapsedAt))
	return []Change{{e.backend, Lapsed}}
}

func (b *Backends) index() {
	b.byService = make(map[string][]catalog.Backend)
	for _, e := range b.byID {
		b.byService[e.backend.Service] = append(b.byService[e.backend.Service], e.backend)
	}
	for _, list := range b.byService {
		slices.SortFunc(list, func(x, y catalog.Backend) int { return cmp.Compare(x.ID, y.ID) })
	}
}
