package entry

const (
	// pollsAtOnce is how many instances are polled in one interval where all
	// are; a larger set is polled in slices of pollSlice.
	pollsAtOnce = 16
	pollSlice   = 7
	// listSlice is how many instances of the platform's list one interval
	// pays for.
	listSlice = 256
)

// pollRounds is how many intervals it takes to poll n instances once.
func pollRounds(n int) int {
	if n <= pollsAtOnce {
		return 1
	}
	return (n + pollSlice - 1) / pollSlice
}

// listRounds is how many intervals lie between two reads of a list of n
// instances.
func listRounds(n int) int { return max((n+listSlice-1)/listSlice, 1) }

// slice returns the part of the targets that is polled in a round.
func slice(targets []string, round int) []string {
	rounds := pollRounds(len(targets))
	var out []string
	for i := round % rounds; i < len(targets); i += rounds {
		out = append(out, targets[i])
	}
	return out
}
