package batchapi_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/batch"
	"github.com/catkinrudder/catkinrudder/commitlog/commitlogtest"
	"github.com/catkinrudder/catkinrudder/errkind"
)

func TestInvalidInputReportsLineAndParam(t *testing.T) {
	f := newFixture(t, nil)
	good := `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}`
	cases := []struct{ name, content, code, param, line string }{
		{"malformed", good + "\n{oops\n", "invalid_json_line", "", "2"},
		{"duplicate", good + "\n\n" + good, "duplicate_custom_id", "custom_id", "3"},
		{"model", strings.Replace(good, `"m"`, `"x"`, 1), "model_not_found", "body.model", "1"},
		{"no model", strings.Replace(good, `{"model":"m"}`, `{}`, 1), "missing_required_parameter", "body.model", "1"},
		{"no id", strings.Replace(good, `"custom_id":"a",`, ``, 1), "missing_required_parameter", "custom_id", "1"},
		{"no body", strings.Replace(good, `,"body":{"model":"m"}`, ``, 1), "missing_required_parameter", "body", "1"},
		{"url", strings.Replace(good, `/v1/chat`, `/v2/chat`, 1), "invalid_url", "url", "1"},
		{"method", strings.Replace(good, `POST`, `GET`, 1), "invalid_method", "method", "1"},
		{"method token", strings.Replace(good, `POST`, `PO ST`, 1), "invalid_method", "method", "1"},
		{"long id", strings.Replace(good, `"a"`, `"`+strings.Repeat("a", 513)+`"`, 1), "invalid_value", "custom_id", "1"},
		{"type", strings.Replace(good, `"a"`, `7`, 1), "invalid_type", "custom_id", "1"},
		{"blank", "\n \n", "empty_file", "input_file_id", ""},
		{"long", good + "\n" + strings.Repeat("x", batch.MaxLineBytes+1), "line_too_large", "", "2"},
	}
	for _, c := range cases {
		job := f.submit(t, "a", c.content)
		job = f.wait(t, "a", job.str("id"))
		assert.Equal(t, job.str("status"), "failed", c.name)
		data := job["errors"].(map[string]any)["data"].([]any)
		e := data[0].(map[string]any)
		assert.Equal(t, e["code"], c.code, c.name)
		line := ""
		if e["line"] != nil {
			line = fmt.Sprint(e["line"])
		}
		assert.Equal(t, line, c.line, c.name)
		if c.param != "" {
			assert.Equal(t, e["param"], c.param, c.name)
		}
	}
	assert.Equal(t, f.dispatcher.runs("a"), 0, "an item of a batch that failed validation ran")
}

func TestRejectedRequests(t *testing.T) {
	f := newFixture(t, nil)
	_, file := f.upload(t, "a", "batch", lines(1))
	id := file.str("id")
	cases := []struct {
		method, path, body, ws string
		kind                   errkind.Kind
		param                  string
	}{
		{"POST", "/v1/batches", `{`, "a", errkind.BadRequest, "body"},
		{"POST", "/v1/batches", `{"input_file_id":7}`, "a", errkind.BadRequest, "input_file_id"},
		{"POST", "/v1/batches", `{}`, "a", errkind.BadRequest, "input_file_id"},
		{"POST", "/v1/batches", strings.Replace(createBody(id), "/v1/chat/completions", "/v1/x", 1), "a", errkind.BadRequest, "endpoint"},
		{"POST", "/v1/batches", strings.Replace(createBody(id), "24h", "soon", 1), "a", errkind.BadRequest, "completion_window"},
		{"POST", "/v1/batches", createBody("file-0"), "a", errkind.NotFound, "input_file_id"},
		{"POST", "/v1/batches", createBody(id), "b", errkind.NotFound, "input_file_id"},
		{"GET", "/v1/files/" + id, "", "b", errkind.NotFound, "file_id"},
		{"GET", "/v1/files/" + id + "/content", "", "b", errkind.NotFound, "file_id"},
		{"DELETE", "/v1/files/" + id, "", "b", errkind.NotFound, "file_id"},
		{"GET", "/v1/batches/batch_0", "", "a", errkind.NotFound, "batch_id"},
		{"POST", "/v1/batches/batch_0/cancel", "", "a", errkind.NotFound, "batch_id"},
		{"GET", "/v1/batches?limit=0", "", "a", errkind.BadRequest, "limit"},
		{"GET", "/v1/files?after=x", "", "a", errkind.BadRequest, "after"},
		{"POST", "/v1/files", "x", "a", errkind.BadRequest, "Content-Type"},
	}
	for _, c := range cases {
		status, o := f.json(t, c.ws, c.method, c.path, c.body)
		name := c.method + " " + c.path + " " + c.body
		assert.Equal(t, o.str("error", "kind"), string(c.kind), name)
		assert.Equal(t, o.str("error", "param"), c.param, name)
		assert.Equal(t, status, errkind.Lookup(c.kind).Status, name)
	}
	for purpose, content := range map[string]string{"": "x", "evals": "x", "batch": ""} {
		status, _ := f.upload(t, "a", purpose, content)
		assert.Equal(t, status, 400)
	}
	status, o := f.upload(t, "a", "batch", strings.Repeat("x", 5<<20))
	assert.Equal(t, status, 413)
	assert.Equal(t, o.str("error", "param"), "file")
	status, _ = f.json(t, "a", "GET", "/v1/files/"+id, "")
	assert.Equal(t, status, 200)
}

func TestIdempotencyKeys(t *testing.T) {
	f := newFixture(t, nil)
	key := []string{"Idempotency-Key", "k1"}
	_, f1 := f.upload(t, "a", "batch", lines(2), key...)
	_, f2 := f.upload(t, "a", "batch", lines(2), key...)
	assert.Equal(t, f1.str("id"), f2.str("id"))
	status, o := f.upload(t, "a", "batch", lines(3), key...)
	assert.Equal(t, status, 422)
	assert.Equal(t, o.str("error", "kind"), string(errkind.KeyReused))
	_, other := f.upload(t, "b", "batch", lines(3), key...)
	assert.Assert(t, other.str("id") != f1.str("id"))

	_, j1 := f.json(t, "a", "POST", "/v1/batches", createBody(f1.str("id")), key...)
	_, j2 := f.json(t, "a", "POST", "/v1/batches", createBody(f1.str("id")), key...)
	assert.Equal(t, j1.str("id"), j2.str("id"))
	body := strings.Replace(createBody(f1.str("id")), "24h", "12h", 1)
	status, o = f.json(t, "a", "POST", "/v1/batches", body, key...)
	assert.Equal(t, status, 422)
	assert.Equal(t, o.str("error", "kind"), string(errkind.KeyReused))
	f.wait(t, "a", j1.str("id"))
	assert.Equal(t, f.dispatcher.runs("c0"), 1)
}

func TestCancelStopsBatch(t *testing.T) {
	started := make(chan struct{}, 1000)
	f := newFixture(t, func(ctx context.Context, it batch.Item) (batch.Response, error) {
		if it.Index < 4 {
			return echo(it), nil
		}
		started <- struct{}{}
		<-ctx.Done()
		return batch.Response{}, ctx.Err()
	})
	job := f.submit(t, "a", lines(100))
	for range 4 {
		<-started
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the first four items were dispatched
		if f.dispatcher.runs("c3") > 0 {
			return poll.Success()
		}
		return poll.Continue("item c3 was not dispatched")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(waitTimeout))
	_, job = f.json(t, "a", "POST", "/v1/batches/"+job.str("id")+"/cancel", "")
	assert.Assert(t, job.str("status") == "cancelling" || job.str("status") == "cancelled", job.str("status"))
	job = f.wait(t, "a", job.str("id"))
	assert.Equal(t, job.str("status"), "cancelled")
	ran := f.dispatcher.items()
	out := f.content(t, "a", job.str("output_file_id"))
	assert.Equal(t, len(out), 4)
	status, _ := f.json(t, "a", "POST", "/v1/batches/"+job.str("id")+"/cancel", "")
	assert.Equal(t, status, 200, "cancelling again must be no error")
	assert.Equal(t, f.dispatcher.items(), ran, "an item was dispatched after the cancellation")
}

func TestFailedItems(t *testing.T) {
	f := newFixture(t, func(_ context.Context, it batch.Item) (batch.Response, error) {
		switch it.Index {
		case 1:
			return batch.Response{Status: 400, Body: []byte(`{"error":{"message":"bad"}}`)}, nil
		case 2:
			return batch.Response{}, errkind.New(errkind.BackendFailed, "broken")
		case 3:
			return batch.Response{}, &batch.BackendLostError{Backend: "w"}
		case 4:
			return batch.Response{}, errkind.New(errkind.OutcomeUnknown, "lost")
		case 5:
			if it.ResumeTokens == 0 {
				return batch.Response{}, &batch.PreemptedError{ResumeText: "par", ResumeTokens: 3}
			}
			return batch.Response{Status: 200, Body: []byte(`{"text":"` + it.ResumeText + `tial"}`)}, nil
		case 6:
			if it.Try == 1 {
				return batch.Response{}, errkind.New(errkind.BackendFailed, "once")
			}
		}
		return echo(it), nil
	})
	job := f.submit(t, "a", lines(8))
	job = f.wait(t, "a", job.str("id"))
	assert.Equal(t, job.str("status"), "completed")
	out, failed := f.content(t, "a", job.str("output_file_id")), f.content(t, "a", job.str("error_file_id"))
	var ids, errs []string
	for _, o := range out {
		ids = append(ids, o.str("custom_id"))
	}
	for _, o := range failed {
		errs = append(errs, o.str("custom_id")+" "+o.str("error", "code"))
	}
	assert.DeepEqual(t, ids, []string{"c0", "c5", "c6", "c7"})
	assert.DeepEqual(t, errs, []string{"c1 ", "c2 backend_failed", "c3 backend_failed", "c4 outcome_unknown"})
	assert.Equal(t, out[1].str("response", "body", "text"), "partial")
	runs := []int{1, 1, 2, 3, 1, 2, 2, 1}
	for i, n := range runs {
		assert.Equal(t, f.dispatcher.runs(fmt.Sprint("c", i)), n, "item %d", i)
	}
}

func TestLogOutage(t *testing.T) {
	f := newFixture(t, nil)
	_, file := f.upload(t, "a", "batch", lines(10))
	f.log.SetDown(true)
	status, o := f.json(t, "a", "POST", "/v1/batches", createBody(file.str("id")))
	assert.Equal(t, status, 504, "the batch may have been created")
	assert.Equal(t, o.str("error", "kind"), string(errkind.LogUnavailable))
	assert.Equal(t, o.str("error", "outcome"), string(errkind.Unknown))
	f.log.SetDown(false)
	// Some appends lose their response after they took effect, some are dropped and
	// some are applied late.
	n := 0
	f.log.OnAppend(func(string, []byte) commitlogtest.Fault {
		n++
		return []commitlogtest.Fault{commitlogtest.None, commitlogtest.DropResponse, commitlogtest.Drop, commitlogtest.ApplyLate}[n%4]
	})
	job := f.submit(t, "a", lines(200))
	job = f.wait(t, "a", job.str("id"))
	f.log.Flush()
	assert.Equal(t, job.str("status"), "completed")
	assert.Equal(t, len(f.content(t, "a", job.str("output_file_id"))), 200)
	for i := range 200 {
		// The outage may have left an unconfirmed batch, which runs its
		// own ten items.
		assert.Assert(t, f.dispatcher.runs(fmt.Sprint("c", i)) <= 2)
	}
}

func TestOpenAIClient(t *testing.T) {
	f := newFixture(t, nil)
	client := openai.NewClient(option.WithBaseURL(f.url+"/v1/"), option.WithAPIKey("a"), option.WithMaxRetries(0))
	ctx := context.Background()
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File: openai.File(strings.NewReader(lines(30)), "in.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	assert.NilError(t, err)
	assert.Equal(t, file.Bytes, int64(len(lines(30))))
	job, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h, Metadata: map[string]string{"lot": "7"},
	})
	assert.NilError(t, err)
	f.wait(t, "a", job.ID)
	job, err = client.Batches.Get(ctx, job.ID)
	assert.NilError(t, err)
	assert.Equal(t, job.Status, openai.BatchStatusCompleted)
	assert.Equal(t, job.RequestCounts.Completed, int64(30))
	assert.Equal(t, job.Metadata["lot"], "7")
	resp, err := client.Files.Content(ctx, job.OutputFileID)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.ContentLength, f.size(t, job.OutputFileID))
	jobs := client.Batches.ListAutoPaging(ctx, openai.BatchListParams{Limit: openai.Int(1)})
	for n := range 2 {
		assert.Equal(t, jobs.Next(), n == 0)
	}
	assert.NilError(t, jobs.Err())
	files := client.Files.ListAutoPaging(ctx, openai.FileListParams{Limit: openai.Int(1)})
	var ids []string
	for files.Next() {
		ids = append(ids, files.Current().ID)
	}
	assert.NilError(t, files.Err())
	assert.DeepEqual(t, ids, []string{job.OutputFileID, file.ID})
	deleted, err := client.Files.Delete(ctx, file.ID)
	assert.NilError(t, err)
	assert.Assert(t, deleted.Deleted)
	_, err = client.Files.Get(ctx, file.ID)
	assert.ErrorContains(t, err, "404")
}

func (f *fixture) size(t *testing.T, id string) int64 {
	_, o := f.json(t, "a", "GET", "/v1/files/"+id, "")
	return int64(o["bytes"].(float64))
}

func TestPlainService(t *testing.T) {
	f := newFixture(t, func(_ context.Context, it batch.Item) (batch.Response, error) {
		body := fmt.Sprintf("%s %s %s %s", it.Service, it.Method, it.Path, it.Body)
		return batch.Response{Status: 201, Body: []byte(body)}, nil
	})
	_, file := f.upload(t, "a", "batch", `{"custom_id":"x","method":"PUT","url":"/services/book/slots/7?day=2","body":{"at":9}}`+"\n"+
		`{"custom_id":"y","method":"GET","url":"/services/book/slots"}`)
	body := strings.Replace(createBody(file.str("id")), "/v1/chat/completions", "/services/book/slots", 1)
	_, job := f.json(t, "a", "POST", "/v1/batches", body)
	job = f.wait(t, "a", job.str("id"))
	assert.Equal(t, job.str("status"), "completed", "%v", job)
	out := f.content(t, "a", job.str("output_file_id"))
	assert.Equal(t, out[0].str("response", "body"), `book PUT /services/book/slots/7?day=2 {"at":9}`)
	assert.Equal(t, out[1].str("response", "body"), "book GET /services/book/slots ")

	body = strings.Replace(createBody(file.str("id")), "/v1/chat/completions", "/services/ghost/slots", 1)
	_, job = f.json(t, "a", "POST", "/v1/batches", body)
	job = f.wait(t, "a", job.str("id"))
	assert.Equal(t, job.str("status"), "failed")
}

// TestTruncatedUpload closes the sending side of the connection in the middle
// of a file: the upload must be rejected and no file stored.
func TestTruncatedUpload(t *testing.T) {
	f := newFixture(t, nil)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	part := "--b\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n" +
		"--b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"x\"\r\n\r\n" + lines(3)
	_, err = fmt.Fprintf(conn, "POST /v1/files HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer a\r\n"+
		"Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 100000\r\n\r\n%s", part)
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	response, _ := io.ReadAll(conn)
	assert.Assert(t, !strings.Contains(string(response), " 200 "), "%s", response)
	_, files := f.json(t, "a", "GET", "/v1/files", "")
	assert.Equal(t, len(files["data"].([]any)), 0)
}
