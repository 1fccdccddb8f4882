package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/commitlog/commitlogtest"
	"github.com/catkinrudder/catkinrudder/desired"
)

// harness runs the tool with an in-memory log service.
type harness struct {
	t   *testing.T
	log *commitlogtest.MemLog
	dir string
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, log: commitlogtest.NewMemLog(), dir: t.TempDir()}
}

func (h *harness) run(args ...string) (code int, stdout, stderr string) {
	h.t.Helper()
	var out, errOut bytes.Buffer
	tool := Tool{
		Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errOut,
		NewLog: func(string) commitlog.Log { return h.log }, PollInterval: time.Millisecond,
	}
	code = tool.Run(h.t.Context(), append([]string{"catkinrudderctl", "--log", "127.0.0.1:1"}, args...))
	return code, out.String(), errOut.String()
}

func (h *harness) file(name, content string) string {
	path := filepath.Join(h.dir, name)
	assert.NilError(h.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

const document = "# the service\nbase = %d\n[[service]]\nname = \"a\"\nmodels = [\"m\"]\nslots = %d\n"

func TestApplyGetConflict(t *testing.T) {
	h := newHarness(t)
	first := h.file("first.toml", fmt.Sprintf(document, 0, 4))
	code, out, _ := h.run("apply", first, "--author", "ada", "--note", "start")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, out, first+": accepted as version 1\n")

	code, out, _ = h.run("apply", first)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, out, "already in force as version 1, nothing published\n")

	code, out, _ = h.run("get")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, out, fmt.Sprintf(document, 1, 4))

	second := h.file("second.toml", fmt.Sprintf(document, 0, 5))
	code, _, errOut := h.run("apply", second)
	assert.Equal(t, code, ExitConflict)
	assert.Assert(t, strings.Contains(errOut, "based on version 0, but version 1 (by ada) is in force"), errOut)
	code, out, _ = h.run("diff", second)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, out, "~ service[a].slots: 4 -> 5\n")
	code, out, _ = h.run("--json", "apply", second, "--base", "1")
	assert.Equal(t, code, ExitOK)
	var v desired.Verdict
	assert.NilError(t, json.Unmarshal([]byte(out), &v))
	assert.Equal(t, v.Version, uint64(2))

	code, out, _ = h.run("history")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "ada     start  accepted as version 1, replaced since"), out)
	code, out, _ = h.run("get", "--number", "1")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, out, fmt.Sprintf(document, 1, 4))
}

func TestInvalidFileIsRejectedBeforeAppending(t *testing.T) {
	h := newHarness(t)
	bad := h.file("bad.toml", "[[service]]\nname = \"a\"\nmodel = [\"m\"]\n")
	for _, command := range []string{"check", "apply", "diff"} {
		code, out, errOut := h.run(command, bad)
		assert.Equal(t, code, ExitUsage)
		assert.Assert(t, strings.Contains(out+errOut, bad+`:3:1: service.model: unknown key (did you mean "models"?)`), out+errOut)
	}
	code, out, _ := h.run("--json", "check", bad)
	assert.Equal(t, code, ExitUsage)
	var checks []fileCheck
	assert.NilError(t, json.Unmarshal([]byte(out), &checks))
	assert.Equal(t, checks[0].Problems[0].Line, 3)
	page, err := h.log.Read(t.Context(), desired.Stream, 0, 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.Next, commitlog.Offset(0))
}

func TestExitCodes(t *testing.T) {
	h := newHarness(t)
	good := h.file("good.toml", fmt.Sprintf(document, 0, 4))
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"unknown command", []string{"aply"}, ExitUsage},
		{"unknown flag", []string{"get", "--jsn"}, ExitUsage},
		{"missing file", []string{"apply", h.dir + "/none.toml"}, ExitUsage},
		{"no entry", []string{"chat", "--model", "m", "hi"}, ExitUsage},
		{"unreachable entry", []string{"--entry", "http://127.0.0.1:1", "chat", "--model", "m", "hi"}, ExitUnavailable},
		{"unreachable operator listener", []string{"--operator", "http://127.0.0.1:1", "status"}, ExitUnavailable},
		{"nothing in force", []string{"get"}, ExitFailed},
		{"help", []string{"--help"}, ExitOK},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			code, _, errOut := h.run(tc.args...)
			assert.Equal(t, code, tc.want, errOut)
		})
	}
	h.log.SetDown(true)
	code, _, _ := h.run("apply", good)
	assert.Equal(t, code, ExitUnavailable)
}

// serveResponses starts a server that responds to each "METHOD path" with its
// bodies in turn and repeats the last one. A body that starts with a number is
// sent with that status.
func serveResponses(t *testing.T, responses map[string][]string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		call := r.Method + " " + r.URL.RequestURI()
		bodies := responses[call]
		if len(bodies) == 0 {
			t.Errorf("unexpected call %s", call)
			return
		}
		body := bodies[0]
		if len(bodies) > 1 {
			responses[call] = bodies[1:]
		}
		var status int
		if n, _ := fmt.Sscanf(body, "%d ", &status); n == 1 {
			if status == http.StatusServiceUnavailable {
				w.Header().Set("Retry-After", "1")
			}
			w.WriteHeader(status)
			body = body[4:]
		}
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func TestOperatorCommands(t *testing.T) {
	h := newHarness(t)
	url := serveResponses(t, map[string][]string{
		"GET /operator/status":                {`{"processes":[{"instance":"e1","role":"entry","availability_zone":"raleigh","config_version":7},{"instance":"s1","role":"sidecar","error":"no report"}]}`},
		"GET /operator/backends":              {`{"backends":[{"instance":"s1","service":"a","running_online":2,"queued_online":1,"slots":8,"step_us":1500,"leaving":true}]}`},
		"GET /operator/jobs":                  {`{"jobs":[{"id":"batch_1","workspace":"w","status":"in_progress","request_counts":{"total":9}}]}`},
		"POST /operator/drain?instance=s%2F1": {`{"instance":"s/1","in_progress":3}`},
		"POST /operator/drain?instance=nope":  {`404 {"error":{"kind":"not_found","message":"no sidecar","outcome":"not_run"}}`},
	})
	for command, want := range map[string][]string{
		"status":    {"e1", "raleigh", "7       serving", "no report"},
		"backends":  {"2+1", "1.5ms", "leaving"},
		"jobs":      {"batch_1", "in_progress"},
		"drain s/1": {"s/1 drains, 3 in progress"},
	} {
		code, out, errOut := h.run(append([]string{"--operator", url}, strings.Fields(command)...)...)
		assert.Equal(t, code, ExitOK, errOut)
		for _, w := range want {
			assert.Assert(t, strings.Contains(out, w), "%s: %s", command, out)
		}
	}
	code, _, errOut := h.run("--operator", url, "drain", "nope")
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(errOut, "not_found: no sidecar (outcome not_run)"), errOut)
}

func TestBatchCommands(t *testing.T) {
	h := newHarness(t)
	job := func(status string, completed, failed int) string {
		return fmt.Sprintf(`{"id":"batch_1","status":%q,"output_file_id":"file-2","request_counts":{"total":3,"completed":%d,"failed":%d}}`, status, completed, failed)
	}
	url := serveResponses(t, map[string][]string{
		"POST /v1/files":                  {`{"id":"file-1"}`},
		"POST /v1/batches":                {`503 {"error":{"kind":"log_unavailable","outcome":"not_run"}}`, job("validating", 0, 0)},
		"GET /v1/batches/batch_1":         {job("in_progress", 1, 0), job("completed", 3, 0), job("completed", 2, 1)},
		"POST /v1/batches/batch_1/cancel": {job("cancelling", 1, 0)},
		"GET /v1/files/file-2/content":    {"{}\n"},
	})
	input := h.file("in.jsonl", "{}\n")
	code, out, errOut := h.run("--entry", url, "batch", "submit", "--wait", input)
	assert.Equal(t, code, ExitOK, errOut)
	assert.Equal(t, out, "batch_1 completed: 3 of 3 completed, 0 failed\n")
	assert.Assert(t, strings.Contains(errOut, "batch_1 in_progress: 1 of 3 completed"), errOut)
	code, _, errOut = h.run("--entry", url, "batch", "status", "--wait", "batch_1")
	assert.Equal(t, code, ExitIncomplete, errOut)
	code, out, _ = h.run("--entry", url, "--json", "batch", "cancel", "batch_1")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, `"status": "cancelling"`), out)
	code, out, _ = h.run("--entry", url, "batch", "results", "batch_1")
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, out, "{}\n")
}

func TestBrokenConnectionHasUnknownOutcome(t *testing.T) {
	h := newHarness(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(s.Close)
	code, _, _ := h.run("--entry", s.URL, "chat", "--model", "m", "hi")
	assert.Equal(t, code, ExitUnknown)
}

// TestInterruptedDownloadLeavesNoPartialFile covers results that break off half way: an earlier
// download under the same name stays as it is.
func TestInterruptedDownloadLeavesNoPartialFile(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/content") {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half of the results") // the connection is closed after it
			return
		}
		_, _ = io.WriteString(w, `{"id":"b1","status":"completed","output_file_id":"f1"}`)
	}))
	defer server.Close()
	h := newHarness(t)
	path := h.file("results.jsonl", "earlier results")
	code, _, _ := h.run("batch", "results", "b1", "--output", path, "--entry", server.URL)
	assert.Assert(t, code != ExitOK)
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "earlier results")
	entries, err := os.ReadDir(h.dir)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
}
