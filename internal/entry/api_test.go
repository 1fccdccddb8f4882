package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/internal/standin"
)

const (
	model        = "draft"
	plainService = "bookings"
	keyOne       = "key-one"
	keyTwo       = "key-two"
	keySlow      = "key-slow"
	callDeadline = 2 * time.Second
)

// document is the desired state of the shared deployment: three workspaces, one
// of them rate limited, and a model that no backend server has loaded.
func document() string {
	hash := func(key string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(key))) }
	return fmt.Sprintf(`base = 0
[[workspace]]
name = "one"
key_sha256 = [%q]
[[workspace]]
name = "two"
key_sha256 = [%q]
[[workspace]]
name = "slow"
key_sha256 = [%q]
[workspace.limits]
requests_per_second = 0.01
burst = 1
[[service]]
name = "assistant"
kind = "model"
models = [%q]
deadline = "2s"
store = true
log_down = "refuse"
[[service]]
name = "empty"
kind = "model"
models = ["nobody"]
[[service]]
name = %q
kind = "plain"
deadline = "2s"
[[service.call]]
method = "POST"
path = "/bookings"
non_idempotent = true
`, hash(keyOne), hash(keyTwo), hash(keySlow), model, plainService)
}

var shared *proctest.Cluster

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("test.fuzzworker"); f != nil && f.Value.String() == "true" {
		os.Exit(m.Run()) // a fuzzing worker uses no deployment
	}
	c, err := proctest.Start(proctest.Options{
		Entries: 1, Engines: 2, Plain: 1,
		ModelService: "assistant", Model: model, PlainService: plainService,
		Step: 2 * time.Millisecond, PlainDelay: time.Millisecond,
		Document: document(),
	})
	shared = c
	code := 1
	if err == nil {
		err = c.Entries[0].WaitReady()
	}
	if err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	if c != nil {
		c.Close()
	}
	proctest.RemovePrograms()
	os.Exit(code)
}

// testRequest is one request of a test.
type testRequest struct {
	method, path, body string
	key                string
	header             http.Header
}

var keys atomic.Int64

// uniqueKey returns an idempotency key that no earlier run has used.
func uniqueKey(name string) string { return fmt.Sprintf("%s-%d", name, keys.Add(1)) }

type response struct {
	status int
	header http.Header
	body   []byte
}

// failure holds the fields of an error response that tests check.
type failure struct {
	Error struct {
		Message string          `json:"message"`
		Type    string          `json:"type"`
		Param   string          `json:"param"`
		Kind    errkind.Kind    `json:"kind"`
		Outcome errkind.Outcome `json:"outcome"`
	} `json:"error"`
}

func send(t *testing.T, tr testRequest) response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	url := "http://" + shared.Entries[0].CallerAddr() + tr.path
	req, err := http.NewRequestWithContext(ctx, tr.method, url, strings.NewReader(tr.body))
	assert.NilError(t, err)
	for k, v := range tr.header {
		req.Header[k] = v
	}
	if tr.key == "" {
		tr.key = keyOne
	}
	req.Header.Set("Authorization", "Bearer "+tr.key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	return response{resp.StatusCode, resp.Header, readAll(resp)}
}

// readAll returns the part of a response's body that arrived.
func readAll(resp *http.Response) []byte {
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return body
}

func chatRequest(prompt string, maxTokens int) testRequest {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, maxTokens, prompt)
	return testRequest{method: http.MethodPost, path: "/v1/chat/completions", body: body}
}

func bookingRequest(key string) testRequest {
	tr := testRequest{method: http.MethodPost, path: "/services/" + plainService + "/bookings", body: `{"tuner":7}`}
	if key != "" {
		tr.header = http.Header{"Idempotency-Key": {key}}
	}
	return tr
}

func executions(n *proctest.Node) int { return len(n.Plain.Executions()) }

// checkFailure asserts that a response has the given kind of error and outcome, and
// the status and headers that the table of kinds specifies.
func checkFailure(t *testing.T, r response, kind errkind.Kind, outcome errkind.Outcome) {
	t.Helper()
	var f failure
	assert.NilError(t, json.Unmarshal(r.body, &f), "%s", r.body)
	assert.Equal(t, f.Error.Kind, kind, "%s", r.body)
	assert.Equal(t, f.Error.Outcome, outcome, "%s", r.body)
	want := errkind.New(kind, "").WithOutcome(outcome).Response()
	assert.Equal(t, r.status, want.Status)
	assert.Equal(t, f.Error.Type, want.Type)
	assert.Equal(t, r.header.Get("Retry-After") != "", want.RetryAfter > 0, "Retry-After %q", r.header.Get("Retry-After"))
}

// TestRefusals provokes the kinds of errors that a single request can cause.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		request testRequest
		kind    errkind.Kind
		outcome errkind.Outcome
	}{
		{"malformed JSON", testRequest{method: "POST", path: "/v1/chat/completions", body: "{"}, errkind.BadRequest, errkind.NotRun},
		{"no messages", testRequest{method: "POST", path: "/v1/chat/completions", body: `{"model":"draft"}`}, errkind.BadRequest, errkind.NotRun},
		{"wrong key", testRequest{method: "GET", path: "/v1/models", key: "nobody's"}, errkind.Unauthorized, errkind.NotRun},
		{"no such path", testRequest{method: "GET", path: "/v2/models"}, errkind.NotFound, errkind.NotRun},
		{"wrong method", testRequest{method: "PATCH", path: "/v1/models"}, errkind.MethodNotAllowed, errkind.NotRun},
		{"unknown model", testRequest{method: "POST", path: "/v1/chat/completions", body: `{"model":"x","messages":[{"role":"user","content":"a"}]}`}, errkind.UnknownService, errkind.NotRun},
		{"unknown service", testRequest{method: "GET", path: "/services/nothing/x"}, errkind.UnknownService, errkind.NotRun},
		{"oversize body", chatRequest(strings.Repeat("a", 5<<20), 1), errkind.TooLarge, errkind.NotRun},
		{"oversize header", testRequest{method: "GET", path: "/v1/models", header: http.Header{"X-Long": {strings.Repeat("a", 70<<10)}}}, errkind.HeaderTooLarge, errkind.NotRun},
		{"no backend server", testRequest{method: "POST", path: "/v1/chat/completions", body: `{"model":"nobody","messages":[{"role":"user","content":"a"}]}`}, errkind.NoBackend, errkind.NotRun},
		{"refused by the engine", chatRequest(standin.PoisonRefused, 4), errkind.BackendRefused, errkind.Complete},
		{"engine crashes on every attempt", chatRequest(standin.PoisonCrash, 4), errkind.BackendFailed, errkind.Unknown},
		{"longer than the deadline", chatRequest("a b", 5000), errkind.Timeout, errkind.Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			checkFailure(t, send(t, tc.request), tc.kind, tc.outcome)
		})
	}
	assert.Equal(t, send(t, chatRequest("still served", 2)).status, http.StatusOK)
}

// limited is set once the slow workspace's only token is used; the deployment
// outlives a single run of the test.
var limited atomic.Bool

func TestRateLimitReturnsRetryAfter(t *testing.T) {
	tr := chatRequest("hello", 2)
	tr.key = keySlow
	if r := send(t, tr); limited.CompareAndSwap(false, true) {
		assert.Equal(t, r.status, http.StatusOK)
	}
	checkFailure(t, send(t, tr), errkind.RateLimited, errkind.NotRun)
}

// TestKeyedCallRunsOnce sends the same booking twice and checks that the second
// response is the recorded one, so that the call ran once.
func TestKeyedCallRunsOnce(t *testing.T) {
	key := uniqueKey("once")
	first := send(t, bookingRequest(key))
	assert.Equal(t, first.status, http.StatusOK, "%s", first.body)
	second := send(t, bookingRequest(key))
	assert.Equal(t, string(second.body), string(first.body))
	other := bookingRequest(key)
	other.body = `{"tuner":8}`
	checkFailure(t, send(t, other), errkind.KeyReused, errkind.NotRun)
	otherWorkspace := bookingRequest(key)
	otherWorkspace.key = keyTwo
	third := send(t, otherWorkspace)
	assert.Assert(t, !bytes.Equal(third.body, first.body), "a workspace received the response of another workspace")
}

// TestStoredReplyBelongsToItsWorkspace checks that a stored reply can be read from
// its own workspace only.
func TestStoredReplyBelongsToItsWorkspace(t *testing.T) {
	r := send(t, chatRequest("keep this", 3))
	assert.Equal(t, r.header.Get("X-Catkinrudder-Recorded"), "true")
	var c struct {
		ID string `json:"id"`
	}
	assert.NilError(t, json.Unmarshal(r.body, &c))
	again := testRequest{method: http.MethodGet, path: "/v1/chat/completions/" + c.ID}
	assert.Equal(t, string(send(t, again).body), string(r.body))
	again.key = keyTwo
	checkFailure(t, send(t, again), errkind.NotFound, errkind.NotRun)
}

// endOutage returns once the entry has detected that the log is available again.
func endOutage(t *testing.T) {
	shared.Log.SetFaults(standin.LogFaults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r := send(t, bookingRequest(uniqueKey("after-outage"))); r.status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("calls with an idempotency key are still rejected")
	}, poll.WithTimeout(callDeadline*10))
}

// TestLogOutage checks that requests that need the log are rejected and all others
// are served.
func TestLogOutage(t *testing.T) {
	shared.Log.SetFaults(standin.LogFaults{Down: true})
	defer endOutage(t)
	before := executions(shared.Plain[0])
	r := send(t, bookingRequest(uniqueKey("while-down")))
	// As far as the entry can determine, an earlier send under the key may have run.
	checkFailure(t, r, errkind.LogUnavailable, errkind.Unknown)
	assert.Equal(t, executions(shared.Plain[0]), before, "a call without a claim was run")
	get := testRequest{method: http.MethodGet, path: "/services/" + plainService + "/tuners"}
	assert.Equal(t, send(t, get).status, http.StatusOK)
	unstored := chatRequest("go on", 2)
	unstored.body = strings.Replace(unstored.body, "{", `{"store":false,`, 1)
	assert.Equal(t, send(t, unstored).status, http.StatusOK)
}

// TestInterruptedCallHasUnknownOutcome cuts the link to the backend server during a
// non-idempotent call: its outcome is unknown, and it must not be sent again.
func TestInterruptedCallHasUnknownOutcome(t *testing.T) {
	node := shared.Plain[0]
	slow := bookingRequest(uniqueKey("cut"))
	slow.path += "?delay_ms=500"
	before := executions(node)
	done := make(chan response, 1)
	go func() { done <- send(t, slow) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if executions(node) > before {
			return poll.Success()
		}
		return poll.Continue("the call has not reached the service")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(callDeadline))
	node.Links().Backend.Cut()
	r := <-done
	node.Links().Backend.Restore()
	checkFailure(t, r, errkind.OutcomeUnknown, errkind.Unknown)
	checkFailure(t, send(t, slow), errkind.OutcomeUnknown, errkind.Unknown)
	assert.Equal(t, executions(node), before+1, "a call of unknown outcome was sent again")
}

// TestLogOutageIsReportedPromptly sends requests that need the log while it is down.
// The response must arrive well before the call's deadline.
func TestLogOutageIsReportedPromptly(t *testing.T) {
	shared.Log.SetFaults(standin.LogFaults{Down: true})
	defer endOutage(t)
	stored := chatRequest("keep", 2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r := send(t, stored); r.status == http.StatusServiceUnavailable {
			return poll.Success()
		}
		return poll.Continue("the entry has not detected the outage")
	}, poll.WithTimeout(callDeadline*5))
	upload := testRequest{method: http.MethodPost, path: "/v1/files", body: multipartBody}
	upload.header = http.Header{"Content-Type": {"multipart/form-data; boundary=b"}}
	for _, tc := range []struct {
		request testRequest
		status  int
	}{
		{stored, http.StatusServiceUnavailable},
		{bookingRequest(uniqueKey("outage")), http.StatusGatewayTimeout}, // an earlier send under the key may have run
		{upload, http.StatusServiceUnavailable},
	} {
		tr := tc.request
		started := time.Now()
		r := send(t, tr)
		assert.Equal(t, r.status, tc.status, "%s", r.body)
		assert.Assert(t, r.header.Get("Retry-After") != "")
		assert.Assert(t, time.Since(started) < outageResponseTime, "%s took %s", tr.path, time.Since(started))
	}
}

const (
	// outageResponseTime is longer than any remaining wait for the log.
	outageResponseTime = 15 * time.Second
	multipartBody      = "--b\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n" +
		"--b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n{}\n\r\n--b--\r\n"
)
