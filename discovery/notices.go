package discovery

import (
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// Current implements keyedlog.Filter.
func (b *Backends) Current(records []keyedlog.Record) []keyedlog.Record {
	current := make([]keyedlog.Record, 0, len(records))
	for _, r := range records {
		backend, err := b.decode(r.Key, r.Value)
		if r.Value == nil || err != nil {
			current = append(current, r)
			continue
		}
		b.update(func() []Change {
			now := b.now()
			if !b.starts.outdated(backend, now) {
				b.starts.record(backend, now)
				current = append(current, r)
				return nil
			}
			if reg := b.byID[r.Key]; reg != nil && reg.lapsedAt.IsZero() {
				current = append(current, reg.record)
			}
			return []Change{{Backend: backend, Kind: Outdated}}
		})
	}
	return current
}

// SetLeaving records that a backend server that started at startedMs has said in a response that it drains. Its
// registration may say so later, or never.
func (b *Backends) SetLeaving(id string, startedMs int64) {
	if b.knownLeaving(id, startedMs) {
		return
	}
	b.update(func() []Change {
		if !b.starts.setDrains(id, startedMs, b.now()) {
			return nil
		}
		reg := b.byID[id]
		if reg == nil || reg.backend.StartedMs != startedMs {
			return nil
		}
		reg.leaving = true
		reg.backend.State = catalog.Draining
		return []Change{{Backend: reg.backend, Kind: DrainStarted}}
	})
}

// knownLeaving reports whether SetLeaving has nothing to do for a start of a backend server.
func (b *Backends) knownLeaving(id string, startedMs int64) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	s, known := b.starts[id]
	return known && (s.startedMs > startedMs || s.startedMs == startedMs && s.drains)
}
