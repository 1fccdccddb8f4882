package desired

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// State is the state of a publication.
type State string

// The states of a publication.
const (
	// Undecided publications wait for a renewal that certifies which version was
	// in force before them.
	Undecided State = "undecided"
	// Accepted is the state of the version in force.
	Accepted State = "accepted"
	// Superseded versions were accepted and later replaced.
	Superseded State = "superseded"
	// Conflicted publications were not based on the version in force.
	Conflicted State = "conflict"
	// Invalid publications contain a document that Parse rejects.
	Invalid State = "invalid"
)

type trigger string

const (
	triggerAccept    trigger = "accept"
	triggerSupersede trigger = "supersede"
	triggerConflict  trigger = "conflict"
	triggerInvalid   trigger = "invalid"
)

// Verdict is the decision on one publication.
type Verdict struct {
	// Offset is the offset of the publication's record.
	Offset commitlog.Offset `json:"offset"`
	State  State            `json:"state"`
	// Version is the version number of the publication if it was accepted.
	Version uint64 `json:"version"`
	ID      string `json:"id,omitempty"`
	Base    uint64 `json:"base"`
	Author  string `json:"author,omitempty"`
	Note    string `json:"note,omitempty"`
	// Winner is the version that was in force and WinnerAuthor its author, if
	// State is Conflicted.
	Winner       uint64 `json:"winner,omitempty"`
	WinnerAuthor string `json:"winner_author,omitempty"`
	// Reason explains why the document is invalid.
	Reason string `json:"reason,omitempty"`
}

// Accepted reports whether the publication became a version.
func (v Verdict) Accepted() bool { return v.State == Accepted || v.State == Superseded }

// String describes the verdict in one sentence.
func (v Verdict) String() string {
	switch v.State {
	case Accepted:
		return fmt.Sprintf("accepted as version %d", v.Version)
	case Superseded:
		return fmt.Sprintf("accepted as version %d, replaced since", v.Version)
	case Conflicted:
		return fmt.Sprintf("conflict: based on version %d, but version %d (by %s) is in force", v.Base, v.Winner, authorOrPlaceholder(v.WinnerAuthor))
	case Invalid:
		return "invalid: " + v.Reason
	}
	return "undecided: the version that was in force before it is not known yet"
}

func authorOrPlaceholder(author string) string {
	if author == "" {
		return "an unnamed author"
	}
	return author
}

// stateMachine is the state machine of publications. All verdicts share it; it
// reads and writes the state of current.
type stateMachine struct {
	machine *stateless.StateMachine
	current *Verdict
}

func newStateMachine() *stateMachine {
	m := &stateMachine{}
	m.machine = stateless.NewStateMachineWithExternalStorage(m.load, m.store, stateless.FiringImmediate)
	m.machine.Configure(Undecided).
		Permit(triggerAccept, Accepted).
		Permit(triggerSupersede, Superseded).
		Permit(triggerConflict, Conflicted).
		Permit(triggerInvalid, Invalid)
	m.machine.Configure(Accepted).Permit(triggerSupersede, Superseded)
	return m
}

func (m *stateMachine) fire(v *Verdict, t trigger) error {
	m.current = v
	return errors.Wrapf(m.machine.Fire(t), "desired: publication at offset %d", v.Offset)
}

func (m *stateMachine) load(context.Context) (stateless.State, error) { return m.current.State, nil }

func (m *stateMachine) store(_ context.Context, s stateless.State) error {
	state, ok := s.(State)
	if !ok {
		return errors.Errorf("desired: state of type %T", s)
	}
	m.current.State = state
	return nil
}
