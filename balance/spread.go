package balance

import (
	"math/rand/v2"
	"slices"
)

// minSpread is the least number of slots over which a choice is spread. Candidates whose
// costs differ by less share the requests.
const minSpread = 0.9

// waterLevel returns the cost up to which amount slots raise the cheapest candidates, if
// they are used where they cost least. costs is sorted in place.
func waterLevel(costs []float64, amount float64) float64 {
	slices.Sort(costs)
	sum := 0.0
	for i, c := range costs {
		sum += c
		level := (amount + sum) / float64(i+1)
		if i+1 == len(costs) || level <= costs[i+1] {
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
// probability of a candidate is proportional to what it takes up to the common level.
func spread(rng *rand.Rand, costs []float64, unseen float64) int {
	level := waterLevel(slices.Clone(costs), unseen+minSpread)
	point := rng.Float64() * (unseen + minSpread)
	cheapest := 0
	for i, c := range costs {
		if c < costs[cheapest] {
			cheapest = i
		}
		if c >= level {
			continue
		}
		if point -= level - c; point < 0 {
			return i
		}
	}
	return cheapest // rounding
}
