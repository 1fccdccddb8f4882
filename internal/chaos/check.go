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
	// drainBound is how long after its notice a draining backend server may still
	// receive new work.
	drainBound = 2 * time.Second
	// inForceBound is how long after the faults the newest configuration may
	// take to be in force everywhere.
	inForceBound = 2 * time.Second
)

// checker holds the history of one round and indexes over it.
type checker struct {
	plan     Plan
	history  *History
	backends BackendHistory
	// bySendID and byID index the executions of the plain services by send and by
	// operation. generations indexes those of the engines by prompt.
	bySendID, byID map[string][]standin.Execution
	generations    map[string][]standin.Generation
	verdict        *Verdict
}

// check checks a complete history.
func check(p Plan, h *History, o BackendHistory) *Verdict {
	c := &checker{
		plan: p, history: h, backends: o, verdict: NewVerdict(checkedBreaches),
		bySendID: make(map[string][]standin.Execution), byID: make(map[string][]standin.Execution),
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
			c.verdict.AddFinding(Lost, "stored reply %s: status %d, got %q, want %q", r.ID, r.Status, r.Got, r.Want)
		}
	}
	for _, f := range h.CrossAccesses {
		if f.Status == 200 {
			c.verdict.AddFinding(CrossWorkspaceRead, "%s returned status %d to another workspace", f.Request, f.Status)
		}
	}
	c.checkStops()
	c.checkConfiguration()
	return c.verdict
}

func (c *checker) index() {
	for _, list := range c.backends.Executions {
		for _, e := range list {
			c.bySendID[e.Send] = append(c.bySendID[e.Send], e)
			if e.Method == "POST" {
				c.byID[e.Body] = append(c.byID[e.Body], e)
			}
		}
	}
	for _, list := range c.backends.Generations {
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
		case r.Complete:
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
	v.Faults = h.Injected
}

// checkRecord checks a single online request.
func (c *checker) checkRecord(r Record) {
	v := c.verdict
	if r.Complete {
		c.checkComplete(r)
	}
	if r.Outcome == errkind.NotRun && c.executed(r) {
		v.AddFinding(FalseNotRun, "%s returned not_run (%s), but it ran", r.SendID, r.Kind)
	}
	if r.End.Sub(r.Start) >= callTimeout && !r.Dropped {
		v.AddFinding(Hung, "%s %s had not ended after %s", r.Op.Kind, r.SendID, callTimeout)
	}
	if c.plan.Profile == Planned && !r.Complete {
		v.AddFinding(Interrupted, "%s %s: status %d kind %q outcome %q %s", r.Op.Kind, r.SendID, r.Status, r.Kind, r.Outcome, r.Err)
	}
}

// executed reports whether a backend server received the request.
func (c *checker) executed(r Record) bool {
	switch r.Op.Kind {
	case ChatStream, ChatWhole, StoredChat:
		return len(c.generations[prompt(r.Op.ID)]) > 0
	case Get, Post:
		return len(c.bySendID[r.SendID]) > 0
	}
	if len(c.bySendID[r.SendID]) > 0 {
		return true
	}
	for _, g := range c.generations[prompt(r.Op.ID)] {
		if g.At.Before(r.End) {
			return true
		}
	}
	// All sends under one key are the same call.
	for _, e := range c.byID[r.Op.ID] {
		if e.At.Before(r.End) {
			return true
		}
	}
	return false
}

// checkStops checks graceful stops and what draining backend servers ran.
func (c *checker) checkStops() {
	for _, s := range c.history.Stops {
		if s.Err != "" && c.plan.Profile == Planned {
			c.verdict.AddFinding(Interrupted, "stop of %s: %s", s.Name, s.Err)
		}
		if s.Backend < 0 || s.Done.IsZero() {
			continue
		}
		for _, at := range c.startTimes(s.Backend) {
			if at.After(s.Begin.Add(drainBound)) && at.Before(s.Done) {
				c.verdict.AddFinding(WorkWhileDraining, "%s started work %s after its drain notice", s.Name, at.Sub(s.Begin))
			}
		}
	}
}

// startTimes returns the start times of everything that a backend server ran.
func (c *checker) startTimes(backend int) []time.Time {
	var out []time.Time
	if backend < len(c.backends.Generations) {
		for _, g := range c.backends.Generations[backend] {
			out = append(out, g.At)
		}
		return out
	}
	for _, e := range c.backends.Executions[backend-len(c.backends.Generations)] {
		out = append(out, e.At)
	}
	return out
}
