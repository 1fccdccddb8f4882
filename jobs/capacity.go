package jobs

const (
	// leaveRatio is how many times as able as this process others have to be for it to leave
	// shards to them, and returnRatio for one that has left to stay out; the distance keeps a process whose
	// capacity varies from joining and leaving by turns.
	leaveRatio  = 2.0
	returnRatio = 1.5
	// enoughShare is the part of the capacity of all processes near the log that the able ones
	// must hold together.
	enoughShare = 0.5
)

// leavesToStronger reports whether a process of the capacity own leaves the shards to peers: some
// of them are several times as able, and together hold most of the capacity of all. It answers
// fleets whose smallest machines have a sixth of the processor time of the largest ones: the
// group divides shards evenly, and the items of a shard cost its owner the same anywhere. A
// process of unknown capacity never does, nor one among equals. left states that it has.
func leavesToStronger(own float64, peers []float64, left bool) bool {
	if own <= 0 {
		return false
	}
	ratio := leaveRatio
	if left {
		ratio = returnRatio
	}
	total, stronger := own, 0.0
	for _, c := range peers {
		total += c
		if c >= ratio*own {
			stronger += c
		}
	}
	return stronger >= enoughShare*total
}

const (
	// runsPerCore is how many items a process runs concurrently for each core that it may use.
	runsPerCore = 400
	// minConcurrentRuns is the bound of the least able process.
	minConcurrentRuns = 16
)

// concurrentRuns returns how many items a process of a capacity runs concurrently; those of
// unknown capacity run maxConcurrentRuns.
func concurrentRuns(capacity float64) int {
	if capacity <= 0 {
		return maxConcurrentRuns
	}
	return min(max(int(capacity*runsPerCore), minConcurrentRuns), maxConcurrentRuns)
}
