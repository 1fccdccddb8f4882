package routing

import (
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
)

// Pick chooses a backend server. It returns false if none is eligible.
func (t *Table) Pick(now time.Duration, q Request) (Decision, bool) {
	p, ok := t.pools[q.Service]
	if !ok {
		return Decision{}, false
	}
	p.refresh(t.region, t.seed)
	var best *row
	var reason Reason
	if q.Class == admission.Batch {
		best, reason = t.pickBatch(now, p, q)
	} else {
		best, reason = t.pickOnline(now, p, q)
	}
	if best == nil {
		return Decision{}, false
	}
	best.sent[q.Class]++
	return Decision{Backend: best.backend, Reason: reason}, true
}

// pickOnline chooses among the backend servers of the entry process's region, and
// among those of other regions if the lower load there outweighs the distance. It
// considers servers outside the subset only if none inside is eligible.
func (t *Table) pickOnline(now time.Duration, p *pool, q Request) (*row, Reason) {
	best, reason := t.pickPreferSubset(now, q, p.nearSubset, p.near)
	if best != nil && !best.full(now) {
		return best, reason
	}
	far, _ := t.pickPreferSubset(now, q, p.farSubset, p.far)
	if far == nil || (best != nil && !worthSpilling(best.online(now), far.online(now))) {
		return best, reason
	}
	return far, Spill
}

// pickPreferSubset chooses from the subset, or from all rows if none in the subset is
// eligible.
func (t *Table) pickPreferSubset(now time.Duration, q Request, sub, all []*row) (*row, Reason) {
	best, reason := t.pickAmong(now, sub, q)
	if best == nil && len(all) > len(sub) {
		return t.pickAmong(now, all, q)
	}
	return best, reason
}

// pickAmong chooses among the eligible rows: the row that the prefix hashes to, if it is
// within the bound on imbalance, otherwise the better of two random rows.
func (t *Table) pickAmong(now time.Duration, rows []*row, q Request) (*row, Reason) {
	t.eligible = t.appendEligible(t.eligible[:0], now, rows, q)
	if len(t.eligible) == 0 {
		return nil, ""
	}
	if r := affineRow(now, t.eligible, q.Prefix); r != nil {
		return r, Affinity
	}
	return t.twoChoices(now, t.eligible), LeastLoaded
}

// appendEligible appends the rows that are eligible for the request.
func (t *Table) appendEligible(out []*row, now time.Duration, rows []*row, q Request) []*row {
	for _, r := range rows {
		if eligible(now, r, q) {
			out = append(out, r)
		}
	}
	return out
}

func eligible(now time.Duration, r *row, q Request) bool {
	if r.backend.Service != q.Service || r.backend.Incarnation == "" || r.load.Draining || now < r.ejectedUntil {
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

// affineRow returns the row that the prefix hashes to if its load is within the bound
// on imbalance, or nil (consistent hashing with bounded loads, Mirrokni et al., 2018).
func affineRow(now time.Duration, rows []*row, prefix uint64) *row {
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
	if best.online(now) > imbalanceBound(total/float64(len(rows))) || best.slowStart(now) > 0 {
		return nil
	}
	return best
}
