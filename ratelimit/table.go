// Package ratelimit keeps the requests that all gateways together send to a backend server within
// the limit that the server names.
//
// One gateway, the owner, hands out the permits of each server; all gateways choose the same one
// by the id of the server. Before a request is sent to a server that names a limit, its gateway gets
// a permit from the owner. While no owner responds, nothing is sent there. If only a part of the
// gateways is in reach of one another, each part hands out its share of the limit.
package ratelimit

import (
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/serving"
)

const (
	// reorderTime is the time by which responses of one server may be received in another order
	// than they were sent in. Of two that contradict each other within it, the stricter one counts.
	reorderTime = 250 * time.Millisecond
	// endedMemory is how long it is remembered that a limit has ended, so that older reports of
	// it are recognized.
	endedMemory = 10 * time.Second
	// permitTTL is how long a gateway may use a permit. It bounds the permits of a server that
	// are out at any time.
	permitTTL = 200 * time.Millisecond
)

// Limit is a limit that a backend server names.
type Limit struct {
	// Named is false if the server names none.
	Named bool
	// PerSecond is the number of requests a second that the server takes from all gateways
	// together.
	PerSecond float64
	// At is when the head of the response that says so was received.
	At time.Time
}

// same reports whether two limits allow the same.
func (l Limit) same(other Limit) bool {
	return l.Named == other.Named && l.PerSecond == other.PerSecond
}

// stricter reports whether l allows less than other.
func (l Limit) stricter(other Limit) bool {
	return l.Named && (!other.Named || l.PerSecond < other.PerSecond)
}

// replaces reports whether l counts rather than the limit old.
func (l Limit) replaces(old Limit) bool {
	if l.stricter(old) {
		return !l.At.Before(old.At.Add(-reorderTime))
	}
	return l.At.After(old.At.Add(reorderTime))
}

// permitKey is a server and the class of the requests for which permits hold.
type permitKey struct {
	server string
	batch  bool
}

// permits are those that this gateway may use until a time.
type permits struct {
	n     int
	until time.Time
}

// Table holds the limits of backend servers by their ids, the permits that this gateway has got and
// those that it hands out. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	limits map[string]Limit
	// malformed holds the last value of each server that could not be read.
	malformed map[string]string
	permits   map[permitKey]permits
	buckets   map[string]*bucket
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		limits: make(map[string]Limit), malformed: make(map[string]string),
		permits: make(map[permitKey]permits), buckets: make(map[string]*bucket),
	}
}

// Observe records what a response to this gateway says, and reports whether the limit has changed.
func (t *Table) Observe(server string, l Limit) (changed bool) { return t.set(server, l, true) }

// Merge records what another gateway knows, and reports whether the limit has changed.
func (t *Table) Merge(server string, l Limit) (changed bool) { return t.set(server, l, false) }

func (t *Table) set(server string, l Limit, own bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.limits[server]
	switch {
	case !known && !l.Named:
		return false
	case known && old.same(l):
		// The time of a report includes its way, so it says nothing about which is newer.
		if own && l.At.After(old.At) {
			t.limits[server] = l
		}
		return false
	case known && !l.replaces(old):
		return false
	}
	t.limits[server] = l
	return true
}

// Lookup returns what is known of the limit of a server. known is false if the server has named none
// lately.
func (t *Table) Lookup(server string) (l Limit, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, known = t.limits[server]
	return l, known
}

// Named returns the limits that are in force. It forgets those that ended long ago.
func (t *Table) Named(now time.Time) map[string]Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Limit)
	for server, l := range t.limits {
		switch {
		case l.Named:
			out[server] = l
		case now.Sub(l.At) > endedMemory:
			t.forget(server)
		}
	}
	return out
}

// ObserveMalformed records a limit that can't be read. It reports whether it is a new one.
func (t *Table) ObserveMalformed(server string, l serving.RateLimit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.malformed[server]
	t.malformed[server] = l.Text
	return !known || old != l.Text
}

// AddPermits adds permits that the owner has granted.
func (t *Table) AddPermits(server string, batch bool, n int, now time.Time) {
	if n <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := permitKey{server, batch}
	t.permits[key] = permits{n: n + t.usable(key, now), until: now.Add(permitTTL)}
}

// UsePermit takes a permit that this gateway holds, and reports whether there was one.
func (t *Table) UsePermit(server string, batch bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := permitKey{server, batch}
	n := t.usable(key, now)
	if n == 0 {
		delete(t.permits, key)
		return false
	}
	t.permits[key] = permits{n: n - 1, until: t.permits[key].until}
	return true
}

// usable returns how many permits this gateway holds. The caller holds mu.
func (t *Table) usable(key permitKey, now time.Time) int {
	if p := t.permits[key]; now.Before(p.until) {
		return p.n
	}
	return 0
}

// Grant takes permits for a request, at the owner. share is the part of the limit that the owner
// hands out. If it grants none, wait is the time after which the next one is probably left for this
// request.
func (t *Table) Grant(server string, batch bool, share float64, now time.Time) (granted int, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate := max(t.limits[server].PerSecond*share, minRate)
	b := t.buckets[server]
	if b == nil {
		b = &bucket{at: now}
		t.buckets[server] = b
	}
	return b.take(rate, batch, now)
}

// DropBucket forgets the permits of a server that this gateway does not own any more.
func (t *Table) DropBucket(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.buckets, server)
}

// Remove drops the state of a backend server.
func (t *Table) Remove(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(server)
	delete(t.malformed, server)
}

// forget drops the limit of a server and its permits. The caller holds mu.
func (t *Table) forget(server string) {
	delete(t.limits, server)
	delete(t.permits, permitKey{server, false})
	delete(t.permits, permitKey{server, true})
	delete(t.buckets, server)
}
