package routing

import (
	"cmp"
	"slices"
)

// maxSubset is how many backend servers of a service an entry process uses in its own
// region, and the same number in all other regions together.
const maxSubset = 32

// pool holds the backend servers of one service and the subset of them that this
// entry process uses.
type pool struct {
	all                   []*row
	near, far             []*row // of this region and of the others, in order of weight
	nearSubset, farSubset []*row // the subsets: the first rows of near and far
	stale                 bool
}

func (p *pool) add(r *row) {
	p.all = append(p.all, r)
	p.stale = true
}

func (p *pool) remove(r *row) {
	if i := slices.Index(p.all, r); i >= 0 {
		p.all = slices.Delete(p.all, i, i+1)
	}
	p.stale = true
}

// refresh chooses the subset by highest random weight (rendezvous hashing, Thaler and
// Ravishankar, 1998), so that a change of one backend server moves few others.
func (p *pool) refresh(region string, seed uint64) {
	if !p.stale {
		return
	}
	p.stale = false
	p.near, p.far = p.near[:0], p.far[:0]
	for _, r := range p.all {
		if r.backend.Region == region {
			p.near = append(p.near, r)
		} else {
			p.far = append(p.far, r)
		}
	}
	sortByWeight(p.near, seed)
	sortByWeight(p.far, seed)
	p.nearSubset = p.near[:min(len(p.near), maxSubset)]
	p.farSubset = p.far[:min(len(p.far), maxSubset)]
}

func sortByWeight(rows []*row, seed uint64) {
	slices.SortFunc(rows, func(a, b *row) int {
		if c := cmp.Compare(weight(b.hash, seed), weight(a.hash, seed)); c != 0 {
			return c
		}
		return cmp.Compare(a.backend.Instance, b.backend.Instance)
	})
}

// weight returns the rendezvous weight of a backend server for a key: the finalizer
// of MurmurHash3 over both hashes.
func weight(server, key uint64) uint64 {
	h := server ^ key*0x9e3779b97f4a7c15
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
