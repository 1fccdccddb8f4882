package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usualPace is the pace of a backend server that has stated nothing.
	usualPace = 1.0
	// paceTolerance is the relative difference from which on two paces differ.
	paceTolerance = 0.1
	// maxPaces bounds the backend servers whose paces are kept, maxSharedPaces those in a report.
	maxPaces       = 4096
	maxSharedPaces = 16
	// paceRetention is the multiple of the lifetime of a pace after which it is dropped.
	paceRetention = 3
	// paceResolution is the least time between two observations: reports repeat one for a while,
	// and their delays vary.
	paceResolution = 10 * time.Millisecond
)

// Pace is what a backend server has stated about its pace.
type Pace struct {
	// Factor is how long work takes there, relative to the usual time.
	Factor float64
	// Age is the time since the server has stated it.
	Age time.Duration
}

// paceRecord is the last known pace of a backend server.
type paceRecord struct {
	factor float64
	at     time.Time
	// own states that this gateway has observed it itself. Only then is it reported to others.
	own bool
	// recovered states that the server was at another pace shortly before.
	recovered bool
}

// usual reports whether the pace hardly differs from the usual one.
func (r paceRecord) usual() bool { return samePace(r.factor, usualPace) }

func samePace(a, b float64) bool { return math.Abs(a-b) <= paceTolerance*b }

// paceTable holds the paces that backend servers state, by Key. A pace is true for a part of a
// second on machines that are shared, and for hours elsewhere: the table learns how long.
type paceTable struct {
	servers  map[uint32]paceRecord
	lifetime paceLifetime
}

func newPaceTable() paceTable {
	return paceTable{servers: make(map[uint32]paceRecord), lifetime: newPaceLifetime()}
}

// observe records a pace unless a newer one is known. It reports whether the pace has changed.
func (p *paceTable) observe(key uint32, r paceRecord) (changed bool) {
	last, known := p.servers[key]
	if !known {
		last = paceRecord{factor: usualPace}
	}
	since := r.at.Sub(last.at)
	if known && since <= paceResolution {
		return false
	}
	changed = !samePace(r.factor, last.factor)
	if !last.usual() {
		p.lifetime.observe(since, changed)
	}
	if !known && len(p.servers) >= maxPaces {
		return false
	}
	r.recovered = !last.usual() && since <= paceRetention*p.lifetime.mean()
	p.servers[key] = r
	return changed
}

// believed returns the pace of a backend server as far as it is still true: with its age it tends
// to the usual one.
func (p *paceTable) believed(key uint32, now time.Time) float64 {
	r, known := p.servers[key]
	if !known || r.usual() {
		return usualPace
	}
	age := max(now.Sub(r.at), 0)
	return usualPace + (r.factor-usualPace)*math.Exp(-age.Seconds()/p.lifetime.mean().Seconds())
}

// fresh returns the newest paces of own observation that another gateway may not expect.
func (p *paceTable) fresh(now time.Time) map[uint32]Pace {
	retention := paceRetention * p.lifetime.mean()
	var keys []uint32
	for key, r := range p.servers {
		if now.Sub(r.at) > retention {
			delete(p.servers, key)
			continue
		}
		if r.own && (r.recovered || !r.usual()) {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	slices.SortFunc(keys, func(a, b uint32) int {
		return cmp.Or(p.servers[b].at.Compare(p.servers[a].at), cmp.Compare(a, b))
	})
	out := make(map[uint32]Pace, min(len(keys), maxSharedPaces))
	for _, key := range keys[:min(len(keys), maxSharedPaces)] {
		out[key] = Pace{p.servers[key].factor, max(now.Sub(p.servers[key].at), 0)}
	}
	return out
}

// paceLifetime estimates how long an unusual pace lasts, from how often the next observation of
// the same backend server finds another one.
type paceLifetime struct {
	// seconds is the weighted time that unusual paces were watched, ends how often they ended.
	seconds, ends float64
}

const (
	// initialPaceLifetime is the lifetime until servers have shown theirs; it has the weight of
	// initialPaceEnds ends.
	initialPaceLifetime = 300 * time.Millisecond
	initialPaceEnds     = 4
	minPaceLifetime     = 50 * time.Millisecond
	maxPaceLifetime     = time.Minute
	// paceMemory is how many observations the estimate takes into account.
	paceMemory = 256
)

func newPaceLifetime() paceLifetime {
	return paceLifetime{seconds: initialPaceEnds * initialPaceLifetime.Seconds(), ends: initialPaceEnds}
}

// observe takes in that an unusual pace was observed again after an interval, or had ended in it.
func (l *paceLifetime) observe(interval time.Duration, ended bool) {
	const keep = 1 - 1.0/paceMemory
	mean := l.mean()
	l.seconds *= keep
	l.ends *= keep
	if !ended {
		l.seconds += interval.Seconds()
		return
	}
	l.seconds += min(interval/2, mean).Seconds()
	l.ends++
}

func (l *paceLifetime) mean() time.Duration {
	mean := time.Duration(l.seconds / max(l.ends, math.SmallestNonzeroFloat32) * float64(time.Second))
	if mean < 0 { // beyond the range of a duration
		return maxPaceLifetime
	}
	return min(max(mean, minPaceLifetime), maxPaceLifetime)
}

// ObservePace records the pace that a backend server has just stated to this gateway.
func (t *Table) ObservePace(id string, factor float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paces.observe(Key(id), paceRecord{factor: factor, at: now, own: true}) {
		t.notifyLocalChange()
	}
}

// FreshPaces returns the paces that this gateway has observed and that others may not know yet, by
// the key of the backend server, for reports to them.
func (t *Table) FreshPaces(now time.Time) map[uint32]Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paces.fresh(now)
}

// recordPeerPaces records the paces in a peer's report. The caller holds mu.
func (t *Table) recordPeerPaces(paces map[uint32]Pace, now time.Time) {
	for key, p := range paces {
		t.paces.observe(key, paceRecord{factor: p.Factor, at: now.Add(-p.Age)})
	}
}
