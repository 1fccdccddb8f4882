package routing

import (
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
)

// Pick chooses a backend server; ok is false if none is fit.
func (t *Table) Pick(now time.Duration, q Request) (Decision, bool) {
	p, ok := t.pools[q.Service]
	if !ok {
		return Decision{}, false
	}
	p.refresh(t.region, t.seed)
	var best *row
	var why Reason
	if q.Class == admission.Batch {
		best, why = t.pickBatch(now, p, q)
	} else {
		best, why = t.pickOnline(now, p, q)
	}
	if best == nil {
		return Decision{}, false
	}
	best.sent[q.Class]++
	return Decision{Backend: best.backend, Reason: why}, true
}

// pickOnline scores the backend servers of the region, and those of the others
// if that pays. It looks beyond the subset only if nothing in it is fit.
func (t *Table) pickOnline(now time.Duration, p *pool, q Request) (*row, Reason) {
	best, why := t.pickFirst(now, q, p.local, p.near)
	if best != nil && !best.full(now) {
		return best, why
	}
	far, _ := t.pickFirst(now, q, p.remote, p.far)
	if far == nil || (best != nil && !spillPays(best.online(now), far.online(now))) {
		return best, why
	}
	return far, Spill
}

// pickFirst chooses from the subset, or else from all rows.
func (t *Table) pickFirst(now time.Duration, q Request, sub, all []*row) (*row, Reason) {
	best, why := t.pickIn(now, sub, q)
	if best == nil && len(all) > len(sub) {
		return t.pickIn(now, all, q)
	}
	return best, why
}

// pickIn chooses among the fit rows: the prefix's own backend server within
// the bound on imbalance, else the better of two chosen at random.
func (t *Table) pickIn(now time.Duration, rows []*row, q Request) (*row, Reason) {
	t.fits = t.filter(t.fits[:0], now, rows, q)
	if len(t.fits) == 0 {
		return nil, ""
	}
	if r := affine(now, t.fits, q.Prefix); r != nil {
		return r, Affinity
	}
	return t.twoChoices(now, t.fits), LeastLoaded
}

// filter appends the rows that may take the request.
func (t *Table) filter(out []*row, now time.Duration, rows []*row, q Request) []*row {
	for _, r := range rows {
		if fit(now, r, q) {
			out = append(out, r)
		}
	}
	return out
}

func fit(now time.Duration, r *row, q Request) bool {
	if r.backend.Service != q.Service || r.backend.Incarnation == "" || r.load.Draining || now < r.ejected {
		return false
	}
	if q.Model != "" && len(r.backend.Models) > 0 && !slices.Contains(r.backend.Models, q.Model) {
		return false
	}
	return !slices.Contains(q.Exclude, r.backend.Instance)
}

// twoChoices returns the better of two random rows (Mitzenmacher, 2001).
func (t *Table) twoChoices(now time.Duration, rows []*row) *row {
	i := t.rng.IntN(len(rows))
	if len(rows) == 1 {
		return rows[i]
	}
	j := t.rng.IntN(len(rows) - 1)
	if j >= i {
		j++
	}
	if t.cost(now, rows[j]) < t.cost(now, rows[i]) {
		return rows[j]
	}
	return rows[i]
}

// affine returns the prefix's own row if its load is within the bound on
// imbalance, or nil (consistent hashing with bounded loads, Mirrokni et al.,
// 2018).
func affine(now time.Duration, rows []*row, prefix uint64) *row {
	if prefix == 0 {
		return nil
	}
	var best *row
	total := 0.0
	for _, r := range rows {
		total += r.online(now)
		if best == nil || weight(r.hash, prefix) > weight(best.hash, prefix) {
			best = r
		}
	}
	if best.online(now) > imbalanceBound(total/float64(len(rows))) || best.returning(now) > 0 {
		return nil
	}
	return best
}
