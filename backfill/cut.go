package backfill

import (
	"cmp"
	"slices"
)

// Run is what a decision needs to know of a run.
type Run struct {
	// Answered states that the backend server has begun its response. A run without one has
	// read nothing yet, or has only begun to.
	Answered bool
	Item
}

// Cut returns which runs at one backend server give back their slots, as indices into runs, if
// excess slots are needed. Those that are late once they are stopped go last; those without a
// response go first, as they lose nothing; then those with the most output left, and of equal
// ones those that are due last. No run is kept for its end alone: outputs differ so much in
// length that an online request would wait for an end that does not come.
func Cut(runs []Run, excess int) []int {
	order := make([]int, len(runs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareCuts(runs[a], runs[b]) })
	return order[:min(max(excess, 0), len(order))]
}

// compareCuts orders runs by which is stopped first.
func compareCuts(a, b Run) int {
	return cmp.Or(
		compareBool(a.urgent(), b.urgent()),
		compareBool(a.Answered, b.Answered),
		cmp.Compare(b.Remaining, a.Remaining),
		cmp.Compare(b.Left, a.Left),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
