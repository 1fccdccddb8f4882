package soak

import (
	"net/http"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const (
	// timeoutSlack is how long after its route's timeout a request may still end.
	timeoutSlack = 500 * time.Millisecond
	// disconnectSlack is how soon after a caller's disconnect its work must end.
	disconnectSlack = 500 * time.Millisecond
	// endBound is how long after the acknowledged end of a job an item may still
	// start.
	endBound = 3 * time.Second
	// allowedOverLimit is how many requests may have run at more backend servers than
	// allowed: if a request is interrupted, its last response may be unknown.
	allowedOverLimit = 3
)

// arrival is a request that arrived at an incarnation of a backend server.
type arrival struct {
	platformtest.Request
	backend string
	// version is the version of the backend server's software.
	version string
}

// checker holds the history of one round and the arrivals by request.
type checker struct {
	plan     Plan
	history  *History
	arrivals map[string][]arrival
	verdict  *chaos.Verdict
}

// checkedBreaches are the breaches that a round on gateways checks for.
var checkedBreaches = []chaos.Breach{
	chaos.Duplicate, chaos.Lost, chaos.FalseNotRun, chaos.WrongResponse, chaos.Interrupted, chaos.RanAfterCancel,
	chaos.WorkWhileDraining, chaos.ConfigurationBreach, chaos.Hung, chaos.AttemptLimitExceeded, chaos.WorkAfterDisconnect, chaos.MixedSoftware, chaos.LimitExceeded, chaos.QuotaExceeded, chaos.OutOfOrder, chaos.NotRecovered, chaos.Crashed,
}

// check checks a complete history.
func check(p Plan, h *History, incarnations []*incarnation) *chaos.Verdict {
	c := &checker{plan: p, history: h, arrivals: make(map[string][]arrival), verdict: chaos.NewVerdict(checkedBreaches)}
	for _, b := range incarnations {
		for _, a := range b.backend.Requests() {
			c.arrivals[a.ID] = append(c.arrivals[a.ID], arrival{a, b.backend.ID, b.backend.Version})
		}
	}
	c.checkAll()
	return c.verdict
}

func (c *checker) checkAll() {
	c.count()
	for _, r := range c.history.Records {
		c.checkRecord(r)
	}
	c.checkAttemptLimit()
	c.checkTimeouts()
	c.checkDisconnected()
	c.checkSoftware()
	for _, j := range c.history.Jobs {
		c.checkJob(j)
	}
	c.checkDrains()
	c.checkLimits()
	c.checkQuota()
	c.checkVersions()
	c.checkWorkspaces()
	c.checkProcesses()
}

func (c *checker) count() {
	v := c.verdict
	v.Rounds, v.Requests, v.Jobs = 1, len(c.history.Records), len(c.history.Jobs)
	v.Faults, v.Publications = c.history.Injected, c.history.Published
	for _, r := range c.history.Records {
		switch {
		case r.Complete && r.Status == http.StatusOK:
			v.Answered++
		case r.Complete && statusMeansNotRun(r.Status):
			v.NotRun++
		case r.Disconnected:
			v.Dropped++
		default:
			v.Unknown++
		}
	}
	for _, j := range c.history.Jobs {
		v.Items += j.Op.Items
	}
}

// started returns the arrivals of a request that a backend server started to run.
func (c *checker) started(id string) []arrival {
	var out []arrival
	for _, r := range c.arrivals[id] {
		if r.Started {
			out = append(out, r)
		}
	}
	return out
}

func mayRepeat(k OpKind) bool { return k == Stream || k == SafeCall }

// checkRecord checks a single online request.
func (c *checker) checkRecord(r Record) {
	v, id := c.verdict, r.Op.ID
	ran := c.started(id)
	if r.Complete && r.Status == http.StatusOK && r.Body != wantBody(r.Op) {
		v.AddFinding(chaos.WrongResponse, "%s %s at %s: wrong body %q", r.Op.Kind, id, r.Gateway, r.Body)
	}
	if r.Status == http.StatusOK && !c.startedAt(id, r.Backend) {
		v.AddFinding(chaos.WrongResponse, "%s %s at %s: response of %q, which did not run it", r.Op.Kind, id, r.Gateway, r.Backend)
	}
	if !mayRepeat(r.Op.Kind) && len(ran) > 1 {
		v.AddFinding(chaos.Duplicate, "%s %s at %s ran at %s and %s", r.Op.Kind, id, r.Gateway, ran[0].backend, ran[1].backend)
	}
	if statusMeansNotRun(r.Status) && len(ran) > 0 {
		v.AddFinding(chaos.FalseNotRun, "%s %s at %s: status %d, ran at %s (fault %d)", r.Op.Kind, id, r.Gateway, r.Status, ran[0].backend, ran[0].Fault)
	}
	if r.Status == http.StatusNotFound || r.Status == http.StatusUnauthorized {
		v.AddFinding(chaos.Lost, "%s %s at %s: status %d although its route and its key exist", r.Op.Kind, id, r.Gateway, r.Status)
	}
	c.checkStreamOrder(r)
	c.checkInterrupted(r, ran)
}

func (c *checker) startedAt(id, backend string) bool {
	for _, r := range c.started(id) {
		if r.backend == backend {
			return true
		}
	}
	return false
}

// checkInterrupted checks a request of a round in which nothing may be interrupted. A
// request that raced with the gateway's close of the connection and was not forwarded
// may be retried, and one beyond its quota refused.
func (c *checker) checkInterrupted(r Record, ran []arrival) {
	raced := r.Status == 0 && len(ran) == 0 && r.End.Sub(r.Start) < timeoutSlack
	overQuota := c.plan.Workspaces && r.Op.Kind == UnsafeCall && r.Status == http.StatusTooManyRequests
	if c.plan.Profile != Planned || r.Complete && r.Status == http.StatusOK || raced || overQuota {
		return
	}
	c.verdict.AddFinding(chaos.Interrupted, "%s %s at %s: status %d, %d runs, %s, %s", r.Op.Kind, r.Op.ID, r.Gateway, r.Status, len(ran), r.End.Sub(r.Start), r.Err)
}

// checkAttemptLimit checks at how many backend servers each online request ran.
func (c *checker) checkAttemptLimit() {
	var over []string
	for _, r := range c.history.Records {
		if len(c.started(r.Op.ID)) > maxAttempts {
			over = append(over, r.Op.ID)
		}
	}
	if len(over) > allowedOverLimit {
		c.verdict.AddFinding(chaos.AttemptLimitExceeded, "ran at more than %d backend servers: %v", maxAttempts, over)
	}
}

// checkTimeouts checks how long callers of undisturbed gateways waited.
func (c *checker) checkTimeouts() {
	for _, r := range c.history.Records {
		if r.Disconnected || !undisturbed(c.history.Disturbed, r.Gateway, r.Start, r.End) {
			continue
		}
		if took := r.End.Sub(r.Start); took > routeTimeout+timeoutSlack {
			c.verdict.AddFinding(chaos.Hung, "%s %s at %s took %s: status %d, %s", r.Op.Kind, r.Op.ID, r.Gateway, took, r.Status, r.Err)
		}
	}
}

// checkDisconnected checks that work ended after its caller disconnected, if nothing
// kept the gateway from cancelling it at the backend server. Two streams, or a quarter of
// them, may continue.
func (c *checker) checkDisconnected() {
	disconnected, continued := 0, 0
	for _, r := range c.history.Records {
		if !r.Disconnected || r.Op.Kind == SafeCall || r.Op.Kind == UnsafeCall || !undisturbed(c.history.Disturbed, r.Gateway, r.Start, r.End.Add(disconnectSlack)) {
			continue
		}
		for _, a := range c.started(r.Op.ID) {
			disconnected++
			if a.End.After(r.End.Add(disconnectSlack)) || a.unfinished() {
				continued++
			}
		}
	}
	if continued > 2 && continued*4 > disconnected {
		c.verdict.AddFinding(chaos.WorkAfterDisconnect, "%d of %d streams continued after their callers had disconnected", continued, disconnected)
	}
}

// unfinished reports whether a backend server still runs the request after the round. A
// run that the server itself aborted has no end either and does not count.
func (a arrival) unfinished() bool {
	return a.End.IsZero() && (a.Fault == platformtest.None || a.Fault == platformtest.Hang)
}

// checkDrains checks what draining backend servers received, in rounds in which every
// gateway reached the store. Requests that a server has refused as meant for another one (421) did not run
// and do not count: a successor at the address of a server gets those that name its predecessor.
func (c *checker) checkDrains() {
	if c.plan.Profile == Mixed {
		return
	}
	for id, runs := range c.arrivals {
		for _, a := range runs {
			if a.Fault == platformtest.Misdirected {
				continue
			}
			for _, d := range c.history.Drains {
				if a.backend == d.Target && a.At.After(d.Begin.Add(drainTime)) {
					c.verdict.AddFinding(chaos.WorkWhileDraining, "%s reached %s %s after its drain notice, fault %d", id, a.backend, a.At.Sub(d.Begin), a.Fault)
				}
			}
		}
	}
}

// gatewayProcess identifies a process of a gateway by the number of starts.
type gatewayProcess struct {
	gateway string
	starts  int
}

// checkVersions checks that no process went back to an older configuration, and that the
// last configuration is in force at the last process of each gateway in the end.
func (c *checker) checkVersions() {
	newest := make(map[gatewayProcess]int)
	lastStarts := make(map[string]int)
	for _, p := range c.history.Probes {
		process := gatewayProcess{p.Gateway, p.Starts}
		if !p.InForce && newest[process] >= p.Version {
			c.verdict.AddFinding(chaos.ConfigurationBreach, "%s had version %d in force and then not %d", p.Gateway, newest[process], p.Version)
		}
		if p.InForce {
			newest[process] = max(newest[process], p.Version)
		}
		lastStarts[p.Gateway] = max(lastStarts[p.Gateway], p.Starts)
	}
	for gateway, starts := range lastStarts {
		if version := newest[gatewayProcess{gateway, starts}]; version < c.history.Published {
			c.verdict.AddFinding(chaos.ConfigurationBreach, "%s is at version %d of %d after the faults", gateway, version, c.history.Published)
		}
	}
}

func (c *checker) checkProcesses() {
	for _, name := range c.history.Crashes {
		c.verdict.AddFinding(chaos.Crashed, "%s exited without being stopped", name)
	}
	for _, text := range c.history.FailedStops {
		c.verdict.AddFinding(chaos.Interrupted, "stop of %s", text)
	}
	if c.history.Recovered < 0 {
		c.verdict.AddFinding(chaos.NotRecovered, "requests still fail %s after the last fault", recoveryBound)
	}
}
