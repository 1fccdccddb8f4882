package soak

import (
	"net/http"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const (
	// lateSlack is how long after its route's timeout a request may get its end.
	lateSlack = 500 * time.Millisecond
	// leftSlack is how soon work for a caller that has left must end.
	leftSlack = 500 * time.Millisecond
	// endBound is how long after the acknowledged end of a job an item may still
	// start.
	endBound = 3 * time.Second
	// overBudget is how many requests may have run at more backend servers than
	// allowed: the last answer of one that was cut off may not be known.
	overBudget = 3
)

// run is an arrival at one life of a backend server.
type run struct {
	platformtest.Request
	backend string
}

// checker holds one round's history and the arrivals by request.
type checker struct {
	plan    Plan
	history *History
	runs    map[string][]run
	verdict *chaos.Verdict
}

// judged are the breaches that a round on gateways looks for.
var judged = []chaos.Breach{
	chaos.Duplicate, chaos.Lost, chaos.FalseNotRun, chaos.WrongResponse, chaos.Interrupted, chaos.RanAfterCancel,
	chaos.WorkWhileDraining, chaos.ConfigurationBreach, chaos.Hung, chaos.AttemptLimitExceeded, chaos.WorkAfterDisconnect, chaos.NotRecovered, chaos.Crashed,
}

// check judges a whole history.
func check(p Plan, h *History, lives []*boot) *chaos.Verdict {
	c := &checker{plan: p, history: h, runs: make(map[string][]run), verdict: chaos.NewVerdict(judged)}
	for _, b := range lives {
		for _, a := range b.backend.Requests() {
			c.runs[a.ID] = append(c.runs[a.ID], run{a, b.backend.ID})
		}
	}
	c.judge()
	return c.verdict
}

func (c *checker) judge() {
	c.count()
	for _, r := range c.history.Records {
		c.checkRecord(r)
	}
	c.checkBudget()
	c.checkTimeouts()
	c.checkLeft()
	for _, j := range c.history.Jobs {
		c.checkJob(j)
	}
	c.checkDrains()
	c.checkVersions()
	c.checkProcesses()
}

func (c *checker) count() {
	v := c.verdict
	v.Rounds, v.Requests, v.Jobs = 1, len(c.history.Records), len(c.history.Jobs)
	v.Faults, v.Publications = c.history.Struck, c.history.Published
	for _, r := range c.history.Records {
		switch {
		case r.Whole && r.Status == http.StatusOK:
			v.Answered++
		case r.Whole && promisesNotRun(r.Status):
			v.NotRun++
		case r.Left:
			v.Dropped++
		default:
			v.Unknown++
		}
	}
	for _, j := range c.history.Jobs {
		v.Items += j.Op.Items
	}
}

// ran lists the runs of a request that a backend server began.
func (c *checker) ran(id string) []run {
	var out []run
	for _, r := range c.runs[id] {
		if r.Started {
			out = append(out, r)
		}
	}
	return out
}

func mayRepeat(k OpKind) bool { return k == Stream || k == SafeCall }

// checkRecord judges one online request by itself.
func (c *checker) checkRecord(r Record) {
	v, id := c.verdict, r.Op.ID
	ran := c.ran(id)
	if r.Whole && r.Status == http.StatusOK && r.Body != wanted(r.Op) {
		v.AddFinding(chaos.WrongResponse, "%s %s at %s: %q", r.Op.Kind, id, r.Gateway, r.Body)
	}
	if r.Status == http.StatusOK && !c.ranAt(id, r.Stamp) {
		v.AddFinding(chaos.WrongResponse, "%s %s at %s: answer of %q, which did not run it", r.Op.Kind, id, r.Gateway, r.Stamp)
	}
	if !mayRepeat(r.Op.Kind) && len(ran) > 1 {
		v.AddFinding(chaos.Duplicate, "%s %s at %s ran at %s and %s", r.Op.Kind, id, r.Gateway, ran[0].backend, ran[1].backend)
	}
	if promisesNotRun(r.Status) && len(ran) > 0 {
		v.AddFinding(chaos.FalseNotRun, "%s %s at %s: status %d, ran at %s (fault %d)", r.Op.Kind, id, r.Gateway, r.Status, ran[0].backend, ran[0].Fault)
	}
	if r.Status == http.StatusNotFound {
		v.AddFinding(chaos.Lost, "%s %s at %s: its route is there", r.Op.Kind, id, r.Gateway)
	}
	c.checkCutOff(r, ran)
}

func (c *checker) ranAt(id, backend string) bool {
	for _, r := range c.ran(id) {
		if r.backend == backend {
			return true
		}
	}
	return false
}

// checkCutOff judges a request of a round in which nothing may be cut off. One
// that crossed the gateway's close and was not passed on may be sent again.
func (c *checker) checkCutOff(r Record, ran []run) {
	crossed := r.Status == 0 && len(ran) == 0 && r.End.Sub(r.Start) < lateSlack
	if c.plan.Profile != Planned || r.Whole && r.Status == http.StatusOK || crossed {
		return
	}
	c.verdict.AddFinding(chaos.Interrupted, "%s %s at %s: status %d, %d runs, %s, %s", r.Op.Kind, r.Op.ID, r.Gateway, r.Status, len(ran), r.End.Sub(r.Start), r.Err)
}

func (c *checker) checkBudget() {
	var over []string
	for _, r := range c.history.Records {
		if len(c.ran(r.Op.ID)) > maxAttempts {
			over = append(over, r.Op.ID)
		}
	}
	if len(over) > overBudget {
		c.verdict.AddFinding(chaos.AttemptLimitExceeded, "ran at more than %d backend servers: %v", maxAttempts, over)
	}
}

// checkTimeouts judges how long callers of undisturbed gateways were kept.
func (c *checker) checkTimeouts() {
	for _, r := range c.history.Records {
		if r.Left || !inTouch(c.history.Disturbed, r.Gateway, r.Start, r.End) {
			continue
		}
		if took := r.End.Sub(r.Start); took > routeTimeout+lateSlack {
			c.verdict.AddFinding(chaos.Hung, "%s %s at %s took %s: status %d, %s", r.Op.Kind, r.Op.ID, r.Gateway, took, r.Status, r.Err)
		}
	}
}

// checkLeft judges whether work ended when its caller left, where nothing kept
// the gateway from telling the backend server. A quarter may go on.
func (c *checker) checkLeft() {
	left, worked := 0, 0
	for _, r := range c.history.Records {
		if !r.Left || r.Op.Kind == SafeCall || r.Op.Kind == UnsafeCall || !inTouch(c.history.Disturbed, r.Gateway, r.Start, r.End.Add(leftSlack)) {
			continue
		}
		for _, a := range c.ran(r.Op.ID) {
			left++
			if a.End.After(r.End.Add(leftSlack)) || a.endless() {
				worked++
			}
		}
	}
	if worked > 2 && worked*4 > left {
		c.verdict.AddFinding(chaos.WorkAfterDisconnect, "%d of %d streams whose callers had left went on", worked, left)
	}
}

// endless reports whether a backend server still works on a run after the round. One
// that broke off by itself has no end either.
func (r run) endless() bool {
	return r.End.IsZero() && (r.Fault == platformtest.None || r.Fault == platformtest.Hang)
}

// checkDrains judges what leaving backend servers got, in rounds in which every
// gateway reached the store.
func (c *checker) checkDrains() {
	if c.plan.Profile == Mixed {
		return
	}
	for id, runs := range c.runs {
		for _, a := range runs {
			for _, d := range c.history.Drains {
				if a.backend == d.What && a.At.After(d.Begin.Add(drainTime)) {
					c.verdict.AddFinding(chaos.WorkWhileDraining, "%s reached %s %s after its notice", id, a.backend, a.At.Sub(d.Begin))
				}
			}
		}
	}
}

// life is one life of a gateway's process.
type life struct {
	gateway string
	boot    int
}

// checkVersions judges that no process went back to an older configuration, and
// that the last one is in force in the end at the last life of each.
func (c *checker) checkVersions() {
	newest := make(map[life]int)
	boots := make(map[string]int)
	for _, p := range c.history.Probes {
		l := life{p.Gateway, p.Boot}
		if !p.Known && newest[l] >= p.Least {
			c.verdict.AddFinding(chaos.ConfigurationBreach, "%s knew version %d and then not %d", p.Gateway, newest[l], p.Least)
		}
		if p.Known {
			newest[l] = max(newest[l], p.Least)
		}
		boots[p.Gateway] = max(boots[p.Gateway], p.Boot)
	}
	for gateway, boot := range boots {
		if version := newest[life{gateway, boot}]; version < c.history.Published {
			c.verdict.AddFinding(chaos.ConfigurationBreach, "%s is at version %d of %d after the faults", gateway, version, c.history.Published)
		}
	}
}

func (c *checker) checkProcesses() {
	for _, name := range c.history.Crashes {
		c.verdict.AddFinding(chaos.Crashed, "%s ended by itself", name)
	}
	for _, text := range c.history.BadStops {
		c.verdict.AddFinding(chaos.Interrupted, "stop of %s", text)
	}
	if c.history.Recovered < 0 {
		c.verdict.AddFinding(chaos.NotRecovered, "requests still fail %s after the last fault", recovery)
	}
}
