package claim

import (
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// StreamName is the log stream that contains the claims.
const StreamName = "claims"

// The entry kinds of the claims stream.
const (
	KindClaim             commitlog.EntryKind = 1
	KindRelease           commitlog.EntryKind = 2
	KindOutcome           commitlog.EntryKind = 3
	KindUnclaimedResponse commitlog.EntryKind = 4
	KindReply             commitlog.EntryKind = 5
	KindRenewal           commitlog.EntryKind = 6
	KindRetire            commitlog.EntryKind = 7
)

// ErrRecord reports an invalid entry: its kind is unknown, or a field is missing
// or out of range.
var ErrRecord = errors.New("claim: invalid record")

// Version identifies the record that made a row's last transition. The zero
// value is the version of a row that does not exist.
type Version struct {
	// Next is the offset after that of the record.
	Next commitlog.Offset `cbor:"1,keyasint,omitempty"`
	// Index is the entry's index within the record.
	Index int `cbor:"2,keyasint,omitempty"`
}

func versionOf(p commitlog.Position) Version {
	return Version{Next: p.Offset + 1, Index: p.Index}
}

// Claim requests the row of a key on behalf of one attempt.
type Claim struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	// RequestHash distinguishes requests with the same key.
	RequestHash string `cbor:"3,keyasint"`
	// Attempt is never reused.
	Attempt string `cbor:"4,keyasint"`
	// Instance and Incarnation identify the sidecar that the attempt is sent to.
	Instance    string `cbor:"5,keyasint"`
	Incarnation string `cbor:"6,keyasint"`
	Service     string `cbor:"7,keyasint"`
	// Base is the version of the row that the claim is based on.
	Base Version `cbor:"8,keyasint"`
	// At is the time on the writer's wall clock, in seconds since the Unix epoch.
	At int64 `cbor:"9,keyasint"`
	// RetentionSeconds is the declared result retention, counted from At; zero
	// means that it does not end.
	RetentionSeconds int64 `cbor:"10,keyasint"`
}

// Proof states why an attempt was not run and never will be.
type Proof uint8

// The proofs.
const (
	// ProofRefused means that the named incarnation refused the attempt
	// without starting it. A refusal by its successor is not a proof.
	ProofRefused Proof = 1
	// ProofVetoed means that the incarnation promised never to start the attempt.
	ProofVetoed Proof = 2
	// ProofNeverSent means that the entry instance that made the claim never
	// sent the attempt and never will.
	ProofNeverSent Proof = 3
)

// Release makes a row available again. Claim.Base is the version of the claim.
type Release struct {
	Claim Claim `cbor:"1,keyasint"`
	Proof Proof `cbor:"2,keyasint"`
}

// Verdict states how an attempt ended.
type Verdict uint8

// The verdicts.
const (
	VerdictComplete Verdict = 1
	VerdictUnknown  Verdict = 2
)

// Header is one HTTP header field of a recorded response.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Response is a response as the backend server returned it.
type Response struct {
	Status  int      `cbor:"1,keyasint,omitempty"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Body    []byte   `cbor:"3,keyasint,omitempty"`
}

// Outcome ends a row. Claim.Base is the version of the claim.
type Outcome struct {
	Claim    Claim    `cbor:"1,keyasint"`
	Verdict  Verdict  `cbor:"2,keyasint"`
	Response Response `cbor:"3,keyasint"`
}

// UnclaimedResponse records the response of an idempotent keyed call, which needs
// no claim. The first one in log order is kept.
type UnclaimedResponse struct {
	Claim    Claim    `cbor:"1,keyasint"`
	Response Response `cbor:"2,keyasint"`
}

// Reply is a stored reply that can be read again by its id.
type Reply struct {
	Workspace string `cbor:"1,keyasint"`
	ID        string `cbor:"2,keyasint"`
	Service   string `cbor:"3,keyasint"`
	// At and RetentionSeconds have the same meaning as in Claim.
	At               int64  `cbor:"4,keyasint"`
	RetentionSeconds int64  `cbor:"5,keyasint"`
	Body             []byte `cbor:"6,keyasint"`
	// Version is set on a renewal, to the version that it renews.
	Version Version `cbor:"7,keyasint"`
}

// Renewal writes a row again before its records expire.
type Renewal struct {
	Claim Claim `cbor:"1,keyasint"`
	Phase Phase `cbor:"2,keyasint"`
	// Version and Claimed are those of the row.
	Version  Version  `cbor:"3,keyasint"`
	Claimed  Version  `cbor:"4,keyasint"`
	Response Response `cbor:"5,keyasint"`
	// Seen is the offset up to which the writer had applied the stream.
	Seen commitlog.Offset `cbor:"6,keyasint"`
}

// Retire removes a row whose retention has ended, or a stored reply if ID is
// set.
type Retire struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint,omitempty"`
	ID        string `cbor:"3,keyasint,omitempty"`
	// Version is the version of the stored reply that is retired.
	Version Version `cbor:"4,keyasint"`
	// Seen has the same meaning as in Renewal.
	Seen commitlog.Offset `cbor:"5,keyasint"`
}

func (c Claim) check() error {
	if c.Key == "" || c.Attempt == "" {
		return errors.Wrap(ErrRecord, "claim has no key or no attempt")
	}
	if c.Base.Index < 0 {
		return errors.Wrap(ErrRecord, "base version has a negative index")
	}
	return nil
}
