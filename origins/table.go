// Package origins remembers which software began the streams of callers, so that a stream
// that a caller resumes later can go on at the same software.
package origins

import (
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/internal/recent"
)

const (
	// Retention is the least time for which an origin is remembered. Callers resume a
	// stream within the timeout of its route, which is shorter.
	Retention = 30 * time.Second
	// maxEntries bounds the memory of a table.
	maxEntries = 1 << 16
)

// Table holds the origins of streams by the id of the caller's attempt that brought the first
// event. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	byID *recent.Map[string, catalog.Software]
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byID: recent.New[string, catalog.Software](Retention, maxEntries)}
}

// Record remembers the software that began the stream of the attempt id. The first record of
// an id counts, as the first event of a stream is sent once.
func (t *Table) Record(id string, s catalog.Software, now time.Time) {
	if id == "" || !s.Known() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.byID.Get(id, now); !known {
		t.byID.Put(id, s, now)
	}
}

// Lookup returns the software that began the stream of the attempt id, if it is known.
func (t *Table) Lookup(id string, now time.Time) (s catalog.Software, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID.Get(id, now)
}
