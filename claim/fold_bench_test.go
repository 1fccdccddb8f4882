package claim

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// BenchmarkFoldClaim applies one claim and its outcome to a fold that holds a
// given number of rows.
func BenchmarkFoldClaim(b *testing.B) {
	for _, rows := range []int{0, 1000, 100_000} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			f := NewFold()
			for i := range rows {
				foldOne(b, f, i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				foldOne(b, f, rows+i)
			}
			row, _ := f.Lookup("w", fmt.Sprint("key-", rows))
			assert.Equal(b, row.Phase, Complete)
		})
	}
}

// foldOne applies the i-th claim and its outcome.
func foldOne(b *testing.B, f *Fold, i int) {
	b.Helper()
	c := Claim{
		Workspace: "w", Key: fmt.Sprint("key-", i), RequestHash: "h", Attempt: fmt.Sprint("attempt-", i),
		Instance: "backend-1", Incarnation: "incarnation-1", Service: "s", At: 1, RetentionSeconds: 3600,
	}
	at := commitlog.Position{Offset: commitlog.Offset(2 * i)}
	apply(b, f, at, KindClaim, c)
	c.Base = versionOf(at)
	at.Offset++
	apply(b, f, at, KindOutcome, Outcome{Claim: c, Verdict: VerdictComplete, Response: Response{Status: 200, Body: make([]byte, 200)}})
}

func apply(b *testing.B, f *Fold, at commitlog.Position, kind commitlog.EntryKind, body any) {
	b.Helper()
	e, err := commitlog.NewEntry(kind, body)
	assert.NilError(b, err)
	assert.NilError(b, f.Apply(at, e))
}
