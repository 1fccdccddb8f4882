package balance

import (
	"math"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// unseen estimates how many attempts peers have started at a service since they reported:
// all of them, or only those of the own zone.
func (t *Table) unseen(service string, ownZone bool, now time.Time) float64 {
	t.peers.expire(now)
	sum := 0.0
	for _, otherZone := range []bool{false, true} {
		if otherZone && ownZone {
			continue
		}
		if u := t.peers.unseen[startsKey{Key(service), otherZone}]; u != nil {
			sum += u.at(now)
		}
	}
	return sum
}

// unseenPerServer estimates how many attempts each backend server of the own region holds
// that this gateway does not know of yet.
func (t *Table) unseenPerServer(candidates []catalog.Backend, now time.Time) float64 {
	near := 0
	for _, b := range candidates {
		if b.State == catalog.Ready && !t.otherRegion(b) {
			near++
		}
	}
	if near == 0 {
		return 0
	}
	return t.unseen(candidates[0].Service, false, now) / float64(near)
}

// batchHeadroom returns how many slots batch attempts leave free: as many as the other
// gateways have probably started since they reported, and as many again that they start
// until the gateways that run batch attempts know of them and stop one.
func (t *Table) batchHeadroom(b catalog.Backend, unseen float64) int {
	if t.otherRegionsSilent && t.otherRegion(b) {
		unseen *= summaryAgeFactor
	}
	return int(math.Round(2 * unseen))
}

// unknownLoad reports whether the gateways near a backend server do not report to this one,
// neither by themselves nor in a summary of their region. Batch attempts there would stand
// in the way of online requests that this gateway never learns of. For online requests the
// server counts as full.
func (t *Table) unknownLoad(b catalog.Backend) bool {
	if !t.otherRegionsSilent || !t.otherRegion(b) {
		return false
	}
	return t.peers.peers[summaryName(t.opts.RegionOf[b.Zone])] == nil
}

func (t *Table) otherRegion(b catalog.Backend) bool {
	return b.Zone != t.opts.Zone && t.opts.RegionOf[b.Zone] != t.opts.RegionOf[t.opts.Zone]
}
