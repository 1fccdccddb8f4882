package placement

import (
	"testing"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// FuzzApply applies entries with arbitrary bodies. An entry is either applied or
// rejected without an effect, and never causes a panic.
func FuzzApply(f *testing.F) {
	e, err := commitlog.NewEntry(KindAssignment, Assignment{Service: "svc", Instance: "s", Spec: Spec{Model: "m", Version: "v"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint16(KindAssignment), e.Body)
	f.Add(uint16(KindAssignment), []byte{0xa0})
	f.Add(uint16(99), []byte{})
	f.Fuzz(func(t *testing.T, kind uint16, body []byte) {
		table := NewTable()
		err := table.Apply(commitlog.Position{Offset: 1}, commitlog.Entry{Kind: commitlog.EntryKind(kind), Body: body})
		if _, ok := table.Order("s"); ok && err != nil {
			t.Fatal("a rejected entry took effect")
		}
	})
}
