package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/serving"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func named(perSecond float64, d time.Duration) Limit {
	return Limit{Named: true, PerSecond: perSecond, At: at(d)}
}

// TestNewerReportCounts covers reports about one server that arrive in another order than the
// server's responses.
func TestNewerReportCounts(t *testing.T) {
	for name, test := range map[string]struct {
		old, report Limit
		want        bool
	}{
		"newer":                     {named(2, 0), named(3, time.Second), true},
		"older":                     {named(2, time.Second), named(1, 0), false},
		"ended":                     {named(2, 0), Limit{At: at(time.Second)}, true},
		"ended before":              {named(2, time.Second), Limit{At: at(0)}, false},
		"at once, stricter":         {named(2, 100*time.Millisecond), named(1, 0), true},
		"at once, less strict":      {named(2, 0), named(3, 100*time.Millisecond), false},
		"at once, none any more":    {named(2, 0), Limit{At: at(100 * time.Millisecond)}, false},
		"named again after its end": {Limit{At: at(0)}, named(2, time.Second), true},
		"stale after its end":       {Limit{At: at(time.Second)}, named(2, 0), false},
	} {
		table := NewTable()
		table.Merge("s", named(9, -time.Hour))
		table.Merge("s", test.old)
		assert.Equal(t, table.Merge("s", test.report), test.want, name)
		got, _ := table.Lookup("s")
		if test.want {
			assert.Equal(t, got, test.report, name)
		} else {
			assert.Equal(t, got, test.old, name)
		}
	}
}

func TestServerThatNamesNoLimitIsNotKept(t *testing.T) {
	table := NewTable()
	assert.Assert(t, !table.Observe("s", Limit{At: at(0)}))
	_, known := table.Lookup("s")
	assert.Assert(t, !known)
	table.Observe("s", named(1, 0))
	table.Observe("s", Limit{At: at(time.Minute)})
	assert.Equal(t, len(table.Named(at(2*time.Minute))), 0)
	_, known = table.Lookup("s")
	assert.Assert(t, !known, "the end of a limit is forgotten")
}

func TestMalformedLimitKeepsTheLastOne(t *testing.T) {
	table := NewTable()
	table.Observe("s", named(2, 0))
	assert.Assert(t, table.ObserveMalformed("s", serving.RateLimit{Malformed: true, Text: "x"}))
	assert.Assert(t, !table.ObserveMalformed("s", serving.RateLimit{Malformed: true, Text: "x"}))
	l, _ := table.Lookup("s")
	assert.Equal(t, l.PerSecond, 2.0)
}

func TestPermitsExpire(t *testing.T) {
	table := NewTable()
	table.AddPermits("s", false, 2, at(0))
	assert.Assert(t, table.UsePermit("s", false, at(0)))
	assert.Assert(t, !table.UsePermit("s", true, at(0)), "permits for online requests are no permits for items")
	assert.Assert(t, !table.UsePermit("s", false, at(permitTTL)))
}

// TestBatchGetsWhatOnlineRequestsLeave plays online requests at half of the limit and at all of it.
func TestBatchGetsWhatOnlineRequestsLeave(t *testing.T) {
	for _, test := range []struct{ online, batchMin, batchMax int }{{online: 0, batchMin: 17, batchMax: 21}, {online: 4, batchMin: 0, batchMax: 0}} {
		table := NewTable()
		table.Observe("s", named(2, 0))
		batch := 0
		for ms := range 10000 {
			now := at(time.Duration(ms) * time.Millisecond)
			if test.online > 0 && ms%(1000/test.online) == 0 {
				table.Grant("s", false, 1, now)
			}
			if ms%10 == 5 {
				n, _ := table.Grant("s", true, 1, now)
				batch += n
			}
		}
		assert.Assert(t, batch >= test.batchMin && batch <= test.batchMax, "%d online a second: %d items", test.online, batch)
	}
}

// TestSumStaysWithinTheLimitUnderAnyDemand plays gateways that request permits of one owner, at
// random times and as the owner tells them, for servers with different limits. The limit is used
// well if there is more demand.
func TestSumStaysWithinTheLimitUnderAnyDemand(t *testing.T) {
	const window = 4 * time.Second
	for _, perSecond := range []float64{0.01, 0.5, 2.5, 40, 1000} {
		table := NewTable()
		table.Observe("s", named(perSecond, 0))
		rng := rand.New(rand.NewPCG(1, 2))
		gateways := make([]time.Time, 133) // when each one asks again
		for i := range gateways {
			gateways[i] = at(time.Duration(rng.Int64N(int64(time.Second))))
		}
		var sent []time.Time
		for ms := range 30000 {
			now := at(time.Duration(ms) * time.Millisecond)
			for i, next := range gateways {
				if now.Before(next) {
					continue
				}
				granted, wait := table.Grant("s", false, 1, now)
				for range granted {
					sent = append(sent, now)
				}
				gateways[i] = now.Add(min(max(wait, minDenial), maxDenial))
			}
		}
		rate := max(perSecond, minRate)
		first := 0
		for i := range sent {
			for sent[i].Sub(sent[first]) >= window {
				first++
			}
			allowed := rate*window.Seconds() + capacity(rate)
			assert.Assert(t, float64(i-first+1) <= allowed+countTolerance, "limit %v: %d requests in %v", perSecond, i-first+1, window)
		}
		assert.Assert(t, float64(len(sent)) >= 0.9*rate*30-1, "limit %v: only %d requests", perSecond, len(sent))
	}
}

// TestWaitTellsWhenThePermitComes plays requests that come back after the time that they are told.
func TestWaitTellsWhenThePermitComes(t *testing.T) {
	table := NewTable()
	table.Observe("s", named(2, 0))
	back := make([]time.Time, 6)
	for i := range back {
		granted, wait := table.Grant("s", false, 1, at(0))
		assert.Equal(t, granted, 0)
		assert.Equal(t, wait, time.Duration(i+1)*500*time.Millisecond)
		back[i] = at(wait)
	}
	for i, now := range back {
		granted, _ := table.Grant("s", false, 1, now)
		assert.Equal(t, granted, 1, "request %d", i)
	}
}
