package waiting_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/waiting"
)

// measured is a mean of equal durations.
func measured(d time.Duration) waiting.Mean {
	var m waiting.Mean
	for range 200 {
		m.Add(d)
	}
	return m
}

// slots is a service with 100 slots that become free 1,000 times a second.
var slots = waiting.Slots{Count: 100, Hold: measured(100 * time.Millisecond), Start: measured(50 * time.Millisecond)}

// expect returns the forecast of a gateway that has measured nothing itself.
func expect(ahead int, e waiting.Elsewhere) waiting.Forecast {
	return waiting.Expect(ahead, slots, &waiting.Pace{}, e, at(0))
}

func TestWaitIsRefusedAtArrivalIfItIsInVain(t *testing.T) {
	c := claim("", 0, 300, false)
	reason, until := waiting.Decide(c, expect(100, waiting.Elsewhere{}), false, at(0))
	assert.Equal(t, reason, waiting.None)
	assert.Equal(t, until.Sub(at(0)).Round(time.Millisecond), 1667*time.Millisecond)
	reason, _ = waiting.Decide(c, expect(6000, waiting.Elsewhere{}), false, at(0))
	assert.Equal(t, reason, waiting.AtArrival, "no slot in six seconds")
	reason, _ = waiting.Decide(c, expect(4000, waiting.Elsewhere{}), false, at(1000))
	assert.Equal(t, reason, waiting.AfterWait, "what is left has become too short")
}

func TestCallerWhoWouldBeInTimeElsewhereIsSentOn(t *testing.T) {
	uneven := expect(400, waiting.Elsewhere{Gateways: 9, WaitingAt: 0})
	even := expect(400, waiting.Elsewhere{Gateways: 9, WaitingAt: 9, Waiting: 3600})
	c, back := claim("", 0, 300, false), claim("", 0, 300, true)
	for _, v := range []struct {
		claim    waiting.Claim
		forecast waiting.Forecast
		after    int
		want     waiting.Reason
	}{
		{c, uneven, 0, waiting.AtArrival},
		{c, uneven, 100, waiting.None}, // no longer at once
		{c, even, 0, waiting.None},     // nowhere better
		{back, uneven, 0, waiting.None},
		{c, expect(100, waiting.Elsewhere{Gateways: 9}), 0, waiting.None}, // in time here
		{c, waiting.Forecast{}, 0, waiting.None},
	} {
		reason, _ := waiting.Decide(v.claim, v.forecast, false, at(v.after))
		assert.Equal(t, reason, v.want, "%+v", v)
	}
}

func TestCallerWhoHasComeBackWaitsToTheEnd(t *testing.T) {
	_, until := waiting.Decide(claim("", 0, 0, true), expect(100, waiting.Elsewhere{}), false, at(0))
	assert.Equal(t, until.Round(time.Millisecond).UnixMilli(), at(5000-50).UnixMilli())
	_, until = waiting.Decide(claim("", 0, 0, true), waiting.Forecast{}, false, at(0))
	assert.Assert(t, until.Before(at(1700)), "nothing is known")
	_, until = waiting.Decide(claim("", 0, 0, true), expect(0, waiting.Elsewhere{}), true, at(0))
	assert.Equal(t, until, at(60), "backend servers refuse it")
}

// TestReturnsAreSpread refuses 100 requests at once: they come back no faster than slots
// become free, and in time to be served.
func TestReturnsAreSpread(t *testing.T) {
	var r waiting.Returns
	f := expect(500, waiting.Elsewhere{Gateways: 9, WaitingAt: 9, Waiting: 90})
	c := claim("", 0, 300, false)
	longest := time.Duration(0)
	for i := range 100 {
		after := r.After(c, waiting.AfterWait, f, at(1667), float64(i%10)/10)
		assert.Assert(t, after >= f.Elsewhere, "%v", after)
		assert.Assert(t, after <= (5000-1667)*time.Millisecond/3, "%v", after)
		longest = max(longest, after)
	}
	assert.Assert(t, longest-f.Elsewhere > 500*time.Millisecond, "%v", longest)
	after := r.After(c, waiting.AfterWait, waiting.Forecast{}, at(0), 0.5)
	assert.Equal(t, after, 550*time.Millisecond, "nothing is known")
	after = r.After(c, waiting.AfterWait, f, at(4990), 0.5)
	assert.Assert(t, after > 0 && after < 10*time.Millisecond, "%v", after)
}

func TestCallersWhoComeBackHaveLessTime(t *testing.T) {
	var l waiting.Limits
	for i := range 40 {
		l.Observe(5*time.Second, at(i))
		l.Observe(2*time.Second, at(i))
	}
	assert.Equal(t, l.Observe(5*time.Second, at(50)), time.Duration(0))
	assert.Equal(t, l.Observe(2*time.Second, at(50)), time.Duration(0), "usual as well")
	assert.Equal(t, l.Observe(4800*time.Millisecond, at(50)), 200*time.Millisecond)
	assert.Equal(t, l.Observe(1900*time.Millisecond, at(50)), 100*time.Millisecond)
	assert.Equal(t, l.Observe(6*time.Second, at(50)), time.Duration(0), "more than usual")
	assert.Equal(t, l.Observe(4900*time.Millisecond, at(60_000)), 100*time.Millisecond, "of the last window")
	assert.Equal(t, l.Observe(4700*time.Millisecond, at(120_000)), time.Duration(0), "forgotten")
}

func TestPaceFollowsWhatWasGranted(t *testing.T) {
	var p waiting.Pace
	p.Observe(true, at(0))
	assert.Equal(t, p.PerSecond(1000, at(0)), 1000.0)
	for ms := range 3000 {
		if ms%10 == 0 {
			p.Granted(at(ms))
		}
	}
	pace := p.PerSecond(1000, at(3000))
	assert.Assert(t, pace > 90 && pace < 300, "%v", pace)
	p.Observe(false, at(3000))
	assert.Equal(t, p.PerSecond(1000, at(9000)), pace, "nobody waits")
}

func TestEngineQueueFitsTheObjective(t *testing.T) {
	for hold, want := range map[time.Duration]int{0: 2, 150 * time.Millisecond: 2, 300 * time.Millisecond: 1, time.Second: 0} {
		assert.Equal(t, waiting.EngineQueue(2, measured(hold), 300*time.Millisecond), want, "%v", hold)
	}
}

func TestCrowdForgetsSilentGateways(t *testing.T) {
	c := waiting.NewCrowd(time.Second)
	c.Set("a", true, map[uint32]waiting.Count{1: {All: 5, InTime: 2}}, at(0))
	c.Set("b", false, nil, at(500))
	assert.Equal(t, c.Of(1, at(900)), waiting.Elsewhere{Gateways: 2, WaitingAt: 1, Waiting: 5, InTimeAt: 1, Far: true})
	assert.Equal(t, c.InRegion(1, at(900)), waiting.Elsewhere{Gateways: 1})
	assert.Equal(t, c.Of(1, at(1200)), waiting.Elsewhere{Gateways: 1})
}
