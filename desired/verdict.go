package desired

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// State is where a publication stands.
type State string

// The states of a publication.
const (
	// Undecided publications await a renewal that says what was in force
	// before them.
	Undecided State = "undecided"
	// Accepted is the state of the version in force.
	Accepted State = "accepted"
	// Superseded versions were accepted and replaced by a later one.
	Superseded State = "superseded"
	// Conflicted publications lost against another one with the same base.
	Conflicted State = "conflict"
	// Invalid publications hold a document that Parse refuses.
	Invalid State = "invalid"
)

type trigger string

const (
	triggerAccept    trigger = "accept"
	triggerSupersede trigger = "supersede"
	triggerConflict  trigger = "conflict"
	triggerInvalid   trigger = "invalid"
)

// Verdict is what became of one publication.
type Verdict struct {
	// Offset is that of the publication's record.
	Offset commitlog.Offset `json:"offset"`
	State  State            `json:"state"`
	// Version is the number the publication has if it was accepted.
	Version uint64 `json:"version"`
	ID      string `json:"id,omitempty"`
	Base    uint64 `json:"base"`
	Author  string `json:"author,omitempty"`
	Note    string `json:"note,omitempty"`
	// Winner is the version that was in force, if State is Conflicted, and
	// WinnerAuthor its author.
	Winner       uint64 `json:"winner,omitempty"`
	WinnerAuthor string `json:"winner_author,omitempty"`
	// Reason says why the document is invalid.
	Reason string `json:"reason,omitempty"`
}

// Accepted reports whether the publication became a version.
func (v Verdict) Accepted() bool { return v.State == Accepted || v.State == Superseded }

// String says in one sentence what became of the publication.
func (v Verdict) String() string {
	switch v.State {
	case Accepted:
		return fmt.Sprintf("accepted as version %d", v.Version)
	case Superseded:
		return fmt.Sprintf("accepted as version %d, replaced since", v.Version)
	case Conflicted:
		return fmt.Sprintf("conflict: based on version %d, but version %d (by %s) is in force", v.Base, v.Winner, orUnknown(v.WinnerAuthor))
	case Invalid:
		return "invalid: " + v.Reason
	}
	return "undecided: the version that was in force before it is not known yet"
}

func orUnknown(author string) string {
	if author == "" {
		return "an unnamed author"
	}
	return author
}

// lifecycle is the state machine of a publication, shared by all verdicts: it
// works on the one that row points at.
type lifecycle struct {
	machine *stateless.StateMachine
	row     *Verdict
}

func newLifecycle() *lifecycle {
	l := &lifecycle{}
	l.machine = stateless.NewStateMachineWithExternalStorage(l.load, l.store, stateless.FiringImmediate)
	l.machine.Configure(Undecided).
		Permit(triggerAccept, Accepted).
		Permit(triggerSupersede, Superseded).
		Permit(triggerConflict, Conflicted).
		Permit(triggerInvalid, Invalid)
	l.machine.Configure(Accepted).Permit(triggerSupersede, Superseded)
	return l
}

func (l *lifecycle) fire(v *Verdict, t trigger) error {
	l.row = v
	return errors.Wrapf(l.machine.Fire(t), "desired: publication at offset %d", v.Offset)
}

func (l *lifecycle) load(context.Context) (stateless.State, error) { return l.row.State, nil }

func (l *lifecycle) store(_ context.Context, s stateless.State) error {
	state, ok := s.(State)
	if !ok {
		return errors.Errorf("desired: state of type %T", s)
	}
	l.row.State = state
	return nil
}
