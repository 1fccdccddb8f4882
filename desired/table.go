package desired

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// Bounds on the data that a table holds.
const (
	maxHistory   = 256
	maxUndecided = 256
)

// Version is one accepted document.
type Version struct {
	// Number is the offset of the accepted record plus one.
	Number   uint64
	Base     uint64
	Author   string
	Note     string
	ID       string
	Document Document
	// Raw is the document as published.
	Raw []byte
}

// Hooks are callbacks for changes of a Table. They are called in order, without its
// lock held, and not concurrently with each other unless Apply, SkipTo and Adopt
// are called concurrently.
type Hooks struct {
	// InForce is called after a version has come into force.
	InForce func(Version)
	// Refused is called for a conflicting or invalid publication.
	Refused func(Verdict)
}

// Table is the fold of the configuration stream.
//
// A publication is accepted if its base is the version in force at its offset and
// its document is valid. The number of the accepted version is the offset plus one.
// The number of the version in force never decreases.
//
// A reader that starts after records have expired does not have the version that
// was in force at its first record. It holds publications as undecided until it
// reads a renewal whose Seen is not below that first record. Every record from Seen
// on has then been applied here, so no newer version can have been missed, and the
// publications from Seen on are decided on top of the renewed version. A renewal
// that was prepared before the first retained record proves nothing and is
// rejected: a newer version may have been accepted after it was prepared and have
// expired before it. In a table that has the version in force a renewal changes
// nothing. A stale renewal makes a new renewal due at once, so that the newest copy
// of the newest version outlives the stale one.
type Table struct {
	hooks   Hooks
	inForce atomic.Pointer[Version]

	mu      sync.Mutex
	machine *stateMachine
	changed chan struct{} // closed and replaced at each change
	// known is set once folded equals the version that a reader of the whole
	// stream would have.
	known bool
	// folded is the version in force according to the log alone. inForce can be
	// newer, because Adopt sets only inForce.
	folded Version
	// started is set by the first record or gap. start is the offset from which
	// on every record has been applied, and next the offset after the newest of
	// them. applied is set by the first record after the start or a gap.
	started     bool
	applied     bool
	start, next commitlog.Offset
	// copyAt is the offset of the newest record that carries the folded version,
	// and staleAt that of the newest renewal of an older version.
	copyAt, staleAt commitlog.Offset
	undecided       []undecidedPublication
	history         []*Verdict
	pendingHooks    []func() // called by unlockAndNotify
}

type undecidedPublication struct {
	at      commitlog.Offset
	publish PublishRecord
	verdict *Verdict
}

// NewTable returns an empty table, to which the records of Stream are applied.
func NewTable(hooks Hooks) *Table {
	return &Table{hooks: hooks, machine: newStateMachine(), changed: make(chan struct{})}
}

// InForce returns the version in force; ok is false if there is none. The result
// is shared and must not be modified.
func (t *Table) InForce() (v Version, ok bool) {
	if p := t.inForce.Load(); p != nil {
		return *p, true
	}
	return Version{}, false
}

// Known reports whether every retained publication up to the newest applied record
// is decided.
func (t *Table) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// Changed returns a channel that is closed at the next change of the table.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// History returns the newest publications in log order.
func (t *Table) History() []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Verdict, len(t.history))
	for i, v := range t.history {
		out[i] = *v
	}
	return out
}

// Verdict returns the verdict on the publication at an offset.
func (t *Table) Verdict(at commitlog.Offset) (Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].Offset == at {
			return *t.history[i], true
		}
	}
	return Verdict{}, false
}

// SkipTo records that no record below first can be read and that those not yet
// applied are lost. Call it with the oldest retained offset before the first record
// and when a reader has fallen behind the retention of the log.
func (t *Table) SkipTo(first commitlog.Offset) {
	t.mu.Lock()
	defer t.unlockAndNotify()
	if t.started && first <= t.next {
		return
	}
	t.restart(first)
	t.known = first == 0
}

// Reset implements commitlog.Resetter by calling SkipTo.
func (t *Table) Reset(first commitlog.Offset) { t.SkipTo(first) }

// restart clears the table's position and starts at an offset without a known
// version. The caller holds mu.
func (t *Table) restart(first commitlog.Offset) {
	t.started, t.applied, t.known = true, false, false
	t.start, t.next = first, first
	t.undecided = nil
}

// Adopt puts a version received from a peer in force. It reports whether it did so:
// a version that is not newer than the version in force is ignored. Publications
// from the log are not decided on the basis of an adopted version.
func (t *Table) Adopt(number uint64, raw []byte) (bool, error) {
	d, err := Parse("peer document", raw)
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.unlockAndNotify()
	return t.advanceInForce(Version{Number: number, Base: d.Base, Document: d, Raw: raw}), nil
}

// Renewal returns the record to append so that the version in force outlives the
// retention of the log; ok is false if this table cannot certify one.
func (t *Table) Renewal() (r Renewal, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || t.next == 0 {
		return Renewal{}, false
	}
	v := t.folded
	return Renewal{
		Version: v.Number, Base: v.Base, Document: v.Raw,
		Author: v.Author, Note: v.Note, ID: v.ID, Seen: t.next,
	}, true
}

// NewestCopy returns the offset of the newest copy of the folded version. overtaken
// reports whether a renewal of an older version follows it, which makes a renewal
// due at once.
func (t *Table) NewestCopy() (at commitlog.Offset, overtaken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copyAt, t.known && t.staleAt > t.copyAt
}

var (
	_ commitlog.Fold     = (*Table)(nil)
	_ commitlog.Resetter = (*Table)(nil)
)

// Apply implements commitlog.Fold.
func (t *Table) Apply(pos commitlog.Position, e commitlog.Entry) error {
	t.mu.Lock()
	defer t.unlockAndNotify()
	t.advance(pos.Offset)
	switch e.Kind {
	case KindPublish:
		return t.applyPublish(pos, e)
	case KindRenewal:
		return t.applyRenewal(pos.Offset, e)
	}
	return errors.Wrapf(ErrMalformed, "unknown kind %d", e.Kind)
}

// advance records that the record at an offset is applied. A first record with
// another offset than expected means that records expired between the call of
// SkipTo and the first read. The caller holds mu.
func (t *Table) advance(at commitlog.Offset) {
	switch {
	case !t.started:
		t.restart(at)
		t.known = at == 0
	case !t.applied && at > t.next:
		t.restart(at)
	}
	t.applied = true
	t.next = at + 1
}

// unlockAndNotify closes the channel that Changed returned, releases mu and calls
// the hooks.
func (t *Table) unlockAndNotify() {
	calls := t.pendingHooks
	t.pendingHooks = nil
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// advanceInForce puts a version in force if it is newer. The caller holds mu.
func (t *Table) advanceInForce(v Version) bool {
	if now := t.inForce.Load(); v.Number == 0 || now != nil && now.Number >= v.Number {
		return false
	}
	t.inForce.Store(&v)
	if t.hooks.InForce != nil {
		t.pendingHooks = append(t.pendingHooks, func() { t.hooks.InForce(v) })
	}
	return true
}
