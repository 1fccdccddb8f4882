package quota_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/quota"
)

// TestRefusedRequestsAreServedWhenTheyReturn has more requests than a quota allows at one moment, each
// of which comes back when it is told to. In one region nearly all are served then. Two regions don't
// know at once what the other one was asked; there a third attempt does it.
func TestRefusedRequestsAreServedWhenTheyReturn(t *testing.T) {
	for step, attempts := range map[int]int{2: 2, 1: 3} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 10, quota.Limit{RequestsPerSecond: 20, Burst: 20})
			f.play(t, warmUp, constant(10), nil)
			r := &record{}
			served := 0
			begin := time.Now()
			for i := range 60 {
				go func() {
					for range attempts {
						refusal := f.send(t, f.gateways[i*step%10], r)
						if refusal == nil {
							r.mu.Lock()
							defer r.mu.Unlock()
							served++
							return
						}
						time.Sleep(refusal.Wait)
					}
				}()
			}
			time.Sleep(10 * time.Second)
			synctest.Wait()
			assert.Assert(t, len(r.refused()) >= 20, "%d refused", len(r.refused()))
			assert.Assert(t, served >= 55, "%d served", served)
			returns := make(map[time.Duration]int)
			for _, o := range r.refused() {
				returns[o.at.Add(o.refusal.Wait).Sub(begin).Truncate(10*time.Millisecond)]++
			}
			for at, n := range returns {
				assert.Assert(t, n <= 4, "%d come back at %v", n, at)
			}
		})
	}
}

// TestGatewaysShareFairly has a workspace beyond its quota: each gateway admits its part of what arrives
// there, in both regions.
func TestGatewaysShareFairly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10, limitFor(70))
		f.gateways[3].weight = 3
		time.Sleep(warmUp)
		r := f.play(t, 20*time.Second, constant(hot*70), nil)
		sent, admitted := make(map[string]int), make(map[string]int)
		for _, o := range r.all {
			sent[o.gateway.name]++
			if o.refusal == nil {
				admitted[o.gateway.name]++
			}
		}
		all := float64(len(r.admitted())) / float64(len(r.all))
		for name, n := range sent {
			part := float64(admitted[name]) / float64(n)
			assert.Assert(t, part > 0.4*all && part < 2.5*all, "%s admits %.2f, all %.2f", name, part, all)
		}
	})
}

// TestLowerQuotaBindsWithinAWindow has a configuration with a tenth of the quota, which one gateway does
// not get.
func TestLowerQuotaBindsWithinAWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limitFor(70)
		lower := limitFor(7)
		f := newFleet(t, 10, l)
		time.Sleep(warmUp)
		changed := time.Now().Add(6 * time.Second)
		r := f.play(t, 20*time.Second, constant(hot*70), map[time.Duration]func(){6 * time.Second: func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, m := range f.gateways[1:] {
				m.limit, m.version = lower, 2
			}
		}})
		var after []time.Time
		for _, at := range r.admitted() {
			if at.After(changed) {
				after = append(after, at)
			}
		}
		n := most(after, bounds.Window)
		assert.Assert(t, float64(n) <= allowed(lower), "%d in a window, %.0f allowed", n, allowed(lower))
	})
}

// TestRegionsThatDoNotAnswerUseTheirParts has owners that reach each other and don't exchange counts.
func TestRegionsThatDoNotAnswerUseTheirParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limitFor(70)
		f := newFleet(t, 10, l)
		f.deaf = true
		time.Sleep(warmUp)
		r := f.play(t, 10*time.Second, constant(70), nil)
		assert.Assert(t, len(r.refused()) <= len(r.all)/20, "%d of %d refused", len(r.refused()), len(r.all))
		r = f.play(t, 10*time.Second, constant(hot*70), nil)
		n := most(r.admitted(), bounds.Window)
		assert.Assert(t, float64(n) <= allowed(l), "%d in a window, %.0f allowed", n, allowed(l))
	})
}

// TestUnlimitedWorkspacesCostNoMessages and no wait.
func TestUnlimitedWorkspacesCostNoMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, quota.Limit{})
		r := f.play(t, time.Second, constant(100), nil)
		assert.Equal(t, len(r.refused()), 0)
		assert.Equal(t, f.messages.Load(), int64(0))
	})
}

// TestMessagesAreBounded counts the messages of a workspace within its quota and of one far beyond it.
func TestMessagesAreBounded(t *testing.T) {
	for _, factor := range []float64{1, hot} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 10, limitFor(70))
			time.Sleep(warmUp)
			r := f.play(t, 20*time.Second, constant(factor*70), nil)
			perRequest := float64(f.messages.Load()) / float64(len(r.all))
			t.Logf("%v times the usual: %.2f messages a request", factor, perRequest)
			assert.Assert(t, perRequest <= 2.1, "%v", perRequest)
		})
	}
}

// TestUnusedPermitsComeBack has requests that get a permit and never run.
func TestUnusedPermitsComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := quota.Limit{RequestsPerSecond: 2, Burst: 2}
		f := newFleet(t, 4, l)
		time.Sleep(warmUp)
		for i := range 40 {
			permit, err := f.gateways[i%4].limiter.Admit(t.Context(), workspace, l, 1)
			assert.NilError(t, err, "request %d", i)
			permit.Return()
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// TestCallerThatLeavesCostsNothing has an owner that is frozen, and a caller that leaves meanwhile.
func TestCallerThatLeavesCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, quota.Limit{RequestsPerSecond: 2, Burst: 2})
		time.Sleep(warmUp)
		owner := f.owners()[0]
		owner.freeze()
		defer owner.wake(t)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		for _, m := range f.gateways {
			if m != owner && m.region == owner.region {
				_, err := m.limiter.Admit(ctx, workspace, m.limit, 1)
				assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
			}
		}
	})
}
