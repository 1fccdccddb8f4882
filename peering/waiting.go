package peering

import (
	"maps"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/waiting"
)

// maxWaitingServices bounds the services whose waiting requests are reported.
const maxWaitingServices = 64

// waiting returns how many requests wait at this gateway, for a report. If there are too many
// services, the first ones by their keys are reported.
func (p *Peering) waiting() map[uint32][2]int {
	if p.opts.Waiting == nil {
		return nil
	}
	counts := p.opts.Waiting()
	services := slices.Sorted(maps.Keys(counts))
	out := make(map[uint32][2]int, len(services))
	for _, service := range services[:min(len(services), maxWaitingServices)] {
		out[service] = [2]int{counts[service].All, counts[service].InTime}
	}
	return out
}

// applyWaiting passes on what waits at the sender of a report.
func (p *Peering) applyWaiting(r report, far bool, now time.Time) {
	if p.opts.Crowd == nil || len(r.Waiting) > maxWaitingServices {
		return
	}
	counts := make(map[uint32]waiting.Count, len(r.Waiting))
	for service, n := range r.Waiting {
		counts[service] = waiting.Count{All: n[0], InTime: n[1]}
	}
	p.opts.Crowd.Set(r.From, far, counts, now)
}
