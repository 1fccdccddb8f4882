package desired

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// Bounds of what a table keeps.
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

// Hooks are told what a Table does, in order, without its lock and never
// concurrently with each other if Apply, Gap and Adopt are not.
type Hooks struct {
	// InForce is called after a version came into force.
	InForce func(Version)
	// Refused is called for a conflicting or invalid publication.
	Refused func(Verdict)
}

// Table is the fold of the configuration stream.
//
// Rules. A publication is accepted if its base is the version in force at its
// offset and its document is valid; the accepted version's number is the offset
// plus one. What is in force never goes down.
//
// A reader that starts after records have expired cannot know what was in force
// at its first record. It holds publications back as undecided until a renewal
// whose Seen reaches back to that first record says so: every record from Seen
// on has then been folded here, so no newer version can have been missed, and
// the publications from Seen on are decided upon it. A renewal that was
// prepared before the first record kept proves nothing and is refused: a newer
// version may have been accepted after it was prepared and have expired before
// it. In a table that knows what is in force a renewal changes nothing; a stale
// one makes Renewal due at once, so that the newest copy of the newest version
// outlives it.
type Table struct {
	hooks   Hooks
	inForce atomic.Pointer[Version]

	mu      sync.Mutex
	machine *lifecycle
	changed chan struct{}
	// known is set once folded is what every complete reader has.
	known  bool
	folded Version
	// begun is set by the first record or gap; start is the offset from which
	// on every record has been folded, next follows the newest of them.
	// applied is set by the first record after the start or a gap.
	begun       bool
	applied     bool
	start, next commitlog.Offset
	// copyAt is the newest record that carries the folded version, staleAt the
	// newest renewal of an older one.
	copyAt, staleAt commitlog.Offset
	undecided       []undecided
	history         []*Verdict
	pendingHooks    []func()
}

type undecided struct {
	at      commitlog.Offset
	publish PublishRecord
	verdict *Verdict
}

// NewTable returns an empty table; Stream is the stream to fold into it.
func NewTable(hooks Hooks) *Table {
	return &Table{hooks: hooks, machine: newLifecycle(), changed: make(chan struct{})}
}

// InForce returns the version in force; ok is false while there is none. The
// result is shared and must not be changed.
func (t *Table) InForce() (v Version, ok bool) {
	if p := t.inForce.Load(); p != nil {
		return *p, true
	}
	return Version{}, false
}

// Known reports whether everything that is kept of the log up to the newest
// folded record is decided.
func (t *Table) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// Changed returns a channel that is closed by the next change of the table.
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

// Verdict returns what became of the publication at an offset.
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

// SkipTo tells the table that no record below first can be read and that those it
// has not folded are lost. Call it before the first record with the oldest
// offset kept, and when a reader fell behind retention.
func (t *Table) SkipTo(first commitlog.Offset) {
	t.mu.Lock()
	defer t.unlock()
	if t.begun && first <= t.next {
		return
	}
	t.begin(first)
	t.known = first == 0
}

// Reset implements commitlog.Resetter: it is Gap.
func (t *Table) Reset(first commitlog.Offset) { t.SkipTo(first) }

// begin starts over at an offset with nothing known; the caller holds mu.
func (t *Table) begin(first commitlog.Offset) {
	t.begun, t.applied, t.known = true, false, false
	t.start, t.next = first, first
	t.undecided = nil
}

// Adopt takes a version that a peer holds. It reports whether the version came
// into force: one that is not newer than the version in force is ignored. The
// fold does not build on an adopted version.
func (t *Table) Adopt(number uint64, raw []byte) (bool, error) {
	d, err := Parse("peer document", raw)
	if err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.unlock()
	return t.raise(Version{Number: number, Base: d.Base, Document: d, Raw: raw}), nil
}

// Renewal returns the record to append so that the version in force outlives
// the log's retention; ok is false if this table cannot certify one.
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

// NewestCopy returns the offset of the newest copy of the folded version, and whether
// a renewal of an older version stands after it, which makes a renewal due at
// once.
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
	defer t.unlock()
	t.advance(pos.Offset)
	switch e.Kind {
	case KindPublish:
		return t.applyPublish(pos, e)
	case KindRenewal:
		return t.applyRenewal(pos.Offset, e)
	}
	return errors.Wrapf(ErrMalformed, "unknown kind %d", e.Kind)
}

// advance notes that the record at an offset is folded; the caller holds mu. A
// first record that is not the one expected means that records expired between
// the call of Gap and the first read.
func (t *Table) advance(at commitlog.Offset) {
	switch {
	case !t.begun:
		t.begin(at)
		t.known = at == 0
	case !t.applied && at > t.next:
		t.begin(at)
	}
	t.applied = true
	t.next = at + 1
}

// unlock wakes those who wait for a change and calls the hooks.
func (t *Table) unlock() {
	calls := t.pendingHooks
	t.pendingHooks = nil
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// raise puts a version in force if it is newer; the caller holds mu.
func (t *Table) raise(v Version) bool {
	if now := t.inForce.Load(); v.Number == 0 || now != nil && now.Number >= v.Number {
		return false
	}
	t.inForce.Store(&v)
	if t.hooks.InForce != nil {
		t.pendingHooks = append(t.pendingHooks, func() { t.hooks.InForce(v) })
	}
	return true
}
