// Package recent provides a map that forgets its entries some time after they were added, at
// constant cost per operation.
package recent

import "time"

// Map holds entries for a retention. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	retention  time.Duration
	maxEntries int
	// current is filled until it is retention old, and is previous from then on.
	current, previous map[K]V
	rotatedAt         time.Time
}

// New returns an empty map that keeps entries for at least retention and less than twice as
// long. Beyond maxEntries the older half is dropped earlier.
func New[K comparable, V any](retention time.Duration, maxEntries int) *Map[K, V] {
	return &Map[K, V]{retention: retention, maxEntries: maxEntries}
}

// Put adds or renews an entry.
func (m *Map[K, V]) Put(key K, value V, now time.Time) {
	m.rotate(now)
	switch {
	case m.current == nil:
		m.current = make(map[K]V)
	case len(m.current) >= m.maxEntries/2:
		m.previous, m.current, m.rotatedAt = m.current, make(map[K]V), now
	}
	m.current[key] = value
}

// Get returns the value of an entry, if it is held.
func (m *Map[K, V]) Get(key K, now time.Time) (value V, found bool) {
	m.rotate(now)
	if value, found = m.current[key]; found {
		return value, true
	}
	value, found = m.previous[key]
	return value, found
}

// Delete removes an entry.
func (m *Map[K, V]) Delete(key K) {
	delete(m.current, key)
	delete(m.previous, key)
}

// Update replaces the value of each entry by that which f returns, or removes the entry if keep is
// false.
func (m *Map[K, V]) Update(f func(key K, value V) (updated V, keep bool)) {
	for _, entries := range []map[K]V{m.current, m.previous} {
		for key, value := range entries {
			if updated, keep := f(key, value); keep {
				entries[key] = updated
			} else {
				delete(entries, key)
			}
		}
	}
}

// Len returns the number of entries; renewed ones may count twice.
func (m *Map[K, V]) Len() int { return len(m.current) + len(m.previous) }

func (m *Map[K, V]) rotate(now time.Time) {
	age := now.Sub(m.rotatedAt)
	switch {
	case age < m.retention:
	case age < 2*m.retention:
		m.previous, m.current, m.rotatedAt = m.current, nil, now
	default:
		m.previous, m.current, m.rotatedAt = nil, nil, now
	}
}
