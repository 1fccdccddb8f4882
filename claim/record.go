package claim

import (
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// StreamName is the log stream that claims are kept in.
const StreamName = "claims"

// The entry kinds of the claims stream.
const (
	KindClaim   commitlog.EntryKind = 1
	KindRelease commitlog.EntryKind = 2
	KindOutcome commitlog.EntryKind = 3
	KindAnswer  commitlog.EntryKind = 4
	KindReply   commitlog.EntryKind = 5
	KindRenewal commitlog.EntryKind = 6
	KindRetire  commitlog.EntryKind = 7
)

// ErrRecord says that an entry is refused by rule: its kind is unknown or a
// field is missing or out of range.
var ErrRecord = errors.New("claim: record refused")

// Version names the record that made a row's last transition. The zero value
// is the version of a row that does not exist.
type Version struct {
	// Next is the offset after the record's.
	Next commitlog.Offset `cbor:"1,keyasint,omitempty"`
	// Index is the entry's index within the record.
	Index int `cbor:"2,keyasint,omitempty"`
}

func versionOf(p commitlog.Position) Version {
	return Version{Next: p.Offset + 1, Index: p.Index}
}

// Claim asks for the row of a key on behalf of one attempt.
type Claim struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	// RequestHash tells requests of the same key apart.
	RequestHash string `cbor:"3,keyasint"`
	// Attempt is unique for ever.
	Attempt string `cbor:"4,keyasint"`
	// Instance and Incarnation name the sidecar the attempt is meant for.
	Instance    string `cbor:"5,keyasint"`
	Incarnation string `cbor:"6,keyasint"`
	Service     string `cbor:"7,keyasint"`
	// Base is the version of the row that the claim is based on.
	Base Version `cbor:"8,keyasint"`
	// At is the writer's wall clock, in seconds since the Unix epoch.
	At int64 `cbor:"9,keyasint"`
	// Keep is the declared result retention, in seconds.
	RetentionSeconds int64 `cbor:"10,keyasint"`
}

// Proof is why an attempt was not run and never will be.
type Proof uint8

// The proofs.
const (
	// ProofRefused says that the named incarnation refused the attempt
	// unstarted; the refusal of its successor is no proof.
	ProofRefused Proof = 1
	// ProofVetoed says that the incarnation promised never to start it.
	ProofVetoed Proof = 2
	// ProofNeverSent says that the claiming entry never sent it and never will.
	ProofNeverSent Proof = 3
)

// Release opens a row again. Claim.Base is the version of the claim.
type Release struct {
	Claim Claim `cbor:"1,keyasint"`
	Proof Proof `cbor:"2,keyasint"`
}

// Verdict is how an attempt ended.
type Verdict uint8

// The verdicts.
const (
	VerdictComplete Verdict = 1
	VerdictUnknown  Verdict = 2
)

// Header is one HTTP header field of a recorded answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Response is an answer as the backend server gave it.
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

// Answer records the answer of an idempotent keyed call, which needs no claim.
// The first one folded stays.
type Answer struct {
	Claim    Claim    `cbor:"1,keyasint"`
	Response Response `cbor:"2,keyasint"`
}

// Reply is a stored reply that can be read again by its id.
type Reply struct {
	Workspace string `cbor:"1,keyasint"`
	ID        string `cbor:"2,keyasint"`
	Service   string `cbor:"3,keyasint"`
	// At and Keep are as in Claim.
	At               int64  `cbor:"4,keyasint"`
	RetentionSeconds int64  `cbor:"5,keyasint"`
	Body             []byte `cbor:"6,keyasint"`
	// Version is set on a renewal to the version it restates.
	Version Version `cbor:"7,keyasint"`
}

// Renewal restates a row before its records expire.
type Renewal struct {
	Claim Claim `cbor:"1,keyasint"`
	Phase Phase `cbor:"2,keyasint"`
	// Version and Claimed are the row's.
	Version  Version  `cbor:"3,keyasint"`
	Claimed  Version  `cbor:"4,keyasint"`
	Response Response `cbor:"5,keyasint"`
	// Seen is the offset up to which the writer had folded the stream.
	Seen commitlog.Offset `cbor:"6,keyasint"`
}

// Retire removes a row, or a stored reply if ID is set, whose retention has
// ended.
type Retire struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint,omitempty"`
	ID        string `cbor:"3,keyasint,omitempty"`
	// Version is the version of the stored reply that is retired.
	Version Version `cbor:"4,keyasint"`
	// Seen is as in Renewal.
	Seen commitlog.Offset `cbor:"5,keyasint"`
}

func (c Claim) check() error {
	if c.Key == "" || c.Attempt == "" {
		return errors.Wrap(ErrRecord, "claim without key or attempt")
	}
	if c.Base.Index < 0 {
		return errors.Wrap(ErrRecord, "negative index")
	}
	return nil
}
