package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
)

const (
	upgradeCallers = 6
	upgradeTokens  = 40
	upgradeWait    = time.Minute
)

func deployDocument(base uint64, version string) string {
	return fmt.Sprintf(`base = %d
[[service]]
name = "assistant"
kind = "model"
models = [%q]
deadline = "20s"
[[service.deploy]]
model = %q
version = %q
`, base, model, model, version)
}

// TestVersionChangeInterruptsNoStream changes the model's version under online load:
// all backend servers load it, one after the other, and no stream is interrupted.
func TestVersionChangeInterruptsNoStream(t *testing.T) {
	c, err := proctest.Start(proctest.Options{
		Entries: 2, Engines: 3, ModelService: "assistant", Model: model,
		Step: 2 * time.Millisecond, Document: deployDocument(0, "v1"),
	})
	assert.NilError(t, err)
	defer c.Close()
	waitVersion(t, c, "v1")

	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var completed atomic.Int64
	failures := make(chan string, upgradeCallers)
	for i := range upgradeCallers {
		wg.Go(func() { requestContinuously(ctx, c.Entries[i%2].CallerAddr(), &completed, failures) })
	}
	publish(t, c, "v2")
	waitVersion(t, c, "v2")
	stop()
	wg.Wait()
	close(failures)
	for f := range failures {
		t.Error(f)
	}
	assert.Assert(t, completed.Load() > 0)
	for _, n := range c.Engines {
		assert.Equal(t, n.Engine.State().Cut, 0, "%s: loading a model interrupted a stream", n.Name())
	}
}

// requestContinuously streams responses until ctx is done and reports the first
// incomplete one.
func requestContinuously(ctx context.Context, addr string, completed *atomic.Int64, failures chan<- string) {
	for ctx.Err() == nil {
		body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"go on"}]}`, model, upgradeTokens)
		resp, err := http.Post("http://"+addr+"/v1/chat/completions", "application/json", strings.NewReader(body))
		if err != nil {
			failures <- err.Error()
			return
		}
		got := response{status: resp.StatusCode, body: readAll(resp)}
		if got.status != http.StatusOK || strings.Count(string(got.body), "go on") != upgradeTokens/2 {
			failures <- fmt.Sprintf("status %d: %s", got.status, got.body)
			return
		}
		completed.Add(1)
	}
}

func publish(t *testing.T, c *proctest.Cluster, version string) {
	t.Helper()
	p := desired.NewPublisher(c.Log.Log(), log.Default())
	snap, err := p.Read(context.Background())
	assert.NilError(t, err)
	doc := deployDocument(snap.InForce.Number, version)
	_, err = p.Publish(context.Background(), desired.Publication{Base: snap.InForce.Number, Document: []byte(doc), Author: "test"})
	assert.NilError(t, err)
}

func waitVersion(t *testing.T, c *proctest.Cluster, version string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range c.Engines {
			if s := n.Engine.State(); s.Version != version || s.Loading {
				return poll.Continue("%s runs %q", n.Name(), s.Version)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(upgradeWait))
}
