package gatewayd_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// patientConfig is config with callers that wait longer than a process has to stop.
var patientConfig = strings.NewReplacer(`"Version":3`, `"Version":4`, `"TimeoutMs":2000`, `"TimeoutMs":20000`).Replace(config)

// status sends a request and returns the status of its answer, or 0 if there is none.
func (g *gateway) status(t *testing.T, path, id string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+g.address+path, strings.NewReader("x"))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "20000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestRequestsAtTheEndOfTheGraceAreAnswered guards against connections that a stopping process closes without an
// answer: requests that still run then, and those that wait for a slot.
func TestRequestsAtTheEndOfTheGraceAreAnswered(t *testing.T) {
	d := newDeployment(t, 1)
	d.configure(patientConfig)
	b := d.backends[0]
	b.SetFault(func(platformtest.Request) platformtest.Fault { return platformtest.Hang })
	g := d.startWith("a", d.logOnFailure("a"), func(s *platform.Settings) { s.Grace = 4 * time.Second })
	statuses := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	send := func(path, id string) {
		wg.Go(func() {
			status := g.status(t, path, id)
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = status
		})
	}
	for i := range 4 {
		send("/call/1", fmt.Sprint("once", i))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(b.Requests()) < 4 {
			return poll.Continue("%d run", len(b.Requests()))
		}
		return poll.Success()
	})
	g.stop()
	for i := range 6 {
		send("/call/1", fmt.Sprint("late", i))
	}
	wg.Wait()
	assert.NilError(t, <-g.done)
	for id, status := range statuses {
		switch {
		case b.Runs(id) == 0:
			assert.Equal(t, status, http.StatusServiceUnavailable, "%s has not run", id)
		default:
			assert.Assert(t, status == http.StatusGatewayTimeout || status == http.StatusBadGateway, "%s has run: %d", id, status)
		}
	}
	assert.Equal(t, len(statuses), 10)
}
