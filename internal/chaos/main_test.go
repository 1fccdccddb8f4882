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

// patience bounds every wait of a test; on a slow machine a wait takes longer
// and nothing else changes.
const patience = 60 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	proctest.RemovePrograms()
	os.Exit(code)
}

// newTestRound starts a deployment that has settled.
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
	assert.NilError(t, r.firstVersion(ctx))
	return r
}

// judge checks the whole history of a test's round.
func (r *Round) judge(t *testing.T) {
	t.Helper()
	v := check(r.plan, r.history, r.observe())
	for _, f := range v.Findings {
		t.Errorf("%s: %s", f.Breach, f.Text)
	}
}

// eventually polls until done.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(10*time.Millisecond))
}

// recordsOf returns what the callers of an operation were told.
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

// executions counts what the plain services ran for an operation.
func (r *Round) executions(id string) int {
	n := 0
	for _, list := range r.observe().Executions {
		for _, e := range list {
			if e.Body == id {
				n++
			}
		}
	}
	return n
}

// generations counts what the engines have started.
func (r *Round) generations() int {
	n := 0
	for _, list := range r.observe().Generations {
		n += len(list)
	}
	return n
}
