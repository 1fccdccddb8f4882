package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// minSpread is the least number of slots over which a choice is spread. Candidates whose
// costs differ by less share the requests.
const minSpread = 0.9

// waterLevel returns the cost up to which a number of attempts raises the cheapest candidates, if
// each goes where it costs least. costs is sorted in place.
func waterLevel(costs []cost, attempts float64) float64 {
	slices.SortFunc(costs, func(a, b cost) int { return cmp.Compare(a.total, b.total) })
	// The candidates below a level take the sum of (level - total) / step attempts.
	inverse, sum := 0.0, 0.0
	for i, c := range costs {
		inverse += 1 / c.step
		sum += c.total / c.step
		level := (attempts + sum) / inverse
		if i+1 == len(costs) || level <= costs[i+1].total {
			return level
		}
	}
	return 0
}

// spread chooses a candidate so that all gateways together, each of which makes the same
// choice at random, fill the cheapest candidates evenly: unseen is the number of attempts
// that the others have probably started since they reported their loads. If all chose the
// cheapest candidate of reports that are not quite up to date, they would overload it
// ("load interpretation", M. Dahlin, Interpreting Stale Load Information, 1999). The
// probability of a candidate is proportional to the attempts that it takes up to the common level;
// one whose cost rises faster with each of them takes fewer.
func spread(rng *rand.Rand, costs []cost, unseen float64) int {
	level := waterLevel(slices.Clone(costs), unseen+minSpread)
	point := rng.Float64() * (unseen + minSpread)
	cheapest := 0
	for i, c := range costs {
		if c.total < costs[cheapest].total {
			cheapest = i
		}
		if c.total >= level {
			continue
		}
		if point -= (level - c.total) / c.step; point < 0 {
			return i
		}
	}
	return cheapest // rounding
}
