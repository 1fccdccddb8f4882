package waiting_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/waiting"
)

const (
	playStep      = time.Millisecond
	playGateways  = 10
	playSlots     = 96
	playHold      = 150 * time.Millisecond
	playStart     = 50 * time.Millisecond
	playObjective = 300 * time.Millisecond
	playTimeout   = 5 * time.Second
	playReports   = 15 * time.Millisecond
	// playRecheck is the time between two checks whether an attempt goes on waiting.
	playRecheck = 100 * time.Millisecond
)

// play is a load at several gateways that share the slots of a service.
type play struct {
	perSecond rates
	// hold is how long a request holds a slot, and priority that of a workspace's requests.
	hold     func(at time.Duration) time.Duration
	priority map[string]int
	length   time.Duration
	// uneven is the share of the requests that the first gateway gets beyond its equal share.
	uneven float64
	policy func() policy
}

// call is a caller's request over all of its attempts.
type call struct {
	workspace      string
	first, started time.Time
	refusals       int
	heldInVain     bool
}

// attempt is one attempt of a call at a gateway.
type attempt struct {
	*call
	claim waiting.Claim
	w     *waiting.Waiter
}

// gatewayState is a gateway of a play.
type gatewayState struct {
	waiting []*attempt
	line    waiting.Line
	pace    waiting.Pace
	returns waiting.Returns
	limits  waiting.Limits
	crowd   *waiting.Crowd
}

// policy is a way to decide who waits.
type policy interface {
	// next returns the attempt that gets the free slot at a gateway, or nil.
	next(g *gatewayState, now time.Time, rng *rand.Rand) *attempt
	// refuses returns whether an attempt that found no slot is refused, and when it comes back.
	refuses(g *gatewayState, a *attempt, now time.Time, rng *rand.Rand) (bool, time.Duration)
}

// outcomes counts calls by what their callers got.
type outcomes struct {
	inTime, inTimeOnReturn, late, refused, heldInVain, total int
}

// served returns the share of the calls that were answered.
func (o outcomes) served() float64 { return share(o.inTime+o.inTimeOnReturn+o.late, o.total) }

// share returns n of total.
func share(n, total int) float64 { return float64(n) / float64(max(total, 1)) }

func (o *outcomes) add(c *call) {
	o.total++
	waited := c.started.Add(playStart).Sub(c.first)
	switch {
	case c.started.IsZero():
		o.refused++
		if c.heldInVain {
			o.heldInVain++
		}
	case waited > playObjective:
		o.late++
	case c.refusals > 0:
		o.inTimeOnReturn++
	default:
		o.inTime++
	}
}

// run plays the load and returns the outcomes by workspace; "" has those of all.
func (p play) run(seed uint64) map[string]outcomes {
	rng := rand.New(rand.NewPCG(seed, seed))
	begin := time.Unix(1000, 0)
	gateways := make([]*gatewayState, playGateways)
	for i := range gateways {
		gateways[i] = &gatewayState{crowd: waiting.NewCrowd(time.Second)}
	}
	var ends, comeBack schedule
	var calls []*call
	chosen := p.policy()
	busy := 0
	for at := time.Duration(0); at < p.length+2*playTimeout; at += playStep {
		now := begin.Add(at)
		busy -= len(ends.due(now))
		arriving := comeBack.due(now)
		for _, workspace := range slices.Sorted(maps.Keys(p.perSecond)) {
			if at >= p.length {
				break
			}
			for range poisson(rng, p.perSecond[workspace](at)*playStep.Seconds()) {
				c := &call{workspace: workspace, first: now}
				calls = append(calls, c)
				arriving = append(arriving, c)
			}
		}
		for _, c := range arriving {
			g := gateways[rng.IntN(playGateways)]
			if rng.Float64() < p.uneven {
				g = gateways[0]
			}
			g.arrive(c, p.priority[c.workspace], now)
		}
		if at%playReports == 0 {
			report(gateways, now)
		}
		for busy < playSlots {
			a := grant(gateways, chosen, now, rng)
			if a == nil {
				break
			}
			a.started = now
			busy++
			ends.add(now.Add(time.Duration((0.5+rng.Float64())*float64(p.hold(at)))), a.call)
		}
		for _, g := range gateways {
			for _, a := range slices.Clone(g.waiting) {
				if now.Sub(a.claim.Arrived)%playRecheck != 0 {
					continue
				}
				if refused, after := chosen.refuses(g, a, now, rng); refused {
					g.leave(a, now)
					a.refuse(now, after, &comeBack)
				}
			}
		}
	}
	result := make(map[string]outcomes)
	for _, c := range calls {
		for _, key := range []string{"", c.workspace} {
			o := result[key]
			o.add(c)
			result[key] = o
		}
	}
	return result
}

func (a *attempt) refuse(now time.Time, after time.Duration, comeBack *schedule) {
	a.refusals++
	if held := now.Sub(a.claim.Arrived); held > playObjective/4 {
		a.heldInVain = true
	}
	left := a.first.Add(playTimeout).Sub(now)
	if a.refusals == 1 && after <= left/3 {
		comeBack.add(now.Add(after), a.call)
	}
}

func (g *gatewayState) arrive(c *call, priority int, now time.Time) {
	limit := c.first.Add(playTimeout).Sub(now)
	spent := g.limits.Observe(limit, now)
	claim := waiting.Claim{
		Workspace: c.workspace, Priority: priority, Returned: spent > 0, Arrived: now, Objective: playObjective,
		InTimeUntil: now.Add(playObjective - spent), Deadline: now.Add(limit),
	}
	a := &attempt{call: c, claim: claim, w: g.line.Join(claim)}
	g.waiting = append(g.waiting, a)
	g.pace.Observe(true, now)
}

func (g *gatewayState) leave(a *attempt, now time.Time) {
	g.waiting = slices.DeleteFunc(g.waiting, func(b *attempt) bool { return a == b })
	g.line.Leave(a.w)
	g.pace.Observe(len(g.waiting) > 0, now)
}

// report makes the number of waiting attempts of each gateway known to the others.
func report(gateways []*gatewayState, now time.Time) {
	for i, from := range gateways {
		for j, to := range gateways {
			if i != j {
				to.crowd.Set(string(rune('a'+i)), false, map[uint32]waiting.Count{0: {All: len(from.waiting)}}, now)
			}
		}
	}
}

// grant gives a free slot to an attempt at one of the gateways where some wait.
func grant(gateways []*gatewayState, chosen policy, now time.Time, rng *rand.Rand) *attempt {
	for _, i := range rng.Perm(len(gateways)) {
		g := gateways[i]
		if a := chosen.next(g, now, rng); a != nil {
			g.leave(a, now)
			g.pace.Granted(now)
			g.line.Served(a.workspace, now)
			return a
		}
	}
	return nil
}

// ordered is the policy of this package.
type ordered struct{ hold, start waiting.Mean }

func newOrdered() policy {
	o := &ordered{}
	o.hold.Add(playHold)
	o.start.Add(playStart)
	for range 50 {
		o.start.Add(playStart)
	}
	return o
}

func (o *ordered) slots() waiting.Slots {
	return waiting.Slots{Count: playSlots, Hold: o.hold, Start: o.start}
}

func (o *ordered) next(g *gatewayState, now time.Time, _ *rand.Rand) *attempt {
	if len(g.waiting) == 0 {
		return nil
	}
	head := g.line.Head(now, o.start.Bound())
	for _, a := range g.waiting {
		if a.w == head {
			return a
		}
	}
	return nil
}

func (o *ordered) refuses(g *gatewayState, a *attempt, now time.Time, rng *rand.Rand) (bool, time.Duration) {
	ahead := g.line.Ahead(a.w, now, o.start.Bound())
	f := waiting.Expect(ahead, o.slots(), &g.pace, g.crowd.Of(0, now), now)
	reason, _ := waiting.Decide(a.claim, f, false, now)
	if reason == waiting.None {
		return false, 0
	}
	return true, g.returns.After(a.claim, reason, f, now, rng.Float64())
}

// racing is what gateways did before: all who wait try at each change, those past their
// objective yield to the others of their gateway, and after a third of its time a request
// is refused for 0.3 to 0.8 s.
type racing struct{}

func (racing) next(g *gatewayState, now time.Time, rng *rand.Rand) *attempt {
	inTime := slices.DeleteFunc(slices.Clone(g.waiting), func(a *attempt) bool { return !now.Before(a.claim.Arrived.Add(playObjective)) })
	if len(inTime) > 0 {
		return inTime[rng.IntN(len(inTime))]
	}
	if len(g.waiting) > 0 {
		return g.waiting[rng.IntN(len(g.waiting))]
	}
	return nil
}

func (racing) refuses(_ *gatewayState, a *attempt, now time.Time, rng *rand.Rand) (bool, time.Duration) {
	until := a.claim.Arrived.Add(a.claim.Deadline.Sub(a.claim.Arrived) / 3)
	return now.After(until), 300*time.Millisecond + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
}

// schedule holds calls by the time at which something happens to them.
type schedule struct {
	at    []time.Time
	calls []*call
}

func (s *schedule) add(at time.Time, c *call) {
	i, _ := slices.BinarySearchFunc(s.at, at, time.Time.Compare)
	s.at, s.calls = slices.Insert(s.at, i, at), slices.Insert(s.calls, i, c)
}

func (s *schedule) due(now time.Time) []*call {
	n := 0
	for n < len(s.at) && !s.at[n].After(now) {
		n++
	}
	out := slices.Clone(s.calls[:n])
	s.at, s.calls = s.at[n:], s.calls[n:]
	return out
}
