package peering

import (
	"maps"
	"slices"
	"time"
)

// maxWaitingServices bounds the services whose waiting requests are reported.
const maxWaitingServices = 64

// waiting returns how many requests wait at this gateway, for a report. If there are too many
// services, the first ones by their keys are reported.
func (p *Peering) waiting() map[uint32]int {
	if p.opts.Waiting == nil {
		return nil
	}
	counts := p.opts.Waiting()
	if len(counts) <= maxWaitingServices {
		return counts
	}
	for _, service := range slices.Sorted(maps.Keys(counts))[maxWaitingServices:] {
		delete(counts, service)
	}
	return counts
}

// applyWaiting passes on what waits at the sender of a report. One that waits for another
// region's slots there competes for the same slots as one here.
func (p *Peering) applyWaiting(r report, far bool, now time.Time) {
	if p.opts.Crowd != nil && len(r.Waiting) <= maxWaitingServices {
		p.opts.Crowd.Set(r.From, far, r.Waiting, now)
	}
}
