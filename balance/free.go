package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// FreeSlots returns how many online requests of all gateways the candidates can take at
// once, as far as is known; slots of batch attempts count as free.
func (t *Table) FreeSlots(candidates []catalog.Backend, req Requirements, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, b := range candidates {
		if b.State != catalog.Ready || req.excludes(b) || req.OwnRegion && t.otherRegion(b) || t.unknownLoad(b) {
			continue
		}
		n += max(b.Slots-t.load(b.ID, now).Online-t.unreported(b.ID, now), 0)
	}
	return n
}
