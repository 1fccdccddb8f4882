package chaos

import (
	"context"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/internal/proctest"
)

// waitTimeout bounds every wait of a test. It does not affect what a test checks; waits
// only take longer on a slow machine.
const waitTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	proctest.RemovePrograms()
	os.Exit(code)
}

// newTestRound starts a deployment and waits until it is ready.
func newTestRound(t *testing.T, p Plan) *Round {
	t.Helper()
	cluster, err := proctest.Start(deployment(t.TempDir()))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	r := newRound(ctx, p, cluster)
	var watchers sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		watchers.Wait()
		cluster.Close()
	})
	watchers.Go(func() { r.balancer.run(ctx) })
	watchers.Go(func() { r.watchVersions(ctx) })
	assert.NilError(t, r.awaitSettled(ctx))
	assert.NilError(t, r.recordFirstVersion(ctx))
	return r
}

// checkHistory checks the complete history of a test's round.
func (r *Round) checkHistory(t *testing.T) {
	t.Helper()
	v := check(r.plan, r.history, r.backendHistory())
	for _, f := range v.Findings {
		t.Errorf("%s: %s", f.Breach, f.Text)
	}
}

// eventually polls until done returns true.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
}

// recordsOf returns the records of an operation's requests.
func (r *Round) recordsOf(id string) []Record {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	var out []Record
	for _, rec := range r.history.Records {
		if rec.Op.ID == id {
			out = append(out, rec)
		}
	}
	return out
}

// countExecutions returns how often the plain services ran an operation.
func (r *Round) countExecutions(id string) int {
	n := 0
	for _, list := range r.backendHistory().Executions {
		for _, e := range list {
			if e.Body == id {
				n++
			}
		}
	}
	return n
}

// countGenerations returns the number of generations that the engines have started.
func (r *Round) countGenerations() int {
	n := 0
	for _, list := range r.backendHistory().Generations {
		n += len(list)
	}
	return n
}
