package desired

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// applyPublish folds a publication; the caller holds mu.
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
	t.remember(v)
	u := undecided{at: pos.Offset, publish: p, verdict: v}
	if !t.known && !t.recovers(u) {
		t.hold(u)
		return nil
	}
	t.known, t.undecided = true, nil
	return t.decide(u)
}

// recovers reports whether a publication can be accepted though what was in
// force before it is not known: no other version can have been accepted at or
// after the offset it has seen.
func (t *Table) recovers(u undecided) bool {
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

// hold keeps a publication until it can be decided. Beyond the bound the oldest
// is given up, as if it had expired.
func (t *Table) hold(u undecided) {
	if len(t.undecided) == maxUndecided {
		t.start = t.undecided[0].at + 1
		t.undecided = t.undecided[1:]
	}
	t.undecided = append(t.undecided, u)
}

// decide gives a publication its verdict; the folded version is known.
func (t *Table) decide(u undecided) error {
	if !t.baseHolds(u.publish) {
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

func parsePublished(u undecided) (Document, error) {
	return Parse(fmt.Sprintf("publication at offset %d", u.at), u.publish.Document)
}

func (t *Table) baseHolds(p PublishRecord) bool {
	if p.Recover {
		return t.folded.Number <= uint64(p.Seen)
	}
	return p.Base == t.folded.Number
}

func (t *Table) accept(u undecided, d Document) error {
	t.supersede(t.folded.Number)
	p := u.publish
	t.folded = Version{
		Number: uint64(u.at) + 1, Base: p.Base, Author: p.Author,
		Note: p.Note, ID: p.ID, Document: d, Raw: p.Document,
	}
	t.copyAt = u.at
	u.verdict.Version = t.folded.Number
	t.raise(t.folded)
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

// supersede marks an accepted version in the history as replaced.
func (t *Table) supersede(number uint64) {
	for _, v := range t.history {
		if v.State == Accepted && v.Version == number {
			_ = t.machine.fire(v, triggerSupersede)
		}
	}
}

func (t *Table) remember(v *Verdict) {
	if len(t.history) == maxHistory {
		t.history = t.history[1:]
	}
	t.history = append(t.history, v)
}

// applyRenewal folds a renewal; the caller holds mu.
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

// resolve makes the folded version known from a certified renewal and decides
// the publications that it has not seen.
func (t *Table) resolve(at commitlog.Offset, r Renewal) error {
	if r.Seen < t.start {
		return errors.Wrapf(ErrUncertified, "version %d seen to %d, oldest record %d", r.Version, r.Seen, t.start)
	}
	v, err := r.version()
	if err != nil {
		return err
	}
	held := t.undecided
	t.known, t.folded, t.undecided, t.copyAt = true, v, nil, at
	t.raise(v)
	for _, u := range held {
		if err := t.resolveHeld(u, r); err != nil {
			return err
		}
	}
	if t.folded.Number != r.Version {
		t.staleAt = at
	}
	return nil
}

// resolveHeld decides one held publication. Of those that the renewal had seen
// it tells only its own version apart.
func (t *Table) resolveHeld(u undecided, r Renewal) error {
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
