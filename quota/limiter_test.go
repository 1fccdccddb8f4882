package quota_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/quota"
)

const (
	// warmUp is the time after which all gateways of a fleet have run for long.
	warmUp = 8 * time.Second
	// hot is how many times its usual load a workspace sends that is beyond its quota.
	hot = 7.5
)

// uneven returns the load of a workspace whose callers come in steps: 0.378 of the mean for 3 s, 1.85
// times the mean for 2.2 s.
func uneven(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(5200*time.Millisecond) < 3*time.Second {
			return 0.378 * mean
		}
		return 1.85 * mean
	}
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// limitFor returns the quota of a workspace with a mean load: 1.6 times that, and a burst of a second.
func limitFor(mean float64) quota.Limit {
	return quota.Limit{RequestsPerSecond: math.Ceil(1.6 * mean), Burst: math.Ceil(1.6 * mean)}
}

// means are the mean loads of workspaces of several sizes, in requests a second.
var means = []float64{0.5, 3, 70}

// beyond returns how many of the requests a single token bucket refuses.
func (r *record) beyond(l quota.Limit) (n int) {
	all := slices.Clone(r.all)
	slices.SortFunc(all, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	b := quota.Bucket{Level: l.Burst}
	last := time.Time{}
	for _, o := range all {
		b.Refill(l.RequestsPerSecond, l.Burst, o.sent.Sub(last))
		last = o.sent
		if !b.Take() {
			n++
		}
	}
	return n
}

// TestNobodyIsRefusedBelowTheQuota has a fleet without faults, whose callers come to all gateways, or
// all to one.
func TestNobodyIsRefusedBelowTheQuota(t *testing.T) {
	for _, mean := range means {
		for _, only := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				l := limitFor(mean)
				f := newFleet(t, 10, l)
				for _, m := range f.gateways[1:] {
					if only {
						m.weight = 0
					}
				}
				time.Sleep(warmUp)
				r := f.play(t, 30*time.Second, uneven(mean), nil)
				t.Logf("mean %v: %d requests, %d refused, %d beyond", mean, len(r.all), len(r.refused()), r.beyond(l))
				assert.Assert(t, len(r.refused()) <= r.beyond(l))
			})
		}
	}
}

// fault is a disturbance of a fleet from its second second on.
type fault struct {
	steps func(t *testing.T, f *fleet) map[time.Duration]func()
	// mayRefuse is the part of the requests below the quota that may be refused.
	mayRefuse float64
}

const begin, end = 2 * time.Second, 6 * time.Second

// from returns the steps of a fault.
func from(broken, mended func()) map[time.Duration]func() {
	return map[time.Duration]func(){begin: broken, end: mended}
}

// each returns a function that calls do for some gateways.
func each(all []*member, do func(*member)) func() {
	return func() {
		for _, m := range all {
			do(m)
		}
	}
}

func (f *fleet) owners() []*member {
	return []*member{f.find(f.gateways[0].QuotaView(workspace).Owner), f.find(f.gateways[1].QuotaView(workspace).Owner)}
}

var faults = map[string]fault{
	"none": {func(*testing.T, *fleet) map[time.Duration]func() { return nil }, 0},
	"owner killed and started": {func(t *testing.T, f *fleet) map[time.Duration]func() {
		m := f.owners()[0]
		return from(m.kill, func() { m.start(t) })
	}, 0.02},
	"both owners killed and started": {func(t *testing.T, f *fleet) map[time.Duration]func() {
		return from(each(f.owners(), (*member).kill), each(f.owners(), func(m *member) { m.start(t) }))
	}, 0.1},
	"owner replaced": {func(t *testing.T, f *fleet) map[time.Duration]func() {
		m := f.owners()[0]
		return from(m.kill, func() {
			f.mu.Lock()
			m.name += "x"
			f.mu.Unlock()
			m.start(t)
		})
	}, 0.02},
	"one cut off": {func(_ *testing.T, f *fleet) map[time.Duration]func() {
		m := f.gateways[2]
		return from(func() { m.cut(true) }, func() { m.cut(false) })
	}, 0.03},
	"owner cut off": {func(_ *testing.T, f *fleet) map[time.Duration]func() {
		m := f.owners()[0]
		return from(func() { m.cut(true) }, func() { m.cut(false) })
	}, 0.03},
	"owner frozen": {func(t *testing.T, f *fleet) map[time.Duration]func() {
		m := f.owners()[0]
		return from(m.freeze, func() { m.wake(t) })
	}, 0.02},
	"regions parted": {func(_ *testing.T, f *fleet) map[time.Duration]func() {
		return from(func() { f.part(true) }, func() { f.part(false) })
	}, 0.1},
	"half killed and started": {func(t *testing.T, f *fleet) map[time.Duration]func() {
		return from(each(f.gateways[:5], (*member).kill), each(f.gateways[:5], func(m *member) { m.start(t) }))
	}, 0.1},
	"all killed and started": {func(t *testing.T, f *fleet) map[time.Duration]func() {
		return from(each(f.gateways, (*member).kill), each(f.gateways, func(m *member) { m.start(t) }))
	}, 0.1},
	"one killed, one cut off, one with an old configuration": {func(t *testing.T, f *fleet) map[time.Duration]func() {
		f.gateways[4].limit.RequestsPerSecond *= 3
		f.gateways[4].limit.Burst *= 3
		f.gateways[4].version = 0
		return from(func() { f.gateways[1].kill(); f.gateways[2].cut(true) }, func() { f.gateways[1].start(t); f.gateways[2].cut(false) })
	}, 0.05},
}

// underFaults plays a load under each fault for workspaces of each size.
func underFaults(t *testing.T, load func(mean float64) func(time.Duration) float64, check func(t *testing.T, r *record, l quota.Limit, f fault)) {
	for name, fault := range faults {
		for _, mean := range means {
			t.Run(fmt.Sprint(name, " ", mean), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := limitFor(mean)
					f := newFleet(t, 10, l)
					time.Sleep(warmUp)
					check(t, f.play(t, 14*time.Second, load(mean), fault.steps(t, f)), l, fault)
				})
			})
		}
	}
}

// TestSumStaysWithinTheBounds has a workspace that sends far beyond its quota.
func TestSumStaysWithinTheBounds(t *testing.T) {
	underFaults(t, func(mean float64) func(time.Duration) float64 { return constant(hot * mean) }, checkSum)
}

func checkSum(t *testing.T, r *record, l quota.Limit, _ fault) {
	t.Helper()
	n := most(r.admitted(), bounds.Window)
	t.Logf("%d requests, at most %d in a window, %.0f allowed", len(r.all), n, allowed(l))
	assert.Assert(t, float64(n) <= allowed(l))
}

// TestFirstBurstStaysWithinTheBounds has a workspace that begins to send far beyond its quota at the
// moment of the fault.
func TestFirstBurstStaysWithinTheBounds(t *testing.T) {
	load := func(mean float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at < begin-time.Second/10 {
				return 0
			}
			return 2 * hot * mean
		}
	}
	underFaults(t, load, checkSum)
}

// TestUnusedQuotaIsUsed has a workspace that sends far beyond its quota: it gets what that allows.
func TestUnusedQuotaIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limitFor(70)
		f := newFleet(t, 10, l)
		time.Sleep(warmUp)
		r := f.play(t, 10*time.Second, constant(hot*70), nil)
		want := l.RequestsPerSecond*10 + l.Burst
		assert.Assert(t, float64(len(r.admitted())) >= 0.97*want, "%d admitted of %v", len(r.admitted()), want)
	})
}

// TestFewAreRefusedBelowTheQuota has the usual load under each fault.
func TestFewAreRefusedBelowTheQuota(t *testing.T) {
	underFaults(t, uneven, func(t *testing.T, r *record, l quota.Limit, f fault) {
		refused := len(r.refused()) - r.beyond(l)
		may := f.mayRefuse*float64(len(r.all)) + 2
		if f.mayRefuse == 0 {
			may = 0
		}
		t.Logf("%d requests, %d refused below the quota", len(r.all), refused)
		assert.Assert(t, float64(refused) <= may)
	})
}
