package claim

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

type rowID struct{ workspace, name string }

// StoredReply is the state that the fold keeps for a reply. The body of the
// reply stays in the log.
type StoredReply struct {
	Service              string
	At, RetentionSeconds int64
	Version              Version
	// RecordPos is the newest record that holds the reply.
	RecordPos commitlog.Position
}

// Fold is the state of the claims stream. Apply is called by one goroutine;
// every other method is safe for concurrent use. The mutex guards all fields.
type Fold struct {
	mu       sync.Mutex
	rows     map[rowID]*Row
	replies  map[rowID]*StoredReply
	watchers map[rowID]chan struct{}
	machine  *machine
	// retired holds, for each removed row, the offset after its Retire record.
	retired map[retiredID]commitlog.Offset
	// abandoned holds the attempts whose claims releaseAbandoned releases if they
	// take effect.
	abandoned        map[string]struct{}
	releaseAbandoned func(Row)
}

// retiredID identifies a row or a stored reply.
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
		rows:      make(map[rowID]*Row),
		replies:   make(map[rowID]*StoredReply),
		watchers:  make(map[rowID]chan struct{}),
		machine:   newMachine(),
		retired:   make(map[retiredID]commitlog.Offset),
		abandoned: make(map[string]struct{}),
	}
}

// Reset implements commitlog.Resetter. The content of the missed records is not
// available, so the fold starts again from empty; the renewals that follow
// contain every live row.
func (f *Fold) Reset(commitlog.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.rows)
	clear(f.replies)
	clear(f.retired)
	for id := range f.watchers {
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

// Reply returns the state of a stored reply.
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

// Apply implements commitlog.Fold. A record that loses a race is not an error.
func (f *Fold) Apply(pos commitlog.Position, e commitlog.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch e.Kind {
	case KindClaim:
		return decode(e, func(c Claim) error { return f.applyClaim(pos, c) })
	case KindRelease:
		return decode(e, func(r Release) error { return f.applyRelease(pos, r) })
	case KindOutcome:
		return decode(e, func(o Outcome) error { return f.applyOutcome(pos, o) })
	case KindUnclaimedResponse:
		return decode(e, func(u UnclaimedResponse) error { return f.applyUnclaimedResponse(pos, u) })
	case KindReply:
		return decode(e, func(r Reply) error { return f.applyReply(pos, r) })
	case KindRenewal:
		return decode(e, func(r Renewal) error { return f.applyRenewal(pos, r) })
	case KindRetire:
		return decode(e, func(r Retire) error { return f.applyRetire(pos, r) })
	}
	return errors.Wrapf(ErrRecord, "unknown entry kind %d", e.Kind)
}

func decode[T any](e commitlog.Entry, apply func(T) error) error {
	var v T
	if err := e.Decode(&v); err != nil {
		return err
	}
	return apply(v)
}

func (f *Fold) applyClaim(pos commitlog.Position, c Claim) error {
	if err := c.check(); err != nil {
		return err
	}
	_, abandoned := f.abandoned[c.Attempt]
	delete(f.abandoned, c.Attempt)
	row := f.touch(c, pos)
	if row.Version != c.Base || !f.machine.fire(&row, trigClaim) {
		return nil
	}
	row.Claim = c
	row.Claimed = versionOf(pos)
	f.put(row, pos)
	if abandoned {
		f.releaseAbandoned(row)
	}
	return nil
}

func (f *Fold) applyRelease(pos commitlog.Position, r Release) error {
	if r.Proof < ProofRefused || r.Proof > ProofNeverSent {
		return errors.Wrapf(ErrRecord, "invalid proof %d", r.Proof)
	}
	return f.applyTransition(pos, r.Claim, trigRelease)
}

func (f *Fold) applyOutcome(pos commitlog.Position, o Outcome) error {
	switch o.Verdict {
	case VerdictComplete:
		return f.applyTransition(pos, o.Claim, trigComplete)
	case VerdictUnknown:
		return f.applyTransition(pos, o.Claim, trigUnknown)
	}
	return errors.Wrapf(ErrRecord, "invalid verdict %d", o.Verdict)
}

// applyTransition applies a transition by the attempt that holds or held the row.
func (f *Fold) applyTransition(pos commitlog.Position, c Claim, t trigger) error {
	if err := c.check(); err != nil {
		return err
	}
	row := f.touch(c, pos)
	if row.Claim.Attempt != c.Attempt || row.Claimed != c.Base || !f.machine.fire(&row, t) {
		return nil
	}
	row.Claim = c
	if t == trigComplete {
		row.ResponsePos = pos
	}
	f.put(row, pos)
	return nil
}

func (f *Fold) applyUnclaimedResponse(pos commitlog.Position, u UnclaimedResponse) error {
	if err := u.Claim.check(); err != nil {
		return err
	}
	row := f.touch(u.Claim, pos)
	if row.Version != u.Claim.Base || !f.machine.fire(&row, trigResponse) {
		return nil
	}
	row.Claim = u.Claim
	row.Claimed = versionOf(pos)
	row.ResponsePos = pos
	f.put(row, pos)
	return nil
}

func (f *Fold) applyReply(pos commitlog.Position, r Reply) error {
	if r.ID == "" {
		return errors.Wrap(ErrRecord, "reply has no id")
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
	f.replies[id] = &StoredReply{Service: r.Service, At: r.At, RetentionSeconds: r.RetentionSeconds, Version: version, RecordPos: pos}
	return nil
}

func (f *Fold) applyRenewal(pos commitlog.Position, r Renewal) error {
	if err := r.Claim.check(); err != nil {
		return err
	}
	if r.Phase == Free || r.Phase > Unknown || r.Version == (Version{}) {
		return errors.Wrapf(ErrRecord, "renewal has invalid phase %d or no version", r.Phase)
	}
	id := rowID{r.Claim.Workspace, r.Claim.Key}
	old := f.current(id)
	if old.touched > r.Seen || f.retired[rowKey(id)] > r.Seen {
		return nil
	}
	row := Row{Claim: r.Claim, Phase: r.Phase, Version: r.Version, Claimed: r.Claimed, RetainedBy: pos.Offset, touched: old.touched}
	if r.Phase == Complete {
		row.ResponsePos = pos
	}
	f.rows[id] = &row
	if old.Version != r.Version {
		f.notify(id)
	}
	return nil
}

func (f *Fold) applyRetire(pos commitlog.Position, r Retire) error {
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

// Prune implements commitlog.Pruner: it removes the entries of retired rows whose
// Retire record the log has dropped.
func (f *Fold) Prune(first commitlog.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, at := range f.retired {
		if at <= first {
			delete(f.retired, id)
		}
	}
}

// current returns a copy of a row, or the zero row if there is none.
func (f *Fold) current(id rowID) Row {
	if r, ok := f.rows[id]; ok {
		return *r
	}
	return Row{}
}

// touch returns a copy of the row that a record names and stores the record's
// position as the newest one that names it.
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
		row.RetainedBy = pos.Offset
		f.rows[id] = &row
	}
	f.notify(id)
}

// abandon releases a claim as soon as it is applied, or immediately if it has
// been applied already.
func (f *Fold) abandon(c Claim, release func(Row)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releaseAbandoned = release
	row := f.current(rowID{c.Workspace, c.Key})
	if row.Phase == Held && row.Claim.Attempt == c.Attempt {
		release(row)
		return
	}
	f.abandoned[c.Attempt] = struct{}{}
}

// notify wakes the goroutines that wait for a row to change.
func (f *Fold) notify(id rowID) {
	if ch, ok := f.watchers[id]; ok {
		close(ch)
		delete(f.watchers, id)
	}
}

// watchRow returns the row and a channel that is closed when the row changes.
func (f *Fold) watchRow(workspace, key string) (Row, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := rowID{workspace, key}
	ch, ok := f.watchers[id]
	if !ok {
		ch = make(chan struct{})
		f.watchers[id] = ch
	}
	return f.current(id), ch
}
