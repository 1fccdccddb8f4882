package routing

import "time"

const (
	// ejectAfter is how many consecutive failures eject a backend server.
	ejectAfter = 3
	// minEjectTime is the length of the first ejection. It doubles up to maxEjectTime.
	minEjectTime = 2 * time.Second
	maxEjectTime = 60 * time.Second
	// slowStartTime is how long a backend server takes to get its full load back
	// after an ejection.
	slowStartTime = 10 * time.Second
	// A backend server is slow if its step time is more than slowFactor times the
	// mean of its peers; slowAfter consecutive slow load reports eject it.
	slowFactor = 4
	slowAfter  = 5
	// maxEjectedShare bounds the share of a service's backend servers that are
	// ejected at the same time.
	maxEjectedShare = 0.5
)

// RecordResult records the result of an attempt. It reports whether the result
// ejected the backend server.
func (t *Table) RecordResult(now time.Duration, instance string, result Result) bool {
	r, ok := t.rows[instance]
	if !ok {
		return false
	}
	if result != Failed {
		r.failures = 0
		return false
	}
	r.failures++
	if r.failures < ejectAfter {
		return false
	}
	r.failures = 0
	return t.eject(now, r)
}

// checkSlow ejects a backend server whose step time stays far above that of its
// peers.
func (t *Table) checkSlow(now time.Duration, r *row) {
	mean, n := t.peerStepTime(r)
	if n == 0 || r.load.StepTime <= slowFactor*mean {
		r.slowReports = 0
		return
	}
	r.slowReports++
	if r.slowReports >= slowAfter && t.eject(now, r) {
		r.slowReports = 0
	}
}

// peerStepTime returns the mean step time of the other rows of the service that
// report one, and their number.
func (t *Table) peerStepTime(r *row) (time.Duration, int) {
	p := t.pools[r.backend.Service]
	p.refresh(t.region, t.seed)
	var sum time.Duration
	n := 0
	for _, rows := range [2][]*row{p.nearSubset, p.farSubset} {
		for _, x := range rows {
			if x != r && x.load.StepTime > 0 {
				sum += x.load.StepTime
				n++
			}
		}
	}
	if n == 0 {
		return 0, 0
	}
	return sum / time.Duration(n), n
}

// eject ejects a row for a while, unless too many of its service are ejected already.
func (t *Table) eject(now time.Duration, r *row) bool {
	p := t.pools[r.backend.Service]
	ejected := 1
	for _, x := range p.all {
		if x != r && now < x.ejectedUntil {
			ejected++
		}
	}
	if float64(ejected) > maxEjectedShare*float64(len(p.all)) {
		return false
	}
	repeated := r.ejectTime > 0 && now < r.ejectedUntil+slowStartTime
	r.ejectTime = min(max(minEjectTime, 2*r.ejectTime), maxEjectTime)
	if !repeated {
		r.ejectTime = minEjectTime
	}
	r.ejectedUntil = now + r.ejectTime
	return true
}

// slowStart returns 1 at the end of an ejection and falls to 0 over slowStartTime.
func (r *row) slowStart(now time.Duration) float64 {
	if r.ejectTime == 0 {
		return 0
	}
	return max(1-float64(now-r.ejectedUntil)/float64(slowStartTime), 0)
}
