// Package ratelimit keeps the requests that all gateways together send to a backend server within
// the limit that the server names.
package ratelimit

import (
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/serving"
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

// Table holds the limits of backend servers by their ids. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	limits map[string]Limit
	// malformed holds the last value of each server that could not be read.
	malformed map[string]string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{limits: make(map[string]Limit), malformed: make(map[string]string)}
}

// Observe records what a response says. It returns the limit, and whether it has changed.
func (t *Table) Observe(server string, l Limit) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.limits[server]
	if !known && !l.Named {
		return false
	}
	t.limits[server] = l
	return !old.same(l)
}

// ObserveMalformed records a limit that can't be read. It reports whether it is a new one.
func (t *Table) ObserveMalformed(server string, l serving.RateLimit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.malformed[server]
	t.malformed[server] = l.Text
	return !known || old != l.Text
}

// Remove drops the state of a backend server.
func (t *Table) Remove(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.limits, server)
	delete(t.malformed, server)
}
