package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property-based tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func BenchmarkTransition(b *testing.B) {
	c := New(Policy{})
	r := &row{}
	b.ReportAllocs()
	for b.Loop() {
		r.state = stopping
		c.fire(r, end)
	}
}
