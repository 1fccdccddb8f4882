package routing

import "time"

const (
	// loadHalfLife is the age at which a load report counts half.
	loadHalfLife = 2 * time.Second
	// imbalanceFactor and imbalanceSlack bound the online load that prefix affinity
	// may accumulate, relative to the mean of the eligible backend servers.
	imbalanceFactor = 1.25
	imbalanceSlack  = 2
	// spillMargin is how many fewer online attempts a backend server of another
	// region must have to be worth the distance.
	spillMargin = 8
	// zonePenalty is the cost of another availability zone, in attempts.
	zonePenalty = 0.5
	// batchPenalty is the cost of one batch attempt, in online attempts.
	batchPenalty = 0.15
	// slowStartPenalty is the cost of a backend server that has just returned from
	// an ejection, in attempts.
	slowStartPenalty = 16
)

// online estimates the online attempts at a backend server: those reported, weighted
// by the age of the report, and those sent since.
func (r *row) online(now time.Duration) float64 {
	age := max(now-r.loadAt, 0)
	fresh := float64(loadHalfLife) / float64(loadHalfLife+age)
	return float64(r.load.RunningOnline+r.load.QueuedOnline)*fresh + float64(r.sent[0])
}

// full reports whether an online attempt would be queued.
func (r *row) full(now time.Duration) bool {
	return r.load.Slots > 0 && r.online(now) >= float64(r.load.Slots)
}

// cost returns the cost of a backend server for an online attempt; lower is better.
// Batch attempts count little, since they can be preempted. Another availability zone
// or a recent ejection adds to the cost.
func (t *Table) cost(now time.Duration, r *row) float64 {
	c := r.online(now) + batchPenalty*float64(r.load.RunningBatch) + slowStartPenalty*r.slowStart(now)
	if r.backend.Zone != t.zone {
		c += zonePenalty
	}
	return c
}

// imbalanceBound returns the highest online load up to which prefix affinity applies.
func imbalanceBound(mean float64) float64 { return mean*imbalanceFactor + imbalanceSlack }

// worthSpilling reports whether the lower load of a backend server of another region
// outweighs the distance. near and far are the online loads of the two servers.
func worthSpilling(near, far float64) bool { return near > far+spillMargin }
