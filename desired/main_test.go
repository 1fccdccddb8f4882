package desired

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed is the seed of the property-based tests unless -rapid.seed is set.
const rapidSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set(f.Name, rapidSeed)
	}
	os.Exit(m.Run())
}
