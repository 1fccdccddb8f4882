package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/serving"
)

const (
	// toldTTL is how long what a backend server told of its load counts.
	toldTTL = 600 * time.Millisecond
	// toldSlack is the difference to the known load that delays alone explain.
	toldSlack = 1
)

// told is what a backend server said of its load beyond what the entries report:
// attempts of an entry that has died, which the backend server has not noticed.
type told struct {
	hidden int
	until  time.Time
}

// ObserveLoad notes the load that a backend server told in an answer.
func (t *Table) ObserveLoad(id string, l serving.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	hidden := l.Running + l.Waiting - t.load(id, now).total() - toldSlack
	if hidden <= 0 {
		delete(t.told, id)
		return
	}
	t.told[id] = told{hidden: min(hidden, l.Running+l.Waiting), until: now.Add(toldTTL)}
}

// hidden returns the attempts at a backend server that no entry reports.
func (t *Table) hidden(id string, now time.Time) int {
	if h, ok := t.told[id]; ok && now.Before(h.until) {
		return h.hidden
	}
	return 0
}
