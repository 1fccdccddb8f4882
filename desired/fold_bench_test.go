package desired

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

func benchDocument(workspaces int) []byte {
	var s strings.Builder
	s.WriteString("base = 0\n")
	for i := range workspaces {
		fmt.Fprintf(&s, "[[workspace]]\nname = \"w%d\"\nkey_sha256 = [\"%064x\"]\n", i, i+1)
	}
	s.WriteString("[[service]]\nname = \"s\"\nkind = \"model\"\nmodels = [\"m\"]\n")
	return []byte(s.String())
}

// BenchmarkParse measures parsing and validating a document.
func BenchmarkParse(b *testing.B) {
	for _, workspaces := range []int{12, 120, 1200} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			raw := benchDocument(workspaces)
			b.ReportAllocs()
			for b.Loop() {
				_, err := Parse("document", raw)
				assert.NilError(b, err)
			}
		})
	}
}

// BenchmarkFoldPublication measures applying publications, each based on the
// previous one.
func BenchmarkFoldPublication(b *testing.B) {
	for _, workspaces := range []int{12, 120, 1200} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			raw := benchDocument(workspaces)
			t := NewTable(Hooks{})
			t.SkipTo(0)
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				e, err := commitlog.NewEntry(KindPublish, PublishRecord{ID: fmt.Sprint(i), Base: i, Document: raw})
				assert.NilError(b, err)
				assert.NilError(b, t.Apply(commitlog.Position{Offset: commitlog.Offset(i)}, e))
			}
		})
	}
}
