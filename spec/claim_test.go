package spec_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/claim"
	"github.com/catkinrudder/catkinrudder/commitlog"
)

// step is one record of claim.pml: its kind, its attempt and the version that
// it is based on, and the row's phase after it was folded.
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

// TestFoldFollowsTheSpecification drives the fold through the transitions of
// foldNext in claim.pml: those that the guards allow and those they refuse.
func TestFoldFollowsTheSpecification(t *testing.T) {
	paths := map[string][]step{
		"second claim loses": {
			{kClaim, 0, "1", 0, claim.Held}, {kClaim, 0, "2", 0, claim.Held},
			{kOutcome, done, "1", 1, claim.Complete}},
		"release reopens": {
			{kClaim, 0, "1", 0, claim.Held}, {kRelease, 0, "1", 1, claim.Released},
			{kClaim, 0, "2", 2, claim.Held}, {kOutcome, done, "2", 3, claim.Complete}},
		"late copies change nothing": {
			{kClaim, 0, "1", 0, claim.Held}, {kRelease, 0, "1", 1, claim.Released},
			{kClaim, 0, "1", 0, claim.Released}, {kClaim, 0, "2", 2, claim.Held},
			{kRelease, 0, "1", 1, claim.Held}, {kOutcome, done, "1", 1, claim.Held}},
		"only the holder releases": {
			{kClaim, 0, "1", 0, claim.Held}, {kRelease, 0, "2", 1, claim.Held}},
		"an ended row stays ended": {
			{kClaim, 0, "1", 0, claim.Held}, {kOutcome, done, "1", 1, claim.Complete},
			{kRelease, 0, "1", 1, claim.Complete}, {kClaim, 0, "2", 2, claim.Complete},
			{kOutcome, unknown, "1", 1, claim.Complete}},
		"unknown, then the answer": {
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
