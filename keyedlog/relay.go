package keyedlog

import (
	"context"
	"sync"
	"time"
)

// relayHistory is the number of changes that a relay retains.
const relayHistory = 4096

// Relay forwards records from a follower to its view and serves them to other readers of
// the same partition, so that not every reader has to read from the log service. Its view
// and its readers only get records whose canonical form has changed: a registration that is
// renewed unchanged costs them nothing. It is safe for concurrent use; the methods of
// View are called by the follower only.
type Relay struct {
	view View
	// filter is the view as a Filter, or nil if it is none.
	filter Filter
	// canonical returns the canonical form of a value, which is comparable.
	canonical func(value []byte) any

	mu     sync.Mutex
	newest map[string]entry
	// changes holds the records from offset first on that changed a canonical form.
	changes     []Record
	first, next int64
	// version counts the changes of newest.
	version int64
	// direct reports whether the follower's last response came from the log service
	// itself.
	direct  bool
	changed chan struct{}
}

// entry is a record with the canonical form of its value.
type entry struct {
	record    Record
	canonical any
}

// NewRelay returns a relay in front of view. Values with equal canonical
// forms are equivalent.
func NewRelay(view View, canonical func(value []byte) any) *Relay {
	filter, _ := view.(Filter)
	return &Relay{view: view, filter: filter, canonical: canonical, newest: make(map[string]entry), changed: make(chan struct{})}
}

// current returns the records that the filter lets pass.
func (r *Relay) current(records []Record) []Record {
	if r.filter == nil {
		return records
	}
	return r.filter.Current(records)
}

// Rebuild implements View.
func (r *Relay) Rebuild(records []Record) {
	records = r.current(records)
	r.view.Rebuild(records)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = make(map[string]entry, len(records))
	for _, record := range records {
		r.newest[record.Key] = entry{record, r.canonical(record.Value)}
	}
	// The follower sets the offset up to which the rebuilt view is complete next.
	r.changes, r.first, r.next = nil, -1, -1
	r.version++
	r.wake()
}

// Apply implements View.
func (r *Relay) Apply(records []Record) {
	if r.filter == nil {
		r.forward(records)
		return
	}
	for i := range records { // the filter learns from each record
		r.forward(r.current(records[i : i+1]))
	}
}

// forward stores records and applies those that change a canonical form to the view.
func (r *Relay) forward(records []Record) {
	if changes := r.store(records); len(changes) > 0 {
		r.view.Apply(changes)
	}
}

// store stores the records that change a canonical form and returns them.
func (r *Relay) store(records []Record) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Record
	for _, record := range records {
		if r.update(record) {
			changes = append(changes, record)
		}
	}
	r.changes = append(r.changes, changes...)
	r.version += int64(len(changes))
	if drop := len(r.changes) - relayHistory; drop > 0 {
		r.first = r.changes[drop-1].Offset + 1
		r.changes = append([]Record(nil), r.changes[drop:]...)
	}
	return changes
}

// update stores a record and reports whether it changes the canonical form of its key.
// The caller holds mu.
func (r *Relay) update(record Record) bool {
	old, known := r.newest[record.Key]
	if record.Value == nil {
		delete(r.newest, record.Key)
		return known
	}
	canonical := r.canonical(record.Value)
	if known && old.canonical == canonical {
		return false
	}
	r.newest[record.Key] = entry{record, canonical}
	return true
}

// Advance sets the offset up to which the view is complete, and whether it was read
// from the log service itself.
func (r *Relay) Advance(next int64, direct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.first < 0 {
		r.first = next
	}
	hasNew := len(r.changes) > 0 && r.changes[len(r.changes)-1].Offset >= r.next
	r.next, r.direct = next, direct
	if hasNew || !direct {
		r.wake()
	}
}

// wake wakes waiting readers; the caller holds mu.
func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Newest returns the newest record of each key. As long as the version is the same,
// an older page is equivalent, because nothing has changed since its end. Newest returns
// ErrRefused unless the relay itself reads the log service.
func (r *Relay) Newest() (page Page, version int64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.direct || r.next < 0 {
		return Page{}, 0, ErrRefused
	}
	page = Page{End: r.next}
	for _, m := range r.newest {
		page.Records = append(page.Records, m.record)
	}
	return page, r.version, nil
}

// Read returns the changes from an offset on, and waits up to wait for one if there
// is none. It returns ErrRefused unless the relay itself reads the log service.
func (r *Relay) Read(ctx context.Context, from int64, wait time.Duration) (History, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		h, changed, err := r.read(from)
		if err != nil || len(h.Records) > 0 {
			return h, err
		}
		select {
		case <-changed:
		case <-t.C:
			return h, nil
		case <-ctx.Done():
			return h, ctx.Err()
		}
	}
}

func (r *Relay) read(from int64) (History, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.direct || r.next < 0:
		return History{}, nil, ErrRefused
	case from < r.first:
		return History{}, nil, ErrTruncated
	case from > r.next:
		// The reader is ahead because it has read from the service itself.
		return History{Next: from, End: from}, r.changed, nil
	}
	h := History{Next: r.next, End: r.next}
	for _, record := range r.changes {
		// Records that the follower has not completed follow with the next response.
		if record.Offset >= from && record.Offset < r.next {
			h.Records = append(h.Records, record)
		}
	}
	return h, r.changed, nil
}
