package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// Phase is the state of a row in its lifecycle.
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

// Open reports whether a new claim may acquire the row.
func (p Phase) Open() bool { return p == Free || p == Released }

// Ended reports whether the row's request is never dispatched again.
func (p Phase) Ended() bool { return p == Complete || p == Unknown }

// Row is the state that the fold keeps for one key. Responses stay in the log.
type Row struct {
	// Claim is the claim that holds or last held the row, or the claim part of
	// the recorded response.
	Claim Claim
	Phase Phase
	// Version is the position of the last transition, and Claimed that of the
	// claim.
	Version Version
	Claimed Version
	// ResponsePos is the newest record that holds the response of a complete row.
	ResponsePos commitlog.Position
	// RetainedBy is the record at or before which a reader must start to obtain
	// the row: the one that created the row or its newest accepted renewal.
	RetainedBy commitlog.Offset
	// touched is the offset after the newest record, other than a renewal,
	// that names the row.
	touched commitlog.Offset
}

// Expired reports whether the declared result retention has ended at now.
func (r Row) Expired(now time.Time) bool { return expired(r.Claim.At, r.Claim.RetentionSeconds, now) }

func expired(at, retentionSeconds int64, now time.Time) bool {
	return retentionSeconds > 0 && now.Unix()-at > retentionSeconds
}

type trigger uint8

const (
	trigClaim trigger = iota
	trigRelease
	trigComplete
	trigUnknown
	trigResponse
)

// errNotPermitted reports that the row's phase does not allow the transition.
var errNotPermitted = errors.New("claim: transition not permitted")

// machine is the lifecycle state machine of a fold, shared by all of its rows.
// Its state is stored in the current row, so a transition allocates no machine.
// It is not safe for concurrent use.
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
	m.sm.Configure(Free).Permit(trigClaim, Held).Permit(trigResponse, Complete)
	m.sm.Configure(Released).Permit(trigClaim, Held).Permit(trigResponse, Complete)
	m.sm.Configure(Held).
		Permit(trigRelease, Released).
		Permit(trigComplete, Complete).
		Permit(trigUnknown, Unknown)
	m.sm.Configure(Unknown).Permit(trigComplete, Complete)
	m.sm.Configure(Complete)
	return m
}

// fire applies a trigger to row and reports whether the row's phase allowed it.
func (m *machine) fire(row *Row, t trigger) bool {
	m.row = row
	return m.sm.Fire(t) == nil
}
