// Package origins remembers which software began the streams of callers, so that a stream
// that a caller resumes later can go on at the same software.
package origins

import (
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

const (
	// Retention is the least time for which an origin is remembered. Callers resume a
	// stream within the timeout of its route, which is shorter.
	Retention = 30 * time.Second
	// maxEntries bounds the memory of a table. The oldest half is dropped beyond it.
	maxEntries = 1 << 16
)

// Table holds the origins of streams by the id of the caller's attempt that brought the first
// event. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// current is filled until rotatedAt is Retention ago, and is previous from then on.
	current, previous map[string]catalog.Software
	rotatedAt         time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{current: make(map[string]catalog.Software)} }

// Record remembers the software that began the stream of the attempt id. The first record of
// an id counts, as the first event of a stream is sent once.
func (t *Table) Record(id string, s catalog.Software, now time.Time) {
	if id == "" || !s.Known() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.rotatedAt) >= Retention || len(t.current) >= maxEntries/2 {
		if now.Sub(t.rotatedAt) >= 2*Retention {
			t.current = nil
		}
		t.previous, t.current, t.rotatedAt = t.current, make(map[string]catalog.Software), now
	}
	if _, known := t.lookup(id); !known {
		t.current[id] = s
	}
}

// Lookup returns the software that began the stream of the attempt id, if it is known.
func (t *Table) Lookup(id string) (s catalog.Software, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lookup(id)
}

func (t *Table) lookup(id string) (s catalog.Software, known bool) {
	if s, known = t.current[id]; known {
		return s, true
	}
	s, known = t.previous[id]
	return s, known
}
