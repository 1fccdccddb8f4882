package routing_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/routing"
)

// TestMain fixes the seed of the generated histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func backend(i int, region string) routing.Backend {
	name := fmt.Sprintf("w%d", i)
	return routing.Backend{Instance: name, Addr: name, Incarnation: "1", Service: "s", Region: region, Zone: region + "-a"}
}

func table(n int) *routing.Table {
	t := routing.New("near", "near-a", 1)
	for i := range n {
		t.Upsert(backend(i, "near"))
	}
	return t
}

func TestRegionFirstAndSpillWhenFull(t *testing.T) {
	tb := table(1)
	tb.Upsert(backend(1, "far"))
	tb.Observe(0, "w0", routing.Load{Slots: 4, RunningOnline: 3})
	tb.Observe(0, "w1", routing.Load{Slots: 4})
	d, ok := tb.Pick(0, routing.Request{Service: "s"})
	assert.Assert(t, ok)
	assert.Equal(t, d.Backend.Instance, "w0")
	tb.Observe(0, "w0", routing.Load{Slots: 4, RunningOnline: 20})
	d, ok = tb.Pick(0, routing.Request{Service: "s"})
	assert.Assert(t, ok)
	assert.Equal(t, d.Backend.Instance, "w1")
	assert.Equal(t, d.Reason, routing.Spill)
}

func TestPrefixKeepsItsBackend(t *testing.T) {
	tb := table(8)
	q := routing.Request{Service: "s", Prefix: 42}
	first, _ := tb.Pick(0, q)
	assert.Equal(t, first.Reason, routing.Affinity)
	second, _ := tb.Pick(0, q)
	assert.Equal(t, first.Backend.Instance, second.Backend.Instance)
}

func TestSlowBackendIsEjectedAndReturns(t *testing.T) {
	tb := table(4)
	for i := range 4 {
		tb.Observe(0, fmt.Sprintf("w%d", i), routing.Load{StepTime: 20 * time.Millisecond})
	}
	for range 5 {
		tb.Observe(0, "w0", routing.Load{StepTime: time.Second})
	}
	picks := func(now time.Duration) (n int) {
		for range 200 {
			if d, _ := tb.Pick(now, routing.Request{Service: "s"}); d.Backend.Instance == "w0" {
				n++
			}
		}
		return n
	}
	assert.Equal(t, picks(time.Second), 0)
	tb.Observe(time.Minute, "w0", routing.Load{StepTime: 20 * time.Millisecond})
	assert.Assert(t, picks(time.Minute) > 0)
}

func TestBatchGoesWhereThereIsRoom(t *testing.T) {
	tb := table(3)
	tb.Observe(0, "w1", routing.Load{BatchRoom: 2})
	assert.Equal(t, tb.BatchRoom(0, "s"), 2)
	for range 2 {
		d, _ := tb.Pick(0, routing.Request{Service: "s", Class: admission.Batch})
		assert.Equal(t, d.Backend.Instance, "w1")
	}
	assert.Equal(t, tb.BatchRoom(0, "s"), 0)
}

// server is the reference model of one backend server.
type server struct {
	b            routing.Backend
	load         routing.Load
	loadAt       time.Duration
	sent         int
	failures     int
	ejectedUntil time.Duration
	ejectTime    time.Duration // of the last ejection
}

// model is a reference model of a table that scans all backend servers.
type model struct{ servers map[string]*server }

func (m *model) eligible(now time.Duration, s *server, q routing.Request) bool {
	return s.b.Service == q.Service && s.b.Incarnation != "" && !s.load.Draining &&
		now >= s.ejectedUntil && !slices.Contains(q.Exclude, s.b.Instance)
}

func (m *model) anyEligible(now time.Duration, q routing.Request) bool {
	for _, s := range m.servers {
		if m.eligible(now, s, q) {
			return true
		}
	}
	return false
}

// online is the load estimate that the bound on imbalance applies to.
func (s *server) online(now time.Duration) float64 {
	fresh := 2 * time.Second.Seconds() / (2*time.Second + now - s.loadAt).Seconds()
	return float64(s.load.RunningOnline+s.load.QueuedOnline)*fresh + float64(s.sent)
}

// checkPick compares a decision with the reference model.
func (m *model) checkPick(t *rapid.T, now time.Duration, q routing.Request, d routing.Decision, ok bool) {
	assert.Equal(t, ok, m.anyEligible(now, q))
	if !ok {
		return
	}
	s := m.servers[d.Backend.Instance]
	assert.Assert(t, s != nil && m.eligible(now, s, q), "ineligible backend server %s", d.Backend.Instance)
	if d.Reason == routing.Affinity {
		sum, count := 0.0, 0
		for _, x := range m.servers {
			if m.eligible(now, x, q) && x.b.Region == s.b.Region {
				sum += x.online(now)
				count++
			}
		}
		assert.Assert(t, s.online(now) <= sum/float64(count)*1.25+2+1e-9, "imbalance")
	}
	if q.Class == admission.Online {
		s.sent++
	}
}

func TestTableAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb, m := routing.New("near", "near-a", 3), &model{servers: map[string]*server{}}
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			step(t, tb, m, now)
		}
	})
}

func step(t *rapid.T, tb *routing.Table, m *model, now time.Duration) {
	i := rapid.IntRange(0, 7).Draw(t, "server")
	name := fmt.Sprintf("w%d", i)
	switch rapid.IntRange(0, 6).Draw(t, "op") {
	case 0:
		b := backend(i, rapid.SampledFrom([]string{"near", "far"}).Draw(t, "region"))
		b.Incarnation = rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "incarnation")
		tb.Upsert(b)
		if s, ok := m.servers[name]; ok && s.b.Incarnation == b.Incarnation {
			s.b = b
		} else {
			m.servers[name] = &server{b: b}
		}
	case 1:
		tb.Remove(name)
		delete(m.servers, name)
	case 2:
		l := routing.Load{
			RunningOnline: rapid.IntRange(0, 20).Draw(t, "running"), Slots: 16,
			BatchRoom: rapid.IntRange(0, 4).Draw(t, "room"),
			Draining:  rapid.IntRange(0, 5).Draw(t, "leaving") == 0,
		}
		tb.Observe(now, name, l)
		if s, ok := m.servers[name]; ok {
			s.load, s.loadAt, s.sent = l, now, 0
		}
	case 3:
		res := routing.Result(rapid.IntRange(0, 2).Draw(t, "result"))
		m.checkResult(t, now, name, res, tb.RecordResult(now, name, res))
	default:
		q := routing.Request{
			Service: "s", Class: admission.Class(rapid.IntRange(0, 1).Draw(t, "class")),
			Prefix:  uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
			Prefer:  fmt.Sprintf("w%d", rapid.IntRange(0, 9).Draw(t, "prefer")),
			Exclude: []string{fmt.Sprintf("w%d", rapid.IntRange(0, 9).Draw(t, "exclude"))},
		}
		d, ok := tb.Pick(now, q)
		m.checkPick(t, now, q, d, ok)
	}
}

// checkResult checks that three consecutive failures eject a backend server, unless more
// than half of the backend servers would be ejected.
func (m *model) checkResult(t *rapid.T, now time.Duration, instance string, res routing.Result, ejected bool) {
	s, ok := m.servers[instance]
	if !ok || res != routing.Failed {
		assert.Assert(t, !ejected)
		if ok {
			s.failures = 0
		}
		return
	}
	s.failures++
	if s.failures < 3 {
		assert.Assert(t, !ejected)
		return
	}
	s.failures = 0
	ejectedCount := 1
	for _, x := range m.servers {
		if x != s && now < x.ejectedUntil {
			ejectedCount++
		}
	}
	assert.Equal(t, ejected, 2*ejectedCount <= len(m.servers))
	if ejected {
		if s.ejectTime == 0 || now >= s.ejectedUntil+10*time.Second {
			s.ejectTime = time.Second
		}
		s.ejectTime = min(2*s.ejectTime, time.Minute)
		s.ejectedUntil = now + s.ejectTime
	}
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{9, 32, 1200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			tb := table(size)
			for i := range size {
				tb.Observe(0, fmt.Sprintf("w%d", i), routing.Load{RunningOnline: i % 7, Slots: 32, StepTime: time.Millisecond})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tb.Pick(time.Second, routing.Request{Service: "s", Prefix: uint64(i)})
			}
		})
	}
}
