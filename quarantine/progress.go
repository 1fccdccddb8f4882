package quarantine

import "time"

// harmlessTime is how long a backend server works on a run, from its first event on, before the run
// speaks for its suspects as a complete one does: a guilty run ends the server as it begins.
const harmlessTime = time.Second

// Progress follows the events of one run. It is not safe for concurrent use.
type Progress struct {
	guard    *Guard
	suspects func() []string
	first    time.Time
	harmless bool
}

// Follow returns the progress of a run without any event. suspects is called at most once.
func (g *Guard) Follow(suspects func() []string) *Progress {
	return &Progress{guard: g, suspects: suspects}
}

// Event records an event of the run.
func (p *Progress) Event() {
	if p.harmless {
		return
	}
	now := time.Now()
	if p.first.IsZero() {
		p.first = now
	}
	if now.Sub(p.first) >= harmlessTime {
		p.harmless = true
		p.guard.RunCompleted(p.suspects())
	}
}
