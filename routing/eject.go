package routing

import "time"

const (
	// ejectAfter is how many failures in a row eject a backend server.
	ejectAfter = 3
	// ejectFor is the first ejection's length; it doubles up to maxEjectFor.
	ejectFor    = 2 * time.Second
	maxEjectFor = 60 * time.Second
	// returnOver is how long a backend server takes to return.
	returnOver = 10 * time.Second
	// slowFactor is how many times the mean step of its peers makes a backend
	// server slow, slowAfter how many load reports in a row eject it.
	slowFactor = 4
	slowAfter  = 5
	// maxEjectedShare bounds the share of a service that is ejected at once.
	maxEjectedShare = 0.5
)

// RecordResult records how an attempt went. It reports whether the backend server was
// ejected by it.
func (t *Table) RecordResult(now time.Duration, instance string, res Result) bool {
	r, ok := t.rows[instance]
	if !ok {
		return false
	}
	if res != Failed {
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

// checkSlow ejects a backend server whose step stays far above its peers'.
func (t *Table) checkSlow(now time.Duration, r *row) {
	mean, n := t.peerStep(r)
	if n == 0 || r.load.StepTime <= slowFactor*mean {
		r.slow = 0
		return
	}
	r.slow++
	if r.slow >= slowAfter && t.eject(now, r) {
		r.slow = 0
	}
}

// peerStep is the mean step of the other rows of a service that report one.
func (t *Table) peerStep(r *row) (time.Duration, int) {
	p := t.pools[r.backend.Service]
	p.refresh(t.region, t.seed)
	var sum time.Duration
	n := 0
	for _, rows := range [2][]*row{p.local, p.remote} {
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

// eject takes a row out for a while, unless too many are out already.
func (t *Table) eject(now time.Duration, r *row) bool {
	p := t.pools[r.backend.Service]
	out := 1
	for _, x := range p.all {
		if x != r && now < x.ejected {
			out++
		}
	}
	if float64(out) > maxEjectedShare*float64(len(p.all)) {
		return false
	}
	again := r.ejectFor > 0 && now < r.ejected+returnOver
	r.ejectFor = min(max(ejectFor, 2*r.ejectFor), maxEjectFor)
	if !again {
		r.ejectFor = ejectFor
	}
	r.ejected = now + r.ejectFor
	return true
}

// returning is 1 at the end of an ejection and falls to 0 over returnOver.
func (r *row) returning(now time.Duration) float64 {
	if r.ejectFor == 0 {
		return 0
	}
	return max(1-float64(now-r.ejected)/float64(returnOver), 0)
}
