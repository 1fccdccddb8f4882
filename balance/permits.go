package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// denial states that a backend server that names a limit takes no more attempts of a class for now.
type denial struct {
	// until is when a permit may be requested again, expected when one is probably free.
	until, expected time.Time
}

// denialKey is a backend server and the class of the attempts that it does not take.
type denialKey struct {
	id    string
	class Class
}

// RecordDenial records that a backend server takes no attempts of a class until the time until.
// expected is when it probably takes the next one of this gateway.
func (t *Table) RecordDenial(id string, c Class, until, expected time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.denials[denialKey{id, c}] = denial{until, expected}
}

// ClearDenial records that a backend server takes attempts of a class again.
func (t *Table) ClearDenial(id string, c Class) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.denials, denialKey{id, c})
	t.wake()
}

// removeDenials drops the denials of a backend server. The caller holds mu.
func (t *Table) removeDenials(id string) {
	for c := range numClasses {
		delete(t.denials, denialKey{id, c})
	}
}

// denied reports whether a backend server takes no attempts of a class. The caller holds mu.
func (t *Table) denied(id string, c Class, now time.Time) bool {
	if len(t.denials) == 0 {
		return false
	}
	d, found := t.denials[denialKey{id, c}]
	return found && now.Before(d.until)
}

// NextPermit returns when one of the candidates probably takes a request, if nothing but the limits
// that they name stands in its way.
func (t *Table) NextPermit(candidates []catalog.Backend, req Requirements, now time.Time) (at time.Time, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.denials) == 0 {
		return time.Time{}, false
	}
	for _, b := range candidates {
		if b.State != catalog.Ready || req.excludes(b) {
			continue
		}
		d, found := t.denials[denialKey{b.ID, req.Class}]
		if !found || !now.Before(d.until) {
			return time.Time{}, false
		}
		if !limited || d.expected.Before(at) {
			at, limited = d.expected, true
		}
	}
	return at, limited
}
