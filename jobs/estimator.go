package jobs

import "time"

const (
	// paceWeight is the weight of a new sample in the moving averages.
	paceWeight = 0.1
	// paceEvents is the least number of events of a run that tells the pace.
	paceEvents = 16
)

// pace knows how long items of a route take, from those that have run here.
type pace struct {
	byRoute map[string]*routePace
}

// routePace holds moving averages.
type routePace struct {
	perEvent time.Duration
	// events is the length of a whole output.
	events float64
}

func newPace() pace { return pace{make(map[string]*routePace)} }

func (p pace) of(route string) *routePace {
	r := p.byRoute[route]
	if r == nil {
		r = &routePace{}
		p.byRoute[route] = r
	}
	return r
}

// note takes a run that has produced events in a time.
func (p pace) note(route string, events int, took time.Duration) {
	if events < paceEvents {
		return
	}
	r := p.of(route)
	sample := took / time.Duration(events)
	if r.perEvent == 0 {
		r.perEvent = sample
		return
	}
	r.perEvent += time.Duration(paceWeight * float64(sample-r.perEvent))
}

// complete takes the length of a whole output.
func (p pace) complete(route string, events int) {
	r := p.of(route)
	if r.events == 0 {
		r.events = float64(events)
		return
	}
	r.events += paceWeight * (float64(events) - r.events)
}

// inTime reports whether an item that has produced some events can be complete
// when left is over. While nothing is known it can as long as time is left.
func (p pace) inTime(route string, events int, left time.Duration) bool {
	r := p.of(route)
	missing := max(r.events-float64(events), 0)
	return time.Duration(missing*float64(r.perEvent)) < left
}
