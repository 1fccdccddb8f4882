package claim

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// FuzzApply applies one arbitrary entry after a claim. The fold must not panic,
// and an ended row must stay ended.
func FuzzApply(f *testing.F) {
	c := Claim{Workspace: "w", Key: "k", Attempt: "1", Base: Version{Next: 1}}
	for _, rec := range []any{c, Release{Claim: c, Proof: ProofVetoed}, Outcome{Claim: c, Verdict: VerdictComplete},
		Renewal{Claim: c, Phase: Held, Version: Version{Next: 1}, Seen: 9}, Retire{Workspace: "w", Key: "k", Seen: 9}} {
		e, err := commitlog.NewEntry(kindOf(rec), rec)
		assert.NilError(f, err)
		f.Add(uint16(e.Kind), e.Body)
	}
	f.Add(uint16(KindUnclaimedResponse), []byte{0xa1, 0x01})
	f.Add(uint16(KindReply), []byte{0xff})
	f.Fuzz(func(t *testing.T, kind uint16, body []byte) {
		fold := NewFold()
		first := c
		first.Base = Version{}
		applyRecord(t, fold, 0, first)
		applyRecord(t, fold, 1, Outcome{Claim: c, Verdict: VerdictUnknown})
		_ = fold.Apply(commitlog.Position{Offset: 2}, commitlog.Entry{Kind: commitlog.EntryKind(kind), Body: body})
		row, ok := fold.Lookup("w", "k")
		renewed := commitlog.EntryKind(kind) == KindRenewal || commitlog.EntryKind(kind) == KindRetire
		assert.Assert(t, renewed || ok && row.Phase.Ended())
	})
}

func BenchmarkClaimTransition(b *testing.B) {
	m := newMachine()
	row := Row{}
	b.ReportAllocs()
	for b.Loop() {
		m.fire(&row, trigClaim)
		m.fire(&row, trigRelease)
	}
}

func BenchmarkFoldClaimAndOutcome(b *testing.B) {
	c := Claim{Workspace: "w", Key: "k", Attempt: "1", Service: "s", Instance: "i", Incarnation: "i.1"}
	claimed, _ := commitlog.NewEntry(KindClaim, c)
	c.Base = Version{Next: 1}
	ended, _ := commitlog.NewEntry(KindOutcome, Outcome{Claim: c, Verdict: VerdictComplete})
	f := NewFold()
	b.ReportAllocs()
	for b.Loop() {
		clear(f.rows)
		_ = f.Apply(commitlog.Position{}, claimed)
		_ = f.Apply(commitlog.Position{Offset: 1}, ended)
	}
}
