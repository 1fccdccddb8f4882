package claim

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

type rowID struct{ workspace, name string }

// StoredReply is what the fold keeps of a reply. Its body stays in the log.
type StoredReply struct {
	Service              string
	At, RetentionSeconds int64
	Version              Version
	// Body is the newest record that holds the reply.
	Body commitlog.Position
}

// Fold is the state of the claims stream. Apply is called by one goroutine;
// every other method may be called by any. The mutex guards all fields.
type Fold struct {
	mu      sync.Mutex
	rows    map[rowID]*Row
	replies map[rowID]*StoredReply
	watch   map[rowID]chan struct{}
	machine *machine
	// retired holds the offset after the Retire record of removed rows.
	retired map[retiredID]commitlog.Offset
	// disowned holds the attempts whose claims are released when folded.
	disowned   map[string]struct{}
	onDisowned func(Row)
}

// retiredID names a row or a stored reply.
type retiredID struct {
	rowID
	reply bool
}

func rowKey(id rowID) retiredID   { return retiredID{rowID: id} }
func replyKey(id rowID) retiredID { return retiredID{rowID: id, reply: true} }

var (
	_ commitlog.Fold     = (*Fold)(nil)
	_ commitlog.Resetter = (*Fold)(nil)
	_ commitlog.Pruner   = (*Fold)(nil)
)

// NewFold returns an empty fold.
func NewFold() *Fold {
	return &Fold{
		rows:     make(map[rowID]*Row),
		replies:  make(map[rowID]*StoredReply),
		watch:    make(map[rowID]chan struct{}),
		machine:  newMachine(),
		retired:  make(map[retiredID]commitlog.Offset),
		disowned: make(map[string]struct{}),
	}
}

// Reset implements commitlog.Resetter. Nothing is known of what was missed, so
// the fold starts over; every live row is restated by what follows.
func (f *Fold) Reset(commitlog.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.rows)
	clear(f.replies)
	clear(f.retired)
	for id := range f.watch {
		f.notify(id)
	}
}

// Lookup returns the row of a key.
func (f *Fold) Lookup(workspace, key string) (Row, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.rows[rowID{workspace, key}]
	if !ok {
		return Row{}, false
	}
	return *r, true
}

// Reply returns what is kept of a stored reply.
func (f *Fold) Reply(workspace, id string) (StoredReply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replies[rowID{workspace, id}]
	if !ok {
		return StoredReply{}, false
	}
	return *r, true
}

// Len returns the number of rows and of stored replies.
func (f *Fold) Len() (rows, replies int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.rows), len(f.replies)
}

// Apply implements commitlog.Fold. Losing a race is not an error.
func (f *Fold) Apply(pos commitlog.Position, e commitlog.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch e.Kind {
	case KindClaim:
		return decode(e, func(c Claim) error { return f.claim(pos, c) })
	case KindRelease:
		return decode(e, func(r Release) error { return f.release(pos, r) })
	case KindOutcome:
		return decode(e, func(o Outcome) error { return f.outcome(pos, o) })
	case KindAnswer:
		return decode(e, func(a Answer) error { return f.answer(pos, a) })
	case KindReply:
		return decode(e, func(r Reply) error { return f.reply(pos, r) })
	case KindRenewal:
		return decode(e, func(r Renewal) error { return f.renew(pos, r) })
	case KindRetire:
		return decode(e, func(r Retire) error { return f.retire(pos, r) })
	}
	return errors.Wrapf(ErrRecord, "kind %d", e.Kind)
}

func decode[T any](e commitlog.Entry, apply func(T) error) error {
	var v T
	if err := e.Decode(&v); err != nil {
		return err
	}
	return apply(v)
}

func (f *Fold) claim(pos commitlog.Position, c Claim) error {
	if err := c.check(); err != nil {
		return err
	}
	_, disowned := f.disowned[c.Attempt]
	delete(f.disowned, c.Attempt)
	row := f.touch(c, pos)
	if row.Version != c.Base || !f.machine.fire(&row, trigClaim) {
		return nil
	}
	row.Claim = c
	row.Claimed = versionOf(pos)
	f.put(row, pos)
	if disowned {
		f.onDisowned(row)
	}
	return nil
}

func (f *Fold) release(pos commitlog.Position, r Release) error {
	if r.Proof < ProofRefused || r.Proof > ProofNeverSent {
		return errors.Wrapf(ErrRecord, "proof %d", r.Proof)
	}
	return f.end(pos, r.Claim, trigRelease)
}

func (f *Fold) outcome(pos commitlog.Position, o Outcome) error {
	switch o.Verdict {
	case VerdictComplete:
		return f.end(pos, o.Claim, trigComplete)
	case VerdictUnknown:
		return f.end(pos, o.Claim, trigUnknown)
	}
	return errors.Wrapf(ErrRecord, "verdict %d", o.Verdict)
}

// end applies a transition of the attempt that holds or held the row.
func (f *Fold) end(pos commitlog.Position, c Claim, t trigger) error {
	if err := c.check(); err != nil {
		return err
	}
	row := f.touch(c, pos)
	if row.Claim.Attempt != c.Attempt || row.Claimed != c.Base || !f.machine.fire(&row, t) {
		return nil
	}
	row.Claim = c
	if t == trigComplete {
		row.Body = pos
	}
	f.put(row, pos)
	return nil
}

func (f *Fold) answer(pos commitlog.Position, a Answer) error {
	if err := a.Claim.check(); err != nil {
		return err
	}
	row := f.touch(a.Claim, pos)
	if row.Version != a.Claim.Base || !f.machine.fire(&row, trigAnswer) {
		return nil
	}
	row.Claim = a.Claim
	row.Claimed = versionOf(pos)
	row.Body = pos
	f.put(row, pos)
	return nil
}

func (f *Fold) reply(pos commitlog.Position, r Reply) error {
	if r.ID == "" {
		return errors.Wrap(ErrRecord, "reply without id")
	}
	id := rowID{r.Workspace, r.ID}
	version := r.Version
	if version == (Version{}) {
		version = versionOf(pos)
	}
	if old, ok := f.replies[id]; ok && old.Version != version {
		return nil
	}
	if at, ok := f.retired[replyKey(id)]; ok && version.Next <= at {
		return nil
	}
	f.replies[id] = &StoredReply{Service: r.Service, At: r.At, RetentionSeconds: r.RetentionSeconds, Version: version, Body: pos}
	return nil
}

func (f *Fold) renew(pos commitlog.Position, r Renewal) error {
	if err := r.Claim.check(); err != nil {
		return err
	}
	if r.Phase == Free || r.Phase > Unknown || r.Version == (Version{}) {
		return errors.Wrapf(ErrRecord, "renewal of phase %d", r.Phase)
	}
	id := rowID{r.Claim.Workspace, r.Claim.Key}
	old := f.current(id)
	if old.touched > r.Seen || f.retired[rowKey(id)] > r.Seen {
		return nil
	}
	row := Row{Claim: r.Claim, Phase: r.Phase, Version: r.Version, Claimed: r.Claimed, Kept: pos.Offset, touched: old.touched}
	if r.Phase == Complete {
		row.Body = pos
	}
	f.rows[id] = &row
	if old.Version != r.Version {
		f.notify(id)
	}
	return nil
}

func (f *Fold) retire(pos commitlog.Position, r Retire) error {
	if r.ID != "" {
		id := rowID{r.Workspace, r.ID}
		if old, ok := f.replies[id]; !ok || old.Version == r.Version {
			delete(f.replies, id)
			f.retired[replyKey(id)] = pos.Offset + 1
		}
		return nil
	}
	id := rowID{r.Workspace, r.Key}
	old, ok := f.rows[id]
	if ok && old.touched > r.Seen {
		return nil
	}
	delete(f.rows, id)
	f.retired[rowKey(id)] = pos.Offset + 1
	f.notify(id)
	return nil
}

// Prune implements commitlog.Pruner: it forgets the retired rows whose Retire
// record is no longer kept.
func (f *Fold) Prune(first commitlog.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, at := range f.retired {
		if at <= first {
			delete(f.retired, id)
		}
	}
}

// current returns a copy of a row, the zero row if there is none.
func (f *Fold) current(id rowID) Row {
	if r, ok := f.rows[id]; ok {
		return *r
	}
	return Row{}
}

// touch returns a copy of the row that a record names and notes its position.
func (f *Fold) touch(c Claim, pos commitlog.Position) Row {
	r, ok := f.rows[rowID{c.Workspace, c.Key}]
	if !ok {
		return Row{}
	}
	r.touched = pos.Offset + 1
	return *r
}

// put stores a row that made a transition at pos.
func (f *Fold) put(row Row, pos commitlog.Position) {
	id := rowID{row.Claim.Workspace, row.Claim.Key}
	row.Version = versionOf(pos)
	row.touched = pos.Offset + 1
	if old, ok := f.rows[id]; ok {
		*old = row
	} else {
		row.Kept = pos.Offset
		f.rows[id] = &row
	}
	f.notify(id)
}

// disown has a claim released once it is folded, which may be already.
func (f *Fold) disown(c Claim, release func(Row)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onDisowned = release
	row := f.current(rowID{c.Workspace, c.Key})
	if row.Phase == Held && row.Claim.Attempt == c.Attempt {
		release(row)
		return
	}
	f.disowned[c.Attempt] = struct{}{}
}

// notify wakes those who wait for a row to change.
func (f *Fold) notify(id rowID) {
	if ch, ok := f.watch[id]; ok {
		close(ch)
		delete(f.watch, id)
	}
}

// changed returns the row and a channel that is closed when it changes.
func (f *Fold) changed(workspace, key string) (Row, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := rowID{workspace, key}
	ch, ok := f.watch[id]
	if !ok {
		ch = make(chan struct{})
		f.watch[id] = ch
	}
	return f.current(id), ch
}
