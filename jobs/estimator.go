package jobs

import "time"

const (
	// estimateWeight is the weight of a new sample in the moving averages.
	estimateWeight = 0.1
	// outputSamples is the number of whole outputs of a route that are remembered.
	outputSamples = 32
	// overdueShare is the part of the mean output that is assumed to be left of one that is
	// longer than all that are remembered.
	overdueShare = 0.1
	// minSampleEvents is the minimum number of events of a run that counts as a sample.
	minSampleEvents = 16
)

// estimator estimates how long items of a route take from the runs of this process.
type estimator struct {
	byRoute map[string]*routeEstimate
}

// routeEstimate is what is known of one route.
type routeEstimate struct {
	// perEvent is a moving average.
	perEvent time.Duration
	// outputs are the numbers of events of the last whole outputs, from next on.
	outputs []int
	next    int
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
	if len(r.outputs) < outputSamples {
		r.outputs = append(r.outputs, events)
		return
	}
	r.outputs[r.next] = events
	r.next = (r.next + 1) % outputSamples
}

// eventsLeft returns how many events are left on average of the outputs that are longer than
// events.
func (r *routeEstimate) eventsLeft(events int) float64 {
	total, left, longer := 0, 0, 0
	for _, n := range r.outputs {
		total += n
		if n > events {
			left += n - events
			longer++
		}
	}
	switch {
	case len(r.outputs) == 0:
		return 0
	case longer == 0:
		return overdueShare * float64(total) / float64(len(r.outputs))
	}
	return float64(left) / float64(longer)
}

// meetsDeadline reports whether an item that has produced some events can be complete
// within left. Without any samples it returns true as long as left is positive.
func (e estimator) meetsDeadline(route string, events int, left time.Duration) bool {
	return e.remaining(route, events) < left
}

// remaining returns how long the rest of the output probably takes of an item that has
// produced some events; 0 if it is not known.
func (e estimator) remaining(route string, events int) time.Duration {
	r := e.route(route)
	return time.Duration(r.eventsLeft(events) * float64(r.perEvent))
}
