package gatewayd_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// newCrashingRequestDeployment returns a deployment of three gateways whose backend servers end when
// they begin to run a request with the body crash.
func newCrashingRequestDeployment(t *testing.T, backends int) *crashDeployment {
	t.Helper()
	c := &crashDeployment{deployment: newDeployment(t, backends)}
	for _, b := range c.backends {
		b.SetFault(func(r platformtest.Request) platformtest.Fault {
			if r.Body != crashBody {
				return platformtest.None
			}
			c.crashed.Add(1)
			return platformtest.Crash
		})
	}
	c.gateways = []*gateway{c.start("a"), c.start("b"), c.start("c")}
	return c
}

const crashBody = "crash"

// TestRepeatedRequestDoesNotCrashOneServerAfterTheOther sends one request again and again, with a
// new id each time and at all gateways, and sound ones to the same path.
func TestRepeatedRequestDoesNotCrashOneServerAfterTheOther(t *testing.T) {
	for name, account := range map[string]func(i int) string{
		"one caller":          func(int) string { return "" },
		"several callers":     func(i int) string { return fmt.Sprint("account", i%3) },
		"one after the other": func(i int) string { return fmt.Sprint("account", i/5) },
	} {
		t.Run(name, func(t *testing.T) { testRepeatedRequest(t, account) })
	}
}

func testRepeatedRequest(t *testing.T, account func(i int) string) {
	t.Helper()
	c := newCrashingRequestDeployment(t, 14)
	// Gateways judge no request in the first seconds after their start.
	statuses := pacedCalls(c, "before", 54, 100*time.Millisecond)
	assert.Equal(t, statuses[http.StatusOK], 54, "%v", statuses)
	for i := range 8 {
		c.gateways[i%3].sendAs(t, account(i), http.MethodPost, "/safe/call/1", fmt.Sprint("crash", i), crashBody)
		c.serveSound(fmt.Sprint("meanwhile", i))
	}
	assert.Assert(t, c.crashed.Load() <= 4, "%d servers have ended", c.crashed.Load())
	for _, g := range c.gateways {
		resp, body := g.sendAs(t, account(0), http.MethodPost, "/safe/call/1", "again", crashBody)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(body, string(errkind.Quarantined)), "%s", body)
	}
	statuses = pacedCalls(c, "after", 9, 10*time.Millisecond)
	assert.Equal(t, statuses[http.StatusOK], 9, "%v", statuses)
}

// decisionTime is longer than gateways take to decide after a crash, also on a slow machine.
const decisionTime = 500 * time.Millisecond

// serveSound sends sound requests to the same path for decisionTime.
func (c *crashDeployment) serveSound(id string) {
	const interval = 50 * time.Millisecond
	n := int(decisionTime / interval)
	statuses := pacedCalls(c, id, n, interval)
	assert.Equal(c.t, statuses[http.StatusOK], n, "%v", statuses)
}

// TestSameRequestOfAnotherCallerIsServed covers two accounts that send the same request, of which
// only one ends the servers. The other one has sent it to nobody before.
func TestSameRequestOfAnotherCallerIsServed(t *testing.T) {
	c := newCrashingRequestDeployment(t, 14)
	for _, b := range c.backends {
		crash := b.Fault()
		b.SetFault(func(r platformtest.Request) platformtest.Fault {
			if r.Account == "sound" {
				return platformtest.None
			}
			return crash(r)
		})
	}
	pacedCalls(c, "before", 54, 100*time.Millisecond)
	for i := range 6 {
		c.gateways[i%3].sendAs(t, "guilty", http.MethodPost, "/safe/call/1", fmt.Sprint("crash", i), crashBody)
		c.serveSound(fmt.Sprint("meanwhile", i))
	}
	assert.Assert(t, c.crashed.Load() <= 4, "%d servers have ended", c.crashed.Load())
	for i, g := range c.gateways {
		resp, body := g.sendAs(t, "sound", http.MethodPost, "/safe/call/1", fmt.Sprint("sound", i), crashBody)
		assert.Equal(t, resp.StatusCode, http.StatusOK, "%s", body)
		resp, _ = g.sendAs(t, "guilty", http.MethodPost, "/safe/call/1", fmt.Sprint("again", i), crashBody)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	}
}

// pacedCalls sends n sound requests to the gateways in turn, and returns how many got each status.
func pacedCalls(c *crashDeployment, id string, n int, interval time.Duration) map[int]int {
	statuses := make(map[int]int)
	pace := time.NewTicker(interval)
	defer pace.Stop()
	for i := range n {
		<-pace.C
		resp, _ := c.gateways[i%3].send(c.t, http.MethodPost, "/safe/call/1", fmt.Sprint(id, i), fmt.Sprint("sound", i))
		statuses[resp.StatusCode]++
	}
	return statuses
}

// TestSeveralCopiesOfACrashingRequestEndFewServers sends the request to all gateways at once, a few
// times in a row.
func TestSeveralCopiesOfACrashingRequestEndFewServers(t *testing.T) {
	c := newCrashingRequestDeployment(t, 20)
	pacedCalls(c, "before", 54, 100*time.Millisecond)
	for i := range 6 {
		var wg sync.WaitGroup
		for n, g := range c.gateways {
			wg.Go(func() { g.send(t, http.MethodPost, "/safe/call/1", fmt.Sprint("crash", i, "-", n), crashBody) })
		}
		wg.Wait()
		c.serveSound(fmt.Sprint("meanwhile", i))
	}
	assert.Assert(t, c.crashed.Load() <= 9, "%d servers have ended", c.crashed.Load())
}

// TestPollIsServedWhileServersEndForOtherReasons sends one request without a body several times a
// second, while servers that run it are lost one after the other.
func TestPollIsServedWhileServersEndForOtherReasons(t *testing.T) {
	d := newDeployment(t, 12)
	for _, b := range d.backends {
		b.CallDuration = 200 * time.Millisecond
	}
	gateways := []*gateway{d.start("a"), d.start("b"), d.start("c")}
	pace := time.NewTicker(50 * time.Millisecond)
	defer pace.Stop()
	var refused atomic.Int64
	var wg sync.WaitGroup
	for i := range 160 {
		<-pace.C
		if i >= 110 && i%7 == 0 { // the processes have run for five seconds
			killRunning(d.backends)
		}
		wg.Go(func() {
			resp, _ := gateways[i%3].send(t, http.MethodPost, "/safe/call/poll", fmt.Sprint("poll", i), "")
			if resp.StatusCode == http.StatusServiceUnavailable {
				refused.Add(1)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, refused.Load(), int64(0))
}

// killRunning ends a server that runs a request.
func killRunning(backends []*platformtest.Backend) {
	for _, b := range backends {
		if requests := b.Requests(); len(requests) > 0 && requests[len(requests)-1].End.IsZero() {
			b.Kill()
			return
		}
	}
}

// TestItemUnderWhichServersEndIsStillOwed covers an item of a job whose first runs end their servers.
func TestItemUnderWhichServersEndIsStillOwed(t *testing.T) {
	d := newDeployment(t, 8)
	var crashed atomic.Int64
	for _, b := range d.backends {
		b.SetFault(func(r platformtest.Request) platformtest.Fault {
			if r.Path == "/batch/0" && crashed.Add(1) <= 4 {
				return platformtest.Crash
			}
			return platformtest.None
		})
	}
	g := d.start("a")
	resp, _ := g.send(t, http.MethodPost, "/batch/j", "job-1", batchJob(2))
	assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	for _, r := range g.results(t, "job-1", 2).Results {
		assert.Equal(t, r.State, "completed")
	}
	assert.Assert(t, crashed.Load() > 4)
}
