package waiting_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// capacity is the throughput of the slots of a play.
const capacity = float64(playSlots) / (float64(playHold) / float64(time.Second))

func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= rng.Float64()
	}
	return n
}

// rates are the rates of requests by workspace at a time after the begin.
type rates map[string]func(at time.Duration) float64

// bursts is a rate of 1.85 of the mean for 2.2 s and of 0.38 for 3 s by turns.
func bursts(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(5200*time.Millisecond) < 3*time.Second {
			return 0.38 * mean
		}
		return 1.85 * mean
	}
}

func usualHold(time.Duration) time.Duration { return playHold }

func (p play) with(new func() policy) play { p.policy = new; return p }

// both plays a load before and after, and logs what callers got.
func both(t *testing.T, p play) (before, after map[string]outcomes) {
	t.Helper()
	before, after = p.with(func() policy { return racing{} }).run(1), p.with(newOrdered).run(1)
	for workspace := range before {
		t.Logf("%-4s before %+v", workspace, before[workspace])
		t.Logf("%-4s after  %+v", workspace, after[workspace])
	}
	return before, after
}

// assertGain checks that the share of a workspace's calls that were in time has grown by at
// least gain, and that no more of them, by a hundredth, got no answer.
func assertGain(t *testing.T, before, after outcomes, gain float64) {
	t.Helper()
	assert.Assert(t, share(after.inTime, after.total) >= share(before.inTime, before.total)+gain, "before %+v, after %+v", before, after)
	assert.Assert(t, after.served() >= before.served()-0.01, "before %+v, after %+v", before, after)
}

const playLength = 16 * time.Second

// TestBurstsAreAnsweredInTime plays bursts whose mean is 0.7 of the throughput.
func TestBurstsAreAnsweredInTime(t *testing.T) {
	before, after := both(t, play{length: playLength, hold: usualHold, perSecond: rates{"w": bursts(0.7 * capacity)}})
	assertGain(t, before[""], after[""], 0.03)
	assert.Equal(t, after[""].refused, 0)
}

// TestUnevenGatewaysSendCallersOn plays the same bursts with one gateway that gets a fifth of
// all callers: those who would be late there are in time at another one.
func TestUnevenGatewaysSendCallersOn(t *testing.T) {
	before, after := both(t, play{length: playLength, hold: usualHold, perSecond: rates{"w": bursts(0.7 * capacity)}, uneven: 0.1})
	assertGain(t, before[""], after[""], 0.02)
	assert.Assert(t, after[""].inTimeOnReturn > 0)
}

// TestSlowServers plays the bursts while half of the backend servers run at half pace.
func TestSlowServers(t *testing.T) {
	slow := func(time.Duration) time.Duration { return playHold * 3 / 2 }
	before, after := both(t, play{length: playLength, hold: slow, perSecond: rates{"w": bursts(0.7 * capacity)}})
	assertGain(t, before[""], after[""], 0.05)
}

// TestHotWorkspaceWaitsBehindTheOthers plays bursts in which one workspace sends 7.5 times its
// usual for seven seconds.
func TestHotWorkspaceWaitsBehindTheOthers(t *testing.T) {
	usual := 0.1 * capacity
	hot := func(at time.Duration) float64 {
		if at > 5*time.Second && at < 12*time.Second {
			return 7.5 * usual
		}
		return usual
	}
	before, after := both(t, play{length: playLength, hold: usualHold, perSecond: rates{
		"a": bursts(usual), "b": bursts(usual), "c": bursts(usual), "hot": hot,
	}})
	for _, workspace := range []string{"a", "b", "c"} {
		assertGain(t, before[workspace], after[workspace], 0.03)
		assert.Assert(t, share(after[workspace].inTime, after[workspace].total) > 0.97, "%+v", after[workspace])
	}
	assert.Assert(t, after["hot"].served() > 0.9, "%+v", after["hot"])
}

// TestUrgentRequestsGoFirst plays bursts beyond the throughput in which a third of the
// requests have the first rank.
func TestUrgentRequestsGoFirst(t *testing.T) {
	_, after := both(t, play{
		length: playLength, hold: usualHold, priority: map[string]int{"later": 1},
		perSecond: rates{"urgent": bursts(0.25 * capacity), "later": bursts(0.5 * capacity)},
	})
	assert.Assert(t, share(after["urgent"].inTime, after["urgent"].total) > 0.99, "%+v", after["urgent"])
	assert.Assert(t, after["later"].served() > 0.95, "%+v", after["later"])
}
