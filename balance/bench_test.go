package balance_test

import (
	"fmt"
	"testing"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
)

// BenchmarkPick measures a choice among backend servers while each peer reports
// attempts at a third of them.
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ peers, backends int }{{8, 9}, {34, 50}, {300, 500}} {
		b.Run(fmt.Sprintf("peers=%d/backends=%d", size.peers, size.backends), func(b *testing.B) {
			table := newTable()
			var all []catalog.Backend
			for i := range size.backends {
				all = append(all, backend(fmt.Sprint("i-", i), "a"))
			}
			for p := range size.peers {
				counts := make(map[uint32]balance.Counts)
				for i := p % 3; i < size.backends; i += 3 {
					counts[balance.Key(all[i].ID)] = balance.Counts{}
				}
				table.SetPeer(fmt.Sprint("peer-", p), balance.PeerReport{Counts: counts}, now)
			}
			for b.Loop() {
				c, _ := table.Pick(all, balance.Requirements{}, now)
				table.Release(c.Backend.ID, balance.Online)
			}
		})
	}
}
