package batchapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/batch"
	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/commitlog/commitlogtest"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/entry/batchapi"
)

// services is a fixed desired state: model "m" and plain service "book".
type services struct{}

func (services) ServiceForModel(m string) (string, bool) { return "assistant", m == "m" }
func (services) HasService(n string) bool                { return n == "book" }
func (services) MaxTries(string) int                     { return 2 }
func (services) ResultRetention(string) time.Duration    { return time.Hour }

// fakeDispatcher echoes the item's custom id by default and counts executions.
type fakeDispatcher struct {
	mu        sync.Mutex
	runCounts map[string]int
	respond   func(ctx context.Context, it batch.Item) (batch.Response, error)
}

func (d *fakeDispatcher) FreeSlots(string) int { return 32 }

func (d *fakeDispatcher) Dispatch(ctx context.Context, it batch.Item) (batch.Response, error) {
	d.mu.Lock()
	d.runCounts[it.CustomID]++
	d.mu.Unlock()
	if d.respond != nil {
		return d.respond(ctx, it)
	}
	return echo(it), nil
}

func echo(it batch.Item) batch.Response {
	return batch.Response{Status: 200, RequestID: it.Attempt, Body: []byte(fmt.Sprintf(`{"echo":%q}`, it.CustomID))}
}

func (d *fakeDispatcher) runs(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runCounts[id]
}

// items returns how many distinct items were dispatched.
func (d *fakeDispatcher) items() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.runCounts)
}

type fixture struct {
	url        string
	log        *commitlogtest.MemLog
	dispatcher *fakeDispatcher
}

// newFixture serves the API over an in-memory log with one batch runner. The
// bearer key is the workspace's name.
func newFixture(t *testing.T, dispatch func(context.Context, batch.Item) (batch.Response, error)) *fixture {
	t.Helper()
	f := &fixture{log: commitlogtest.NewMemLog(), dispatcher: &fakeDispatcher{runCounts: make(map[string]int), respond: dispatch}}
	logger := log.New(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var shards batch.Shards
	for i := range 2 {
		table := batch.NewTable()
		stream := commitlog.NewStream(f.log, batch.StreamName(i), commitlog.Options{
			Writer: "w1", Fold: table, Logger: logger, Interval: time.Millisecond,
		})
		shards = append(shards, batch.Shard{ID: i, Stream: stream, Table: table})
		wg.Go(func() { stream.Run(ctx) })
	}
	runner := batch.NewRunner(batch.RunnerOptions{
		Incarnation: "w1", Shards: shards, Dispatcher: f.dispatcher, Services: services{},
		Owner: func(int) bool { return true }, Logger: logger,
	})
	wg.Go(func() { runner.Run(ctx) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := server.New(server.WithListener(ln), server.WithTransport(standard.NewTransporter),
		server.WithStreamBody(true), server.WithMaxRequestBodySize(64<<20), server.WithExitWaitTime(0))
	batchapi.Register(h, batchapi.Deps{
		Shards: shards, WriteError: writeError, MaxFileBytes: 4 << 20, CommitTimeout: 2 * time.Second,
		Workspace: func(rc *app.RequestContext) (string, error) {
			ws, ok := strings.CutPrefix(string(rc.GetHeader("Authorization")), "Bearer ")
			if !ok {
				return "", errkind.New(errkind.Unauthorized, "no key")
			}
			return ws, nil
		},
	})
	go func() { _ = h.Run() }()
	f.url = "http://" + ln.Addr().String()
	t.Cleanup(func() {
		_ = h.Close()
		cancel()
		wg.Wait()
	})
	return f
}

func writeError(rc *app.RequestContext, err error) {
	e := errkind.From(err)
	r := e.Response()
	b, _ := json.Marshal(map[string]any{"error": map[string]any{
		"message": e.Message, "type": r.Type, "param": e.Param, "code": e.Kind, "kind": e.Kind, "outcome": r.Outcome,
	}})
	rc.Data(r.Status, "application/json", b)
}

type object map[string]any

func (o object) str(keys ...string) string {
	var v any = map[string]any(o)
	for _, k := range keys {
		m, ok := v.(map[string]any)
		if !ok {
			return ""
		}
		v = m[k]
	}
	s, _ := v.(string)
	return s
}

func (f *fixture) do(t *testing.T, ws, method, path string, body io.Reader, header ...string) (int, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, f.url+path, body)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+ws)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, b
}

func (f *fixture) json(t *testing.T, ws, method, path, body string, header ...string) (int, object) {
	t.Helper()
	status, b := f.do(t, ws, method, path, strings.NewReader(body), header...)
	var o object
	assert.NilError(t, json.Unmarshal(b, &o), "%s", b)
	return status, o
}

func (f *fixture) upload(t *testing.T, ws, purpose, content string, header ...string) (int, object) {
	t.Helper()
	var buf bytes.Buffer
	mw := multipart.NewWriter(&buf)
	assert.NilError(t, mw.WriteField("purpose", purpose))
	w, err := mw.CreateFormFile("file", "in.jsonl")
	assert.NilError(t, err)
	_, err = io.WriteString(w, content)
	assert.NilError(t, err)
	assert.NilError(t, mw.Close())
	status, b := f.do(t, ws, "POST", "/v1/files", &buf, append(header, "Content-Type", mw.FormDataContentType())...)
	var o object
	assert.NilError(t, json.Unmarshal(b, &o), "%s", b)
	return status, o
}

func TestLongFormFieldIsRejected(t *testing.T) {
	f := newFixture(t, nil)
	var buf bytes.Buffer
	mw := multipart.NewWriter(&buf)
	assert.NilError(t, mw.WriteField("note", strings.Repeat("x", 5000)))
	assert.NilError(t, mw.WriteField("purpose", "batch"))
	w, err := mw.CreateFormFile("file", "in.jsonl")
	assert.NilError(t, err)
	_, err = io.WriteString(w, lines(1))
	assert.NilError(t, err)
	assert.NilError(t, mw.Close())
	status, body := f.do(t, "a", "POST", "/v1/files", &buf, "Content-Type", mw.FormDataContentType())
	assert.Equal(t, status, http.StatusRequestEntityTooLarge, "%s", body)
}

func createBody(file string) string {
	return fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h","metadata":{"lot":"7"}}`, file)
}

func lines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"c%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[]}}`+"\n", i)
	}
	return b.String()
}

// submit uploads content and creates a batch with it as input.
func (f *fixture) submit(t *testing.T, ws, content string) object {
	t.Helper()
	status, file := f.upload(t, ws, "batch", content)
	assert.Equal(t, status, 200, "%v", file)
	status, job := f.json(t, ws, "POST", "/v1/batches", createBody(file.str("id")))
	assert.Equal(t, status, 200, "%v", job)
	return job
}

// waitTimeout limits a wait. On a slow machine a wait takes longer, with no other effect.
const waitTimeout = 60 * time.Second

// wait polls until the batch is in a terminal state.
func (f *fixture) wait(t *testing.T, ws, id string) object {
	t.Helper()
	var job object
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, job = f.json(t, ws, "GET", "/v1/batches/"+id, "")
		if batch.Status(job.str("status")).Terminal() {
			return poll.Success()
		}
		return poll.Continue("batch %s is %s", id, job.str("status"))
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(waitTimeout))
	return job
}

func (f *fixture) content(t *testing.T, ws, id string) []object {
	t.Helper()
	status, b := f.do(t, ws, "GET", "/v1/files/"+id+"/content", nil)
	assert.Equal(t, status, 200, "%s", b)
	var out []object
	for _, l := range bytes.Split(bytes.TrimSpace(b), []byte("\n")) {
		var o object
		assert.NilError(t, json.Unmarshal(l, &o))
		out = append(out, o)
	}
	return out
}

func TestBatchEndToEnd(t *testing.T) {
	f := newFixture(t, nil)
	const n = 1000
	job := f.submit(t, "a", lines(n))
	job = f.wait(t, "a", job.str("id"))
	assert.Equal(t, job.str("status"), "completed")
	counts := job["request_counts"].(map[string]any)
	assert.DeepEqual(t, counts, map[string]any{"total": float64(n), "completed": float64(n), "failed": 0.0})
	out := f.content(t, "a", job.str("output_file_id"))
	assert.Equal(t, len(out), n)
	for i, o := range out {
		want := fmt.Sprintf("c%d", i)
		assert.Equal(t, o.str("custom_id"), want)
		assert.Equal(t, o.str("response", "body", "echo"), want)
		assert.Equal(t, f.dispatcher.runs(want), 1)
	}
	assert.Equal(t, job["error_file_id"], nil)
}
