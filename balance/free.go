package balance

import (
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// FreeSlots returns how many more online requests the candidates take as far as is known, in
// their slots, those of batch attempts included, and in the queues of their engines.
func (t *Table) FreeSlots(candidates []catalog.Backend, req Requirements, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, b := range candidates {
		if b.State != catalog.Ready || req.excludes(b) || t.denied(b.ID, req.Class, now) || req.OwnRegion && t.otherRegion(b) || t.unknownLoad(b) {
			continue
		}
		n += max(req.onlineLimit(b)-t.load(b.ID, now).Online-t.unreported(b.ID, now), 0)
	}
	return n
}
