package quarantine

import "time"

// harmlessTime is how long backend servers work on runs with a suspect, from the first event of each on,
// before these speak for it as a complete one does: a guilty run ends the server as it begins.
const harmlessTime = time.Second

// Progress follows the events of one run. It is not safe for concurrent use.
type Progress struct {
	guard    *Guard
	suspects func() []string
	first    time.Time
	harmless bool
}

// Follow returns the progress of a run without any event. suspects is called once at most for each call of a method.
func (g *Guard) Follow(suspects func() []string) *Progress {
	return &Progress{guard: g, suspects: suspects}
}

// Event records an event of the run.
func (p *Progress) Event() {
	if p.harmless {
		return
	}
	now := p.guard.opts.Now()
	if p.first.IsZero() {
		p.first = now
	}
	if now.Sub(p.first) >= harmlessTime {
		p.harmless = true
		p.guard.RunCompleted(p.suspects())
	}
}

// Stopped records that this process has stopped the run while its server worked on. Runs that are stopped
// early speak for their suspects together.
func (p *Progress) Stopped() {
	if p.harmless || p.first.IsZero() {
		return
	}
	now := p.guard.opts.Now()
	if suspects := p.guard.table.recordServed(p.suspects(), now.Sub(p.first), now); len(suspects) > 0 {
		p.guard.RunCompleted(suspects)
	}
}
