package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// Phase is the place of a row in its lifecycle.
type Phase uint8

// The phases of a row.
const (
	Free Phase = iota
	Held
	Released
	Complete
	Unknown
)

var phaseNames = [...]string{"free", "held", "released", "complete", "unknown"}

// String implements fmt.Stringer.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "invalid"
}

// Open reports whether a new claim may take the row.
func (p Phase) Open() bool { return p == Free || p == Released }

// Ended reports whether the row's request is never dispatched again.
func (p Phase) Ended() bool { return p == Complete || p == Unknown }

// Row is what the fold keeps of one key. Answers stay in the log.
type Row struct {
	// Claim is the claim that holds or last held the row, or the head of the
	// recorded answer.
	Claim Claim
	Phase Phase
	// Version is the position of the last transition, Claimed that of the
	// claim.
	Version Version
	Claimed Version
	// Body is the newest record that holds the answer of a complete row.
	Body commitlog.Position
	// Kept is the record that a reader must start at or before to know the
	// row: the one that created it or its newest accepted renewal.
	Kept commitlog.Offset
	// touched is the offset after the newest record, other than a renewal,
	// that names the row.
	touched commitlog.Offset
}

// Expired reports whether the declared result retention has ended at now.
func (r Row) Expired(now time.Time) bool { return expired(r.Claim.At, r.Claim.RetentionSeconds, now) }

func expired(at, keep int64, now time.Time) bool {
	return keep > 0 && now.Unix()-at > keep
}

type trigger uint8

const (
	trigClaim trigger = iota
	trigRelease
	trigComplete
	trigUnknown
	trigAnswer
)

// errNotPermitted says that the row's phase does not allow the transition.
var errNotPermitted = errors.New("claim: transition not permitted")

// machine is the one lifecycle machine of a fold. Its storage is the row at
// hand, so a transition builds nothing. It is not safe for concurrent use.
type machine struct {
	row *Row
	sm  *stateless.StateMachine
}

func newMachine() *machine {
	m := &machine{}
	m.sm = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return m.row.Phase, nil },
		func(_ context.Context, s stateless.State) error { m.row.Phase = s.(Phase); return nil },
		stateless.FiringImmediate)
	m.sm.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error {
		return errNotPermitted
	})
	m.sm.Configure(Free).Permit(trigClaim, Held).Permit(trigAnswer, Complete)
	m.sm.Configure(Released).Permit(trigClaim, Held).Permit(trigAnswer, Complete)
	m.sm.Configure(Held).
		Permit(trigRelease, Released).
		Permit(trigComplete, Complete).
		Permit(trigUnknown, Unknown)
	m.sm.Configure(Unknown).Permit(trigComplete, Complete)
	m.sm.Configure(Complete)
	return m
}

// fire moves row and reports whether its phase allowed it.
func (m *machine) fire(row *Row, t trigger) bool {
	m.row = row
	return m.sm.Fire(t) == nil
}
