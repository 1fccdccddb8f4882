package jobs

import "time"

const (
	// estimateWeight is the weight of a new sample in the moving averages.
	estimateWeight = 0.1
	// minSampleEvents is the minimum number of events of a run that counts as a sample.
	minSampleEvents = 16
)

// estimator estimates how long items of a route take from the runs of this process.
type estimator struct {
	byRoute map[string]*routeEstimate
}

// routeEstimate holds the moving averages of one route.
type routeEstimate struct {
	perEvent time.Duration
	// outputEvents is the number of events of a whole output.
	outputEvents float64
}

func newEstimator() estimator { return estimator{make(map[string]*routeEstimate)} }

func (e estimator) route(route string) *routeEstimate {
	r := e.byRoute[route]
	if r == nil {
		r = &routeEstimate{}
		e.byRoute[route] = r
	}
	return r
}

// recordRun records a run that produced events within the duration took.
func (e estimator) recordRun(route string, events int, took time.Duration) {
	if events < minSampleEvents {
		return
	}
	r := e.route(route)
	sample := took / time.Duration(events)
	if r.perEvent == 0 {
		r.perEvent = sample
		return
	}
	r.perEvent += time.Duration(estimateWeight * float64(sample-r.perEvent))
}

// recordOutput records the number of events of a whole output.
func (e estimator) recordOutput(route string, events int) {
	r := e.route(route)
	if r.outputEvents == 0 {
		r.outputEvents = float64(events)
		return
	}
	r.outputEvents += estimateWeight * (float64(events) - r.outputEvents)
}

// meetsDeadline reports whether an item that has produced some events can be complete
// within left. Without any samples it returns true as long as left is positive.
func (e estimator) meetsDeadline(route string, events int, left time.Duration) bool {
	r := e.route(route)
	remaining := max(r.outputEvents-float64(events), 0)
	return time.Duration(remaining*float64(r.perEvent)) < left
}
