package balance

import (
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// ExcessBatch returns how many of its own batch attempts at b this gateway has to
// stop so that the online attempts there find slots. The gateways that run batch
// attempts there divide the excess in the order of their counts, so that each of
// them computes the same division from the same counts.
func (t *Table) ExcessBatch(name string, b catalog.Backend, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.load(b.ID, now)
	excess := min(sum.total()-b.Slots, sum.Batch)
	if excess <= 0 || sum.Online == 0 {
		return 0
	}
	key := Key(b.ID)
	holders := []holder{{name, t.localBatch(b.ID)}}
	for peer, p := range t.peers.peers {
		if p.counts[key].Batch > 0 {
			holders = append(holders, holder{peer, p.counts[key].Batch})
		}
	}
	return shareOf(name, holders, excess)
}

func (t *Table) localBatch(id string) int {
	if counts := t.local[id]; counts != nil {
		return counts.n[Batch]
	}
	return 0
}

// holder is a gateway that runs batch attempts at a backend server.
type holder struct {
	name  string
	batch int
}

// shareOf takes the excess, one attempt at a time, from the holder with the most
// attempts left and returns the share of name.
func shareOf(name string, holders []holder, excess int) int {
	slices.SortFunc(holders, func(a, b holder) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	share := 0
	for range excess {
		most := 0
		for i := range holders {
			if holders[i].batch > holders[most].batch {
				most = i
			}
		}
		holders[most].batch--
		if holders[most].name == name {
			share++
		}
	}
	return share
}
