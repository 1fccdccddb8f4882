package quarantine

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/upstream"
)

const (
	// gatherTime is the time after the first interrupted run at a server in which the others
	// that its end interrupts are noticed.
	gatherTime = 20 * time.Millisecond
	// probeTimeout bounds the exchange that shows whether a server has ended.
	probeTimeout = 300 * time.Millisecond
)

// Examination finds out whether the process of a backend server has ended with a response.
type Examination struct {
	// began holds when the runs of the process began, by suspect.
	began map[string]time.Time
	// useHealth states that the health check may be used to identify the process.
	useHealth bool
	// done is closed once ended and lives are set. Both are false if nothing is known of the process.
	done         chan struct{}
	ended, lives bool
}

// Ended waits for the result, and reports whether the process has ended. It returns false if ctx
// ends first.
func (e *Examination) Ended(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.done:
		return e.ended
	}
}

// Evidence waits for the result, and returns what it shows about a response that the process had
// ended by closing the connection.
func (e *Examination) Evidence(ctx context.Context) upstream.Evidence {
	select {
	case <-ctx.Done():
		return upstream.Unproved
	case <-e.done:
	}
	switch {
	case e.ended:
		return upstream.ServerEnded
	case e.lives:
		return upstream.ByProcess
	}
	return upstream.Unproved
}

// noExamination returns an examination whose result is that nothing is known.
func noExamination() *Examination {
	e := &Examination{done: make(chan struct{})}
	close(e.done)
	return e
}

// Examine finds out whether b has ended, or serves on, after it has ended a response by closing the
// connection. Its end counts as evidence against the suspects of the run, which began at the time
// began.
func (g *Guard) Examine(b catalog.Backend, suspects []string, began time.Time) *Examination {
	return g.examine(b, suspects, began, true)
}

func (g *Guard) examine(b catalog.Backend, suspects []string, began time.Time, useHealth bool) *Examination {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.examinations[b.ID]
	if e == nil {
		e = &Examination{began: make(map[string]time.Time), done: make(chan struct{})}
		g.examinations[b.ID] = e
		time.AfterFunc(gatherTime, func() { g.probe(b, e) })
	}
	e.useHealth = e.useHealth || useHealth
	for _, suspect := range suspects {
		e.began[suspect] = began
	}
	return e
}

// probe asks whether the process serves on, and reports the runs that it has broken off if it has
// ended. Responses that end from now on need another examination: this one may find the process
// before its end.
func (g *Guard) probe(b catalog.Backend, e *Examination) {
	defer close(e.done)
	g.mu.Lock()
	delete(g.examinations, b.ID)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := g.opts.Probe(ctx, b, e.useHealth)
	e.lives, e.ended = err == nil, errors.Is(err, upstream.ErrProcessEnded)
	if e.ended {
		g.backendEnded(b, e)
	}
}

// backendEnded reports the end of a backend server. One that drains may end at any time, which says
// nothing about its runs.
func (g *Guard) backendEnded(b catalog.Backend, e *Examination) {
	if b.State != catalog.Ready {
		return
	}
	runs := make(Runs, len(e.began))
	for suspect, began := range e.began {
		runs[suspect] = time.Since(began)
	}
	event.Log(g.opts.Logger, event.BackendCrashed, "backend", b.ID, "service", b.Service, "suspects", runs.Suspects())
	g.opts.Eject(b)
	if len(runs) > 0 {
		g.reportCrash(balance.Key(b.ID), runs)
	}
}
