package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// maxControls is how many other servers of the service a trial is compared with.
const maxControls = 8

// Trial is one run with held suspects. A nil Trial is a run without any.
type Trial struct {
	guard *Guard
	// suspects are those that are held, run all of the run.
	suspects, run []string
	backend       catalog.Backend

	// sound receives the controls once they are known: servers of the same service that were alive as
	// the trial began.
	sound chan []catalog.Backend
}

// Begin starts a run of a class with these suspects, which has a slot at a backend server. It returns false if one of the
// suspects is held and must not be tried now; it then announces the trial if that is due, and the run comes back with a slot
// when its turn has come. The caller ends the trial with the run.
func (g *Guard) Begin(suspects []string, b catalog.Backend, class balance.Class) (*Trial, bool) {
	now := g.opts.Now()
	tried, ok := g.table.StartTrial(suspects, class, balance.Key(b.ID), now)
	if !ok {
		g.broadcast(g.table.Claim(suspects, class, now))
		return nil, false
	}
	if len(tried) == 0 {
		return nil, true
	}
	t := &Trial{guard: g, suspects: tried, run: suspects, backend: b, sound: make(chan []catalog.Backend, 1)}
	event.Log(g.opts.Logger, event.TrialStarted, "suspects", tried, "backend", b.ID, "service", b.Service)
	g.broadcast(tried)
	go func() { t.sound <- g.alive(g.controls(b)) }()
	return t, true
}

// End ends the trial. examination is that of the server if the run has broken off, and nil otherwise. The outcome
// is recorded later if it has to be found out.
func (t *Trial) End(examination *Examination) {
	if t == nil {
		return
	}
	go t.guard.endTrial(t, examination)
}

// NotRun ends a trial that no server has run.
func (t *Trial) NotRun() {
	if t == nil {
		return
	}
	g := t.guard
	g.broadcast(g.table.EndTrial(t.suspects, TrialNotRun, g.opts.Now()))
}

func (g *Guard) endTrial(t *Trial, examination *Examination) {
	ended := g.opts.Now()
	shared := g.table.OthersTried(t.suspects, balance.Key(t.backend.ID), ended)
	outcome := TrialUndecided
	if examination != nil && examination.Ended(context.Background()) && !shared {
		delay.Wait(context.Background(), momentWidth-g.opts.Now().Sub(ended)) // other servers may end in the same moment
		if !g.endedTogether(t, ended) {
			outcome = TrialFailed
		}
	}
	held := g.table.EndTrial(t.suspects, outcome, g.opts.Now())
	if len(held) == 0 {
		return // the run speaks for its suspects
	}
	if outcome == TrialFailed {
		g.holdFailedItem(t.run)
	}
	for _, s := range g.broadcast(held) {
		event.Log(g.opts.Logger, event.TrialEnded, "suspect", s.Suspect, "backend", t.backend.ID, "failed", outcome == TrialFailed,
			"failures", s.Failures, "next_in", s.NextIn)
		if outcome == TrialFailed {
			g.store(s.Suspect, holdValue(s.Failures))
		}
	}
}

// holdFailedItem holds the item whose run was a trial that has failed: the next trial of its part is that of another
// item.
func (g *Guard) holdFailedItem(run []string) {
	for _, suspect := range run {
		if strings.HasPrefix(suspect, itemPrefix) && g.table.Hold(suspect, 1, g.opts.Now()) {
			event.Log(g.opts.Logger, event.PartHeld, "suspect", suspect, "by", "trial")
			g.opts.Peers().BroadcastHeld([]string{suspect})
			g.broadcast([]string{suspect})
			g.store(suspect, holdValue(1))
		}
	}
}

// endedTogether reports whether servers that have not run the suspects have ended together with that of the trial.
func (g *Guard) endedTogether(t *Trial, at time.Time) bool {
	if g.table.OthersEnded(at) {
		return true
	}
	controls := <-t.sound
	alive := g.alive(controls)
	return slices.ContainsFunc(controls, func(control catalog.Backend) bool {
		isControl := func(b catalog.Backend) bool { return b.ID == control.ID }
		return !slices.ContainsFunc(alive, isControl) && !g.table.EndedUnderHeld(balance.Key(control.ID), at)
	})
}

// controls returns some other backend servers of the service of b.
func (g *Guard) controls(b catalog.Backend) []catalog.Backend {
	var others []catalog.Backend
	for _, other := range g.opts.Backends(b.Service) {
		if other.ID != b.ID && other.State == catalog.Ready {
			others = append(others, other)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxControls)]
}

// alive returns those of the backend servers whose processes have not ended, as far as that is known.
func (g *Guard) alive(backends []catalog.Backend) []catalog.Backend {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	ended := make([]bool, len(backends))
	var wg sync.WaitGroup
	for i, b := range backends {
		wg.Go(func() { ended[i] = errors.Is(g.opts.Probe(ctx, b, false), upstream.ErrProcessEnded) })
	}
	wg.Wait()
	var alive []catalog.Backend
	for i, b := range backends {
		if !ended[i] {
			alive = append(alive, b)
		}
	}
	return alive
}

// broadcast reports the states of held suspects to the other gateways, and returns them.
func (g *Guard) broadcast(suspects []string) []HoldState {
	peers := g.opts.Peers()
	states := g.table.States(suspects, peers.Priority, g.opts.Now())
	if len(states) > 0 {
		peers.BroadcastHolds(states)
	}
	return states
}

// PeerHolds records what another gateway reports about held suspects.
func (g *Guard) PeerHolds(states []HoldState) {
	g.table.Merge(states, g.opts.Peers().Priority, g.opts.Now())
}
