package gatewayd_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// withWorkspaces returns a configuration in which workspace one holds the given keys and workspace
// two the key key-two.
func withWorkspaces(version int, keysOfOne ...string) string {
	keys, _ := json.Marshal(keysOfOne) // can't fail for strings
	workspaces := fmt.Sprintf(`,"Tenants":[{"Name":"one","ApiKeys":%s},{"Name":"two","ApiKeys":["key-two"]}]}`, keys)
	return strings.Replace(strings.TrimSuffix(config, "}"), `"Version":3`, fmt.Sprintf(`"Version":%d`, version), 1) + workspaces
}

func (d *deployment) configure(text string) {
	d.t.Helper()
	d.write(platform.ConfigTopic, platform.ConfigKey, text)
}

// sendWithKey makes a request with a key, or without one if it is empty.
func (g *gateway) sendWithKey(t *testing.T, key, method, path, id, body string) (status int, text string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+g.address+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	req.Header.Set("Tenant", "two")
	if key != "" {
		req.Header.Set("X-Api-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(raw)
}

// waitStatus waits until a call with a key gets a status.
func (g *gateway) waitStatus(t *testing.T, key, path string, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, body := g.sendWithKey(t, key, http.MethodGet, path, "wait", ""); status != want {
			return poll.Continue("status %d: %s", status, body)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// waitResults waits until a job lists a number of results to a caller with a key.
func (g *gateway) waitResults(t *testing.T, key, job string, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, body := g.sendWithKey(t, key, http.MethodGet, "/api/lots/"+job+"?After=0", "read", "")
		if n := strings.Count(body, `"completed"`); n != want {
			return poll.Continue("%d of %d results: %s", n, want, body)
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
}

// TestJobsBelongToTheirWorkspace submits jobs of two workspaces under one id. Each workspace has its
// own, at both gateways and with any of its keys, also after the key that brought it was withdrawn.
func TestJobsBelongToTheirWorkspace(t *testing.T) {
	d := newDeployment(t, 2)
	d.configure(withWorkspaces(4, "key-a", "key-b"))
	for _, b := range d.backends {
		b.Events, b.EventInterval = 10, 30*time.Millisecond
	}
	a, b := d.start("a"), d.start("b")
	job := strings.Replace(batchJob(3), `"Model":"m"`, `"Model":"m","x-api-key":"key-two","Tenant":"two","Connection":"Tenant"`, 1)
	status, _ := a.sendWithKey(t, "key-a", http.MethodPost, "/batch/j", "same", job)
	assert.Equal(t, status, http.StatusAccepted)
	for _, path := range []string{"/api/lots/same?After=0", "/api/items/same?Id=item-0"} {
		for _, g := range []*gateway{a, b} {
			status, body := g.sendWithKey(t, "key-two", http.MethodGet, path, "r", "")
			assert.Equal(t, status, http.StatusNotFound, "%s", body)
			for _, key := range []string{"", "key-none"} {
				status, _ = g.sendWithKey(t, key, http.MethodGet, path, "r", "")
				assert.Equal(t, status, http.StatusUnauthorized)
			}
			g.waitStatus(t, "key-b", path, http.StatusOK)
		}
	}
	status, _ = b.sendWithKey(t, "key-two", http.MethodDelete, "/api/lots/same", "end", "")
	assert.Equal(t, status, http.StatusNotFound)
	status, _ = b.sendWithKey(t, "key-two", http.MethodDelete, "/api/lots/one%2Fsame", "end", "")
	assert.Equal(t, status, http.StatusNotFound)

	status, _ = b.sendWithKey(t, "key-two", http.MethodPost, "/batch/j", "same", batchJob(1))
	assert.Equal(t, status, http.StatusAccepted)
	b.waitResults(t, "key-two", "same", 1)
	status, _ = b.sendWithKey(t, "key-two", http.MethodDelete, "/api/lots/same", "end", "")
	assert.Equal(t, status, http.StatusOK)

	d.configure(withWorkspaces(5, "key-b"))
	a.waitStatus(t, "key-a", "/api/lots/same", http.StatusUnauthorized)
	status, _ = a.sendWithKey(t, "key-b", http.MethodPost, "/batch/j", "same", job)
	assert.Equal(t, status, http.StatusAccepted)
	b.waitResults(t, "key-b", "same", 3)
	named := make(map[string]int)
	for _, server := range d.backends {
		for _, r := range server.Requests() {
			assert.Equal(t, r.Header.Get("X-Api-Key")+r.Header.Get("Connection"), "")
			named[r.Workspace]++
		}
	}
	assert.Assert(t, named["one"] >= 3 && named["two"] >= 1 && len(named) == 2, "%v", named)
}

// TestJobsFromBeforeWorkspaces introduces workspaces while a job is open.
func TestJobsFromBeforeWorkspaces(t *testing.T) {
	d := newDeployment(t, 1)
	g := d.start("a")
	resp, _ := g.send(t, http.MethodPost, "/batch/j", "early", batchJob(2))
	assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	g.results(t, "early", 2)
	d.configure(withWorkspaces(4, "key-a"))
	g.waitStatus(t, "", "/api/lots/early", http.StatusUnauthorized)
	for _, key := range []string{"key-a", "key-two"} {
		g.waitResults(t, key, "early", 2)
		status, _ := g.sendWithKey(t, key, http.MethodPost, "/batch/j", "early", batchJob(2))
		assert.Equal(t, status, http.StatusAccepted)
	}
	assert.Equal(t, len(d.backends[0].Requests()), 2, "the job has run once")
}

// TestWithdrawnKeyIsRefusedWithoutCuttingStreams withdraws the key of a running stream.
func TestWithdrawnKeyIsRefusedWithoutCuttingStreams(t *testing.T) {
	d := newDeployment(t, 2)
	d.configure(withWorkspaces(4, "key-a", "key-b"))
	for _, b := range d.backends {
		b.Events, b.EventInterval = 40, 25*time.Millisecond
	}
	g := d.start("a")
	answered := make(chan string, 1)
	go func() {
		_, body := g.sendWithKey(t, "key-a", http.MethodPost, "/stream/1", "r1", "x")
		answered <- body
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.backends[0].Runs("r1")+d.backends[1].Runs("r1") > 0 {
			return poll.Success()
		}
		return poll.Continue("the request has not started")
	})
	d.configure(withWorkspaces(5, "key-b"))
	g.waitStatus(t, "key-a", "/safe/1", http.StatusUnauthorized)
	assert.Equal(t, strings.Count(<-answered, "data: "), 40)
	status, _ := g.sendWithKey(t, "key-b", http.MethodGet, "/safe/1", "r2", "")
	assert.Equal(t, status, http.StatusOK)
}

// TestStoreThatWasSetBackRevivesNoKey starts a gateway at a store that shows the configuration from
// before a key was withdrawn, beside one that knows of the withdrawal.
func TestStoreThatWasSetBackRevivesNoKey(t *testing.T) {
	d := newDeployment(t, 1)
	d.configure(withWorkspaces(5, "key-b"))
	d.start("knows")
	past := d.store.ListenFiltered(func(_ string, r keyedlog.Record) keyedlog.Record {
		if r.Key == platform.ConfigKey {
			r.Value = []byte(withWorkspaces(4, "key-a", "key-b"))
		}
		return r
	})
	late := d.startWith("late", io.Discard, func(s *platform.Settings) { s.Store.Address = past })
	late.waitStatus(t, "key-a", "/safe/1", http.StatusUnauthorized)
	status, _ := late.sendWithKey(t, "key-b", http.MethodGet, "/safe/1", "r", "")
	assert.Equal(t, status, http.StatusOK)
}

// TestUnconfirmedKeysAreRefused takes the store away from a gateway that must not serve callers by a
// configuration that may be old.
func TestUnconfirmedKeysAreRefused(t *testing.T) {
	d := newDeployment(t, 1)
	d.configure(strings.Replace(withWorkspaces(4, "key-a"), `"Routes":[`, `"Routes":[{"Name":"o","Host":"h.example","PathPrefix":"/open/",`+
		`"RouteType":"safe","TimeoutMs":2000,"TargetLatencyMs":200,"Service":"svc","MaxAttempts":3,"AllowAnonymous":true},`, 1))
	strict := d.startWith("strict", io.Discard, func(s *platform.Settings) {
		s.StrictRevocation, s.RevocationTime = true, 2*time.Second
	})
	lenient := d.start("lenient")
	d.store.Log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.Refuse })
	strict.waitStatus(t, "key-a", "/safe/1", http.StatusServiceUnavailable)
	strict.waitReady(t, http.StatusServiceUnavailable)
	status, _ := strict.sendWithKey(t, "", http.MethodGet, "/open/1", "r", "")
	assert.Equal(t, status, http.StatusOK, "callers that need no key are served")
	status, _ = strict.sendWithKey(t, "key-a", http.MethodGet, "/open/1", "r", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	status, _ = lenient.sendWithKey(t, "key-a", http.MethodGet, "/safe/1", "r", "")
	assert.Equal(t, status, http.StatusOK)
	d.store.Log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.None })
	strict.waitStatus(t, "key-a", "/safe/1", http.StatusOK)
}

// lockedBuffer is a writer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestKeysAppearNowhere sends a marked key along every path and looks for it in what the processes
// log, count, tell each other, store and send to backend servers.
func TestKeysAppearNowhere(t *testing.T) {
	const marked, unknown = "marked-key-7c1d", "marked-key-none"
	d := newDeployment(t, 2)
	d.configure(withWorkspaces(4, marked))
	d.backends[0].SetFault(func(r platformtest.Request) platformtest.Fault {
		if strings.HasPrefix(r.ID, "cut") {
			return platformtest.CutMidEvent
		}
		if strings.HasPrefix(r.ID, "full") {
			return platformtest.Full
		}
		return platformtest.None
	})
	var out lockedBuffer
	a := d.startWith("a", &out, func(*platform.Settings) {})
	b := d.startWith("b", &out, func(*platform.Settings) {})
	for i := range 6 {
		a.sendWithKey(t, marked, http.MethodPost, "/stream/1", fmt.Sprint("cut-", i), "x")
		a.sendWithKey(t, marked, http.MethodGet, "/safe/1", fmt.Sprint("full-", i), "")
	}
	item := strings.Replace(batchJob(2), `"Model":"m"`, `"Model":"m","X-Api-Key":"`+marked+`"`, 1)
	status, _ := a.sendWithKey(t, marked, http.MethodPost, "/batch/j", "j", item)
	assert.Equal(t, status, http.StatusAccepted)
	b.waitResults(t, marked, "j", 2)
	for _, path := range []string{"/safe/1", "/batch/j", "/api/lots/j", "/api/items/j?Id=item-0", "/nowhere/"} {
		b.sendWithKey(t, unknown, http.MethodGet, path, "refused", "")
		b.sendWithKey(t, marked, http.MethodDelete, path, "ended", "")
	}
	for _, g := range []*gateway{a, b} {
		for _, url := range []string{"http://" + g.metrics + "/metrics", "http://" + g.peers + "/snapshot"} {
			resp, err := http.Get(url)
			assert.NilError(t, err)
			raw, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			assert.NilError(t, err)
			assert.Assert(t, len(raw) > 0)
			_, _ = out.Write(raw) // never fails
		}
	}
	for _, server := range d.backends {
		for _, r := range server.Requests() {
			_, _ = fmt.Fprintf(&out, "%v %s %s\n", r.Header, r.Path, r.Body)
		}
	}
	for _, topic := range []string{"jobs", "contents", "results", "gateways", "held-parts", "software"} {
		for i := range keyedlogtest.Shards {
			page, err := d.store.Log.Newest(t.Context(), keyedlog.Partition{Topic: platform.KeyedTopic(topic), Index: i}, "")
			assert.NilError(t, err)
			for _, r := range page.Records {
				_, _ = fmt.Fprintf(&out, "%s %s\n", r.Key, r.Value)
			}
		}
	}
	for _, g := range []*gateway{a, b} {
		g.stop()
		assert.NilError(t, <-g.done)
	}
	text := out.String()
	for _, expected := range []string{"request_refused", "request_retried", "unauthorized", "workspace=one", `workspace="(none)"`, "item_placed"} {
		assert.Assert(t, strings.Contains(text, expected), "no %s in the outputs", expected)
	}
	for line := range strings.Lines(text) {
		assert.Assert(t, !strings.Contains(line, "marked-key"), "%s", line)
	}
}
