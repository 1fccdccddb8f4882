package chaos

import (
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/standin"
)

const (
	// cancelBound is how long after a cancel's acknowledgement, or after the
	// end of the faults if that is later, an item may still start.
	cancelBound = 2 * time.Second
	// leaveBound is how long after its notice a leaving backend server may
	// still get new work.
	leaveBound = 2 * time.Second
	// inForceBound is how long after the faults the newest configuration may
	// take to be in force everywhere.
	inForceBound = 2 * time.Second
)

// checker holds one round's history and indexes over it.
type checker struct {
	plan    Plan
	history *History
	seen    Observed
	// bySend and byID index the plain services' executions by send and by
	// operation, generations the engines' by prompt.
	bySend, byID map[string][]standin.Execution
	generations  map[string][]standin.Generation
	verdict      *Verdict
}

// check judges a whole history.
func check(p Plan, h *History, o Observed) *Verdict {
	c := &checker{
		plan: p, history: h, seen: o, verdict: NewVerdict(judged),
		bySend: make(map[string][]standin.Execution), byID: make(map[string][]standin.Execution),
		generations: make(map[string][]standin.Generation),
	}
	c.index()
	c.count()
	for _, r := range h.Records {
		c.checkRecord(r)
	}
	c.checkCalls()
	for _, j := range h.Jobs {
		c.checkJob(j)
	}
	for _, r := range h.Rereads {
		if r.Status != 200 || r.Got != r.Want {
			c.verdict.Found(Lost, "kept reply %s: status %d, got %q, want %q", r.ID, r.Status, r.Got, r.Want)
		}
	}
	for _, f := range h.Foreign {
		if f.Status == 200 {
			c.verdict.Found(CrossRead, "%s answered %d to another workspace", f.What, f.Status)
		}
	}
	c.checkStops()
	c.checkConfiguration()
	return c.verdict
}

func (c *checker) index() {
	for _, list := range c.seen.Executions {
		for _, e := range list {
			c.bySend[e.Send] = append(c.bySend[e.Send], e)
			if e.Method == "POST" {
				c.byID[e.Body] = append(c.byID[e.Body], e)
			}
		}
	}
	for _, list := range c.seen.Generations {
		for _, g := range list {
			c.generations[g.Prompt] = append(c.generations[g.Prompt], g)
		}
	}
}

func (c *checker) count() {
	v, h := c.verdict, c.history
	v.Rounds = 1
	v.Requests = len(h.Records)
	for _, r := range h.Records {
		switch {
		case r.Whole:
			v.Answered++
		case r.Outcome == errkind.NotRun:
			v.NotRun++
		case r.Dropped:
			v.Dropped++
		default:
			v.Unknown++
		}
	}
	v.Jobs = len(h.Jobs)
	for _, j := range h.Jobs {
		v.Items += j.Op.Items
	}
	for _, p := range h.Publishes {
		if !p.IsRead {
			v.Publications++
		}
	}
	v.Faults = h.Struck
}

// checkRecord judges one live request by itself.
func (c *checker) checkRecord(r Record) {
	v := c.verdict
	if r.Whole {
		c.checkWhole(r)
	}
	if r.Outcome == errkind.NotRun && c.ran(r) {
		v.Found(FalseNotRun, "%s was told not_run (%s), but it ran", r.Send, r.Kind)
	}
	if r.End.Sub(r.Start) >= callTimeout && !r.Dropped {
		v.Found(Hung, "%s %s had no end after %s", r.Op.Kind, r.Send, callTimeout)
	}
	if c.plan.Profile == Planned && !r.Whole {
		v.Found(CutOff, "%s %s: status %d kind %q outcome %q %s", r.Op.Kind, r.Send, r.Status, r.Kind, r.Outcome, r.Err)
	}
}

// ran reports whether a backend server saw the request.
func (c *checker) ran(r Record) bool {
	switch r.Op.Kind {
	case ChatStream, ChatWhole, StoredChat:
		return len(c.generations[prompt(r.Op.ID)]) > 0
	case Get, Post:
		return len(c.bySend[r.Send]) > 0
	}
	if len(c.bySend[r.Send]) > 0 {
		return true
	}
	for _, g := range c.generations[prompt(r.Op.ID)] {
		if g.At.Before(r.End) {
			return true
		}
	}
	// A call under a key is one call however often it is sent.
	for _, e := range c.byID[r.Op.ID] {
		if e.At.Before(r.End) {
			return true
		}
	}
	return false
}

// checkStops judges what leaving backend servers ran and how stops went.
func (c *checker) checkStops() {
	for _, s := range c.history.Stops {
		if s.Err != "" && c.plan.Profile == Planned {
			c.verdict.Found(CutOff, "stop of %s: %s", s.Name, s.Err)
		}
		if s.Backend < 0 || s.Done.IsZero() {
			continue
		}
		for _, at := range c.starts(s.Backend) {
			if at.After(s.Begin.Add(leaveBound)) && at.Before(s.Done) {
				c.verdict.Found(WorkWhileLeaving, "%s started work %s after its notice", s.Name, at.Sub(s.Begin))
			}
		}
	}
}

// starts lists when a backend server started anything.
func (c *checker) starts(backend int) []time.Time {
	var out []time.Time
	if backend < len(c.seen.Generations) {
		for _, g := range c.seen.Generations[backend] {
			out = append(out, g.At)
		}
		return out
	}
	for _, e := range c.seen.Executions[backend-len(c.seen.Generations)] {
		out = append(out, e.At)
	}
	return out
}
