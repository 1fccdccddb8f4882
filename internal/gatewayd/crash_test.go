package gatewayd_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// crashDeployment is a deployment whose backend servers end when they begin to run a request
// with a certain prompt part.
type crashDeployment struct {
	*deployment
	gateways []*gateway
	crashed  atomic.Int64
}

func newCrashDeployment(t *testing.T, backends int, part string, fault platformtest.Fault) *crashDeployment {
	t.Helper()
	c := &crashDeployment{deployment: newDeployment(t, backends)}
	for _, b := range c.backends {
		b.SetFault(func(r platformtest.Request) platformtest.Fault {
			if !strings.Contains(r.Prompt, part) {
				return platformtest.None
			}
			c.crashed.Add(1)
			return fault
		})
	}
	c.gateways = []*gateway{c.start("a"), c.start("b"), c.start("c")}
	return c
}

// send sends a stream request with the given prompt parts to one of the gateways in turn and
// returns the status.
func (c *crashDeployment) send(i int, id, parts string) int {
	c.t.Helper()
	resp := c.gateways[i%len(c.gateways)].streamRequest(c.t.Context(), c.t, id, platformtest.PromptHeader(parts))
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.t.Logf("%s: %v", id, err) // a stream whose server has ended
	}
	return resp.StatusCode
}

// TestPromptPartDoesNotCrashOneServerAfterTheOther sends requests with a part that ends each
// server that runs them, at all gateways, and sound ones that share their first part.
func TestPromptPartDoesNotCrashOneServerAfterTheOther(t *testing.T) {
	testPromptPartIsHeld(t, platformtest.Crash, 2)
}

// TestPromptPartOfUnframedStreamsIsHeld does the same with streams that seem to be complete, as
// their end is marked by closing the connection.
func TestPromptPartOfUnframedStreamsIsHeld(t *testing.T) {
	t.Run("no event", func(t *testing.T) { testPromptPartIsHeld(t, platformtest.CrashUnframed, 0) })
	t.Run("events", func(t *testing.T) { testPromptPartIsHeld(t, platformtest.CrashUnframed, 2) })
}

// TestUnframedStreamsClearTheirPromptParts covers a service whose streams all end with their
// connection: sound requests complete, so their common part must not be held.
func TestUnframedStreamsClearTheirPromptParts(t *testing.T) {
	c := newCrashDeployment(t, 14, "bad1", platformtest.Crash)
	for _, b := range c.backends {
		crash := b.Fault()
		b.SetFault(func(r platformtest.Request) platformtest.Fault {
			if f := crash(r); f != platformtest.None {
				return f
			}
			return platformtest.CloseDelimited
		})
	}
	c.checkPartIsHeld()
}

func testPromptPartIsHeld(t *testing.T, fault platformtest.Fault, events int) {
	t.Helper()
	c := newCrashDeployment(t, 14, "bad1", fault)
	for _, b := range c.backends {
		b.CutAfter = events
	}
	c.checkPartIsHeld()
}

// checkPartIsHeld sends sound requests, then requests with the part bad1, and sound ones again.
func (c *crashDeployment) checkPartIsHeld() {
	t := c.t
	t.Helper()
	// Gateways judge no request in the first seconds after their start.
	pace := time.NewTicker(100 * time.Millisecond)
	defer pace.Stop()
	for i := range 54 {
		<-pace.C
		assert.Equal(t, c.send(i, fmt.Sprint("before", i), fmt.Sprintf("aa01:100,bb%02d:50,cc%02d:10", i, i)), http.StatusOK)
	}
	pace.Reset(time.Second)
	for i := range 8 {
		<-pace.C
		c.send(i, fmt.Sprint("bad", i), fmt.Sprintf("aa01:100,bad1:50,dd%02d:10", i))
		pace.Reset(time.Second) // the gateways decide before the next one, also on a slow machine
	}
	assert.Assert(t, c.crashed.Load() <= 5, "%d servers have ended", c.crashed.Load())
	resp := c.gateways[0].streamRequest(t.Context(), t, "bad", platformtest.PromptHeader("aa01:100,bad1:50,ff:10"))
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(string(body), string(errkind.Quarantined)), "%s", body)
	for i := range 9 {
		assert.Equal(t, c.send(i, fmt.Sprint("after", i), fmt.Sprintf("aa01:100,bb%02d:50,ee%02d:10", i, i)), http.StatusOK)
	}
}

// TestServersThatEndTogetherCondemnNoPrompt ends most servers at once, several times, under sound
// requests that share their first part.
func TestServersThatEndTogetherCondemnNoPrompt(t *testing.T) {
	c := newCrashDeployment(t, 12, "never", platformtest.Crash)
	for i := range 3 {
		for _, b := range c.backends[3*i : 3*i+3] {
			b.Events, b.EventInterval = 50, 5*time.Millisecond
		}
		done := make(chan struct{})
		var killed atomic.Bool
		go func() {
			defer close(done)
			for n := 0; n < 8 || !killed.Load(); n++ {
				c.send(n, fmt.Sprintf("lost%d-%d", i, n), fmt.Sprintf("aa01:100,bb%02d:50,cc%02d:10", n, n))
			}
		}()
		victims := c.backends[3*i : 3*i+3]
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for _, b := range victims {
				if len(b.Requests()) > 0 {
					return poll.Success()
				}
			}
			return poll.Continue("no request has reached the servers")
		}, poll.WithDelay(5*time.Millisecond))
		for _, b := range victims {
			b.Kill()
		}
		killed.Store(true)
		<-done
	}
	for i := range 9 {
		assert.Equal(t, c.send(i, fmt.Sprint("after", i), fmt.Sprintf("aa01:100,bb%02d:50,ee%02d:10", i, i)), http.StatusOK)
	}
}
