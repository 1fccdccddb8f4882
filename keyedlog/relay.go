package keyedlog

import (
	"context"
	"sync"
	"time"
)

// relayHistory is the number of changes that a relay keeps.
const relayHistory = 4096

// Relay stands between a follower and its view, and serves what passes to other
// readers of the same partition, so that not each of them has to read the service.
// Its view and its readers get only records that say something new: a registration
// that is renewed unchanged costs them nothing. It is safe for concurrent use; the View's
// methods are called by the follower alone.
type Relay struct {
	view View
	// meaning returns what a value says, in a comparable form.
	meaning func(value []byte) any

	mu     sync.Mutex
	newest map[string]meant
	// changes are the records from offset first on that said something new.
	changes     []Record
	first, next int64
	// version counts the changes of newest.
	version int64
	// direct says that the follower's last answer came from the service itself.
	direct  bool
	changed chan struct{}
}

// meant is a record with what its value says.
type meant struct {
	record  Record
	meaning any
}

// NewRelay returns a relay in front of view. Values with equal meanings say the same.
func NewRelay(view View, meaning func(value []byte) any) *Relay {
	return &Relay{view: view, meaning: meaning, newest: make(map[string]meant), changed: make(chan struct{})}
}

// Rebuild implements View.
func (r *Relay) Rebuild(records []Record) {
	r.view.Rebuild(records)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = make(map[string]meant, len(records))
	for _, record := range records {
		r.newest[record.Key] = meant{record, r.meaning(record.Value)}
	}
	// What was rebuilt is complete up to an offset that the follower tells next.
	r.changes, r.first, r.next = nil, -1, -1
	r.version++
	r.wake()
}

// Apply implements View.
func (r *Relay) Apply(records []Record) {
	if news := r.take(records); len(news) > 0 {
		r.view.Apply(news)
	}
}

// take keeps the records that say something new and returns them.
func (r *Relay) take(records []Record) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var news []Record
	for _, record := range records {
		if r.isNew(record) {
			news = append(news, record)
		}
	}
	r.changes = append(r.changes, news...)
	r.version += int64(len(news))
	if drop := len(r.changes) - relayHistory; drop > 0 {
		r.first = r.changes[drop-1].Offset + 1
		r.changes = append([]Record(nil), r.changes[drop:]...)
	}
	return news
}

// isNew enters a record and reports whether it says something new; the caller holds
// mu.
func (r *Relay) isNew(record Record) bool {
	old, known := r.newest[record.Key]
	if record.Value == nil {
		delete(r.newest, record.Key)
		return known
	}
	meaning := r.meaning(record.Value)
	if known && old.meaning == meaning {
		return false
	}
	r.newest[record.Key] = meant{record, meaning}
	return true
}

// Advance tells up to which offset the view is complete, and whether that was
// learned from the service itself.
func (r *Relay) Advance(next int64, direct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.first < 0 {
		r.first = next
	}
	grown := len(r.changes) > 0 && r.changes[len(r.changes)-1].Offset >= r.next
	r.next, r.direct = next, direct
	if grown || !direct {
		r.wake()
	}
}

// wake lets readers look again; the caller holds mu.
func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Newest returns the newest record of each key. While the version stays, an older
// page is as good: nothing has changed since its end. It returns ErrRefused unless
// the relay itself reads the service.
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

// Read returns the changes from an offset on, and waits for one if there is none.
// It returns ErrRefused unless the relay itself reads the service.
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
		// The reader is ahead, as it has read the service itself.
		return History{Next: from, End: from}, r.changed, nil
	}
	h := History{Next: r.next, End: r.next}
	for _, record := range r.changes {
		// What the follower has not finished with comes with the next answer.
		if record.Offset >= from && record.Offset < r.next {
			h.Records = append(h.Records, record)
		}
	}
	return h, r.changed, nil
}
