package spec_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/claim"
	"github.com/catkinrudder/catkinrudder/commitlog"
)

// step is one record as in claim.pml, with its kind, its attempt and its base
// version, and the row's expected phase after the record was applied.
type step struct {
	kind    commitlog.EntryKind
	verdict claim.Verdict
	attempt string
	base    commitlog.Offset
	want    claim.Phase
}

const (
	kClaim   = claim.KindClaim
	kRelease = claim.KindRelease
	kOutcome = claim.KindOutcome
	done     = claim.VerdictComplete
	unknown  = claim.VerdictUnknown
)

// TestFoldFollowsTheSpecification checks that the fold makes the same transitions
// as foldNext in claim.pml, both those that its guards allow and those that they
// reject.
func TestFoldFollowsTheSpecification(t *testing.T) {
	paths := map[string][]step{
		"second claim is rejected": {
			{kClaim, 0, "1", 0, claim.Held}, {kClaim, 0, "2", 0, claim.Held},
			{kOutcome, done, "1", 1, claim.Complete}},
		"release allows a new claim": {
			{kClaim, 0, "1", 0, claim.Held}, {kRelease, 0, "1", 1, claim.Released},
			{kClaim, 0, "2", 2, claim.Held}, {kOutcome, done, "2", 3, claim.Complete}},
		"late duplicates have no effect": {
			{kClaim, 0, "1", 0, claim.Held}, {kRelease, 0, "1", 1, claim.Released},
			{kClaim, 0, "1", 0, claim.Released}, {kClaim, 0, "2", 2, claim.Held},
			{kRelease, 0, "1", 1, claim.Held}, {kOutcome, done, "1", 1, claim.Held}},
		"only the holder can release": {
			{kClaim, 0, "1", 0, claim.Held}, {kRelease, 0, "2", 1, claim.Held}},
		"a completed row stays completed": {
			{kClaim, 0, "1", 0, claim.Held}, {kOutcome, done, "1", 1, claim.Complete},
			{kRelease, 0, "1", 1, claim.Complete}, {kClaim, 0, "2", 2, claim.Complete},
			{kOutcome, unknown, "1", 1, claim.Complete}},
		"unknown outcome, then the response": {
			{kClaim, 0, "1", 0, claim.Held}, {kOutcome, unknown, "1", 1, claim.Unknown},
			{kRelease, 0, "1", 1, claim.Unknown}, {kClaim, 0, "2", 2, claim.Unknown},
			{kOutcome, done, "1", 1, claim.Complete}},
	}
	for name, steps := range paths {
		t.Run(name, func(t *testing.T) {
			f := claim.NewFold()
			for i, s := range steps {
				assert.NilError(t, f.Apply(commitlog.Position{Offset: commitlog.Offset(i)}, s.entry(t)))
				row, _ := f.Lookup("w", "k")
				assert.Equal(t, row.Phase, s.want, "step %d", i)
			}
		})
	}
}

func (s step) entry(t *testing.T) commitlog.Entry {
	c := claim.Claim{Workspace: "w", Key: "k", Attempt: s.attempt, Base: claim.Version{Next: s.base}}
	var body any = c
	switch s.kind {
	case kRelease:
		body = claim.Release{Claim: c, Proof: claim.ProofVetoed}
	case kOutcome:
		body = claim.Outcome{Claim: c, Verdict: s.verdict}
	}
	e, err := commitlog.NewEntry(s.kind, body)
	assert.NilError(t, err)
	return e
}
