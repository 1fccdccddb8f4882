package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// RegionLoad is the load of the backend servers of one region that take batch attempts.
type RegionLoad struct {
	// Servers are their ids.
	Servers []string
	Slots   int
	// Load counts the attempts that have slots: no server counts with more than its slots.
	Load Counts
}

// RegionLoads sums the loads of the candidates that take batch attempts by region.
func (t *Table) RegionLoads(candidates []catalog.Backend, now time.Time) map[string]RegionLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]RegionLoad)
	for _, b := range candidates {
		if b.State != catalog.Ready || t.unknownLoad(b) || t.ejected(b.ID, now) {
			continue
		}
		load := t.load(b.ID, now)
		online := min(load.Online+t.unreported(b.ID, now), b.Slots)
		region := t.opts.RegionOf[b.Zone]
		sum := sums[region]
		sum.Servers = append(sum.Servers, b.ID)
		sum.Slots += b.Slots
		sum.Load.Online += online
		sum.Load.Batch += min(load.Batch, b.Slots-online)
		sums[region] = sum
	}
	return sums
}

// Load returns the known attempts at a backend server.
func (t *Table) Load(b catalog.Backend, now time.Time) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.load(b.ID, now)
	load.Online += t.unreported(b.ID, now)
	return load
}
