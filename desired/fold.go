package desired

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// applyPublish applies a publication. The caller holds mu.
func (t *Table) applyPublish(pos commitlog.Position, e commitlog.Entry) error {
	var p PublishRecord
	if err := e.Decode(&p); err != nil {
		return err
	}
	if err := p.check(pos); err != nil {
		return err
	}
	v := &Verdict{
		Offset: pos.Offset, State: Undecided, ID: p.ID,
		Base: p.Base, Author: p.Author, Note: p.Note,
	}
	t.addToHistory(v)
	u := undecidedPublication{at: pos.Offset, publish: p, verdict: v}
	if !t.known && !t.canRecover(u) {
		t.holdUndecided(u)
		return nil
	}
	t.known, t.undecided = true, nil
	return t.decide(u)
}

// canRecover reports whether a publication can be accepted although the version
// that was in force before it is unknown. That is so if no other version can have
// been accepted at or after the offset that the publication has seen.
func (t *Table) canRecover(u undecidedPublication) bool {
	if !u.publish.Recover || u.publish.Seen < t.start {
		return false
	}
	for _, earlier := range t.undecided {
		if earlier.at >= u.publish.Seen {
			return false
		}
	}
	_, err := parsePublished(u)
	return err == nil
}

// holdUndecided stores a publication until it can be decided. If maxUndecided
// publications are stored already, the oldest one is dropped as if it had expired.
func (t *Table) holdUndecided(u undecidedPublication) {
	if len(t.undecided) == maxUndecided {
		t.start = t.undecided[0].at + 1
		t.undecided = t.undecided[1:]
	}
	t.undecided = append(t.undecided, u)
}

// decide decides a publication. The folded version must be known.
func (t *Table) decide(u undecidedPublication) error {
	if !t.baseMatches(u.publish) {
		u.verdict.Winner, u.verdict.WinnerAuthor = t.folded.Number, t.folded.Author
		return t.refuse(u.verdict, triggerConflict)
	}
	d, err := parsePublished(u)
	if err != nil {
		u.verdict.Reason = err.Error()
		return t.refuse(u.verdict, triggerInvalid)
	}
	return t.accept(u, d)
}

func parsePublished(u undecidedPublication) (Document, error) {
	return Parse(fmt.Sprintf("publication at offset %d", u.at), u.publish.Document)
}

func (t *Table) baseMatches(p PublishRecord) bool {
	if p.Recover {
		return t.folded.Number <= uint64(p.Seen)
	}
	return p.Base == t.folded.Number
}

func (t *Table) accept(u undecidedPublication, d Document) error {
	t.supersede(t.folded.Number)
	p := u.publish
	t.folded = Version{
		Number: uint64(u.at) + 1, Base: p.Base, Author: p.Author,
		Note: p.Note, ID: p.ID, Document: d, Raw: p.Document,
	}
	t.copyAt = u.at
	u.verdict.Version = t.folded.Number
	t.advanceInForce(t.folded)
	return t.machine.fire(u.verdict, triggerAccept)
}

func (t *Table) refuse(v *Verdict, why trigger) error {
	if err := t.machine.fire(v, why); err != nil {
		return err
	}
	if t.hooks.Refused != nil {
		refused := *v
		t.pendingHooks = append(t.pendingHooks, func() { t.hooks.Refused(refused) })
	}
	return nil
}

// supersede marks an accepted version in the history as superseded.
func (t *Table) supersede(number uint64) {
	for _, v := range t.history {
		if v.State == Accepted && v.Version == number {
			_ = t.machine.fire(v, triggerSupersede)
		}
	}
}

func (t *Table) addToHistory(v *Verdict) {
	if len(t.history) == maxHistory {
		t.history = t.history[1:]
	}
	t.history = append(t.history, v)
}

// applyRenewal applies a renewal. The caller holds mu.
func (t *Table) applyRenewal(at commitlog.Offset, e commitlog.Entry) error {
	var r Renewal
	if err := e.Decode(&r); err != nil {
		return err
	}
	if err := r.check(at); err != nil {
		return err
	}
	if !t.known {
		return t.resolve(at, r)
	}
	switch {
	case r.Version == t.folded.Number:
		t.copyAt = at
	case r.Version < t.folded.Number:
		t.staleAt = at
	default:
		return errors.Wrapf(ErrMalformed, "renewal of version %d, which was never accepted", r.Version)
	}
	return nil
}

// resolve sets the folded version from a certified renewal and decides the held
// publications that the renewal has not seen.
func (t *Table) resolve(at commitlog.Offset, r Renewal) error {
	if r.Seen < t.start {
		return errors.Wrapf(ErrStaleRenewal, "renewal of version %d, prepared at offset %d, oldest retained record %d", r.Version, r.Seen, t.start)
	}
	v, err := r.version()
	if err != nil {
		return err
	}
	held := t.undecided
	t.known, t.folded, t.undecided, t.copyAt = true, v, nil, at
	t.advanceInForce(v)
	for _, u := range held {
		if err := t.resolveUndecided(u, r); err != nil {
			return err
		}
	}
	if t.folded.Number != r.Version {
		t.staleAt = at
	}
	return nil
}

// resolveUndecided decides one held publication. Of the publications that the
// renewal has seen, it can identify only the one that became the renewed version.
func (t *Table) resolveUndecided(u undecidedPublication, r Renewal) error {
	if u.at >= r.Seen {
		return t.decide(u)
	}
	if uint64(u.at)+1 != r.Version {
		return nil
	}
	u.verdict.Version = r.Version
	return t.machine.fire(u.verdict, triggerAccept)
}

func (r Renewal) version() (Version, error) {
	v := Version{Number: r.Version, Base: r.Base, Author: r.Author, Note: r.Note, ID: r.ID, Raw: r.Document}
	if r.Version == 0 {
		return v, nil
	}
	d, err := Parse(fmt.Sprintf("renewal of version %d", r.Version), r.Document)
	v.Document = d
	return v, err
}
