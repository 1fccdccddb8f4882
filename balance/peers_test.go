package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPeerSumsAgreeWithNaive generates random reports, removals and expiries, and
// compares the sums with a new count over all peers.
func TestPeerSumsAgreeWithNaive(t *testing.T) {
	const ttl = time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	table := newPeerTable(ttl)
	naive := make(map[string]storedReport)
	now := time.Unix(0, 0)
	for range 5000 {
		now = now.Add(time.Duration(rng.Int64N(int64(100 * time.Millisecond))))
		name := fmt.Sprint(rng.IntN(12))
		if rng.IntN(10) == 0 {
			table.remove(name)
			delete(naive, name)
		} else {
			counts := map[uint32]Counts{uint32(rng.IntN(5)): {Online: rng.IntN(3), Batch: rng.IntN(3)}}
			table.set(name, PeerReport{Counts: counts}, now)
			naive[name] = storedReport{reportedAt: now, counts: counts}
		}
		table.expire(now)
		want := make(map[uint32]Counts)
		for _, p := range naive {
			if now.Sub(p.reportedAt) > ttl {
				continue
			}
			for key, c := range p.counts {
				sum := Counts{want[key].Online + c.Online, want[key].Batch + c.Batch}
				if sum != (Counts{}) {
					want[key] = sum
				}
			}
		}
		assert.DeepEqual(t, table.sums, want)
	}
}
