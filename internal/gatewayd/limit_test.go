package gatewayd_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const (
	// limitPerSecond is the limit that servers in need name, and limitWindow the time in which
	// the requests that they get are counted.
	limitPerSecond = 2.5
	limitWindow    = 4 * time.Second
	// limitBurst is how many requests more than the limit a server may get in a window.
	limitBurst = 3
)

// checkLimit checks that a server got no more requests from a time on than its limit allows. Requests
// that a stall has delayed arrive together with later ones.
func checkLimit(t *testing.T, b *platformtest.Backend, from time.Time, stalled time.Duration) {
	t.Helper()
	allowed := int(limitPerSecond*(limitWindow+stalled).Seconds()) + limitBurst
	var at []time.Time
	for _, r := range b.Requests() {
		if r.At.After(from) {
			at = append(at, r.At)
		}
	}
	for i := range at {
		n := 0
		for _, other := range at[i:] {
			if other.Sub(at[i]) < limitWindow {
				n++
			}
		}
		assert.Assert(t, n <= allowed, "%s got %d requests in %v, stalls of %v", b.ID, n, limitWindow, stalled)
	}
}

// pacedRequests sends n requests at an interval to the gateways that next returns, and returns how
// many got each status.
func pacedRequests(t *testing.T, n int, interval time.Duration, next func(i int) *gateway) map[int]int {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := make(map[int]int)
	pace := time.NewTicker(interval)
	defer pace.Stop()
	for i := range n {
		<-pace.C
		g, path := next(i), []string{"/call/1", "/stream/1"}[i%2]
		wg.Go(func() {
			resp, _ := g.send(t, http.MethodPost, path, fmt.Sprint("r", i), "x")
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
		})
	}
	wg.Wait()
	return statuses
}

// TestLimitOfAServerHoldsForTheSumOfAllGateways sends more requests than the servers that name a
// limit take, from three gateways, with a job's items among them.
func TestLimitOfAServerHoldsForTheSumOfAllGateways(t *testing.T) {
	for name, restart := range map[string]bool{"steady": false, "restarts": true} {
		t.Run(name, func(t *testing.T) {
			stalls := measureStalls(t)
			d := newDeployment(t, 6)
			limited := d.backends[:4]
			for _, b := range limited {
				b.SetRateLimit(fmt.Sprint(limitPerSecond))
			}
			gateways := []*gateway{d.start("a"), d.start("b"), d.start("c")}
			resp, _ := gateways[0].send(t, http.MethodPost, "/batch/j", "job-1", batchJob(60))
			assert.Equal(t, resp.StatusCode, http.StatusAccepted)
			begin := time.Now()
			const requests, interval = 300, 25 * time.Millisecond
			statuses := pacedRequests(t, requests, interval, func(i int) *gateway {
				if restart && i%100 == 50 {
					gateways[i/100].stop()
					gateways[i/100] = d.start(fmt.Sprint("next", i))
				}
				return gateways[i%3]
			})
			// The servers of a process that stalls serve nothing meanwhile.
			unserved := int(stalls.Longest() / interval)
			assert.Assert(t, statuses[http.StatusOK] >= requests-unserved, "%v, stalls of %v", statuses, stalls.Longest())
			for _, b := range limited {
				checkLimit(t, b, begin.Add(time.Second), stalls.Longest())
			}
		})
	}
}

// TestCallersOfLimitedServersAreServedOrToldWhenToComeBack sends three times as many requests as the
// servers take, all of which name a limit, until the limits end.
func TestCallersOfLimitedServersAreServedOrToldWhenToComeBack(t *testing.T) {
	stalls := measureStalls(t)
	d := newDeployment(t, 2)
	for _, b := range d.backends {
		b.SetRateLimit(fmt.Sprint(limitPerSecond))
	}
	gateways := []*gateway{d.start("a"), d.start("b")}
	type answer struct {
		status     int
		retryAfter float64
		took       time.Duration
	}
	const requests, interval = 90, 66 * time.Millisecond
	answers := make(chan answer, requests)
	pace := time.NewTicker(interval)
	defer pace.Stop()
	begin := time.Now()
	for i := range requests {
		<-pace.C
		go func() {
			sent := time.Now()
			resp, _ := gateways[i%2].send(t, http.MethodPost, "/call/1", fmt.Sprint("r", i), "x")
			retryAfter, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 if there is none
			answers <- answer{resp.StatusCode, retryAfter, time.Since(sent)}
		}()
	}
	served := 0
	for range requests {
		a := <-answers
		if a.status == http.StatusOK {
			served++
			continue
		}
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Assert(t, a.retryAfter > 0)
		assert.Assert(t, a.took < time.Second+stalls.Longest(), "refused after %v, stalls of %v", a.took, stalls.Longest())
	}
	taken := 2 * limitPerSecond * time.Since(begin).Seconds()
	assert.Assert(t, float64(served) >= 0.7*taken, "%d served, the servers take %v", served, taken)
	for _, b := range d.backends {
		checkLimit(t, b, begin.Add(time.Second), stalls.Longest())
		b.SetRateLimit("")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		statuses := pacedRequests(t, 20, 10*time.Millisecond, func(int) *gateway { return gateways[0] })
		if statuses[http.StatusOK] < 20 {
			return poll.Continue("the limits have ended: %v", statuses)
		}
		return poll.Success()
	})
}
