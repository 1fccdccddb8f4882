package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/delay"
)

const (
	// submitTimeout bounds how long a client retries a submission.
	submitTimeout       = 30 * time.Second
	submitRetryInterval = 100 * time.Millisecond
	jobTimeout          = 60 * time.Second
	jobPollInterval     = 100 * time.Millisecond
)

// Job is a batch job as the API returns it.
type Job struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
	ErrorFileID  string `json:"error_file_id"`
	Counts       struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// apiObject is a file, a job or a stored chat as the API returns it.
type apiObject struct {
	ID string `json:"id"`
}

func (j Job) ended() bool {
	return j.Status == "completed" || j.Status == "cancelled" || j.Status == "failed" || j.Status == "expired"
}

// endpoint returns the endpoint that every item of a job calls.
func (op Op) endpoint() string {
	if op.Calls {
		return "/services/" + plainService + callPath
	}
	return chatPath
}

func (op Op) itemURL() string {
	if op.Calls && op.Delay > 0 {
		return fmt.Sprintf("%s?delay_ms=%d", op.endpoint(), op.Delay.Milliseconds())
	}
	return op.endpoint()
}

func itemID(op Op, i int) string { return fmt.Sprintf("%s-i%d", op.ID, i) }

// itemPrompt returns the prompt of an item of a job.
func itemPrompt(op Op, i int) string {
	p := prompt(itemID(op, i))
	if word, ok := op.Poison[i]; ok {
		return p + " " + word
	}
	return p
}

// runBatch submits a job repeatedly under one key until it is acknowledged, and once
// more after that, as a client does that is not sure of the acknowledgement.
func (r *Round) runBatch(ctx context.Context, op Op) {
	rec := JobRecord{Op: op}
	defer func() { r.history.update(func(h *History) { h.Jobs = append(h.Jobs, rec) }) }()
	file, ok := r.upload(ctx, op)
	if !ok {
		rec.Err = "the upload was not acknowledged"
		return
	}
	id, ok := r.submit(ctx, op, file, &rec)
	if !ok {
		rec.Err = "the job was not acknowledged"
		return
	}
	r.probeCrossWorkspace(ctx, op, file, id)
	r.submit(ctx, op, file, &rec)
	if op.CancelAfter > 0 {
		delay.Wait(ctx, op.CancelAfter)
		r.cancelJob(ctx, op, id, &rec)
	}
	r.awaitJob(ctx, op, id, &rec)
}

// retryUntil repeats a request at one entry after the other until its response has one
// of the statuses.
func (r *Round) retryUntil(ctx context.Context, q request, statuses ...int) (response, bool) {
	for end := time.Now().Add(submitTimeout); time.Now().Before(end) && ctx.Err() == nil; delay.Wait(ctx, submitRetryInterval) {
		got := r.do(ctx, q)
		for _, s := range statuses {
			if got.status == s && got.err == nil {
				return got, true
			}
		}
		q.entryIndex++
	}
	return response{}, false
}

func (r *Round) upload(ctx context.Context, op Op) (string, bool) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	_ = form.WriteField("purpose", "batch")
	part, err := form.CreateFormFile("file", op.ID+".jsonl")
	if err != nil {
		return "", false
	}
	for i := range op.Items {
		body := chatBody(itemPrompt(op, i), op.Tokens, false)
		if op.Calls {
			body = strconv.Quote(itemID(op, i))
		}
		_, _ = fmt.Fprintf(part, `{"custom_id":"i%d","method":"POST","url":%q,"body":%s}`+"\n", i, op.itemURL(), body)
	}
	_ = form.Close()
	q := request{
		method: http.MethodPost, path: "/v1/files", body: body.String(), contentType: form.FormDataContentType(),
		workspace: op.Workspace, key: op.ID, entryIndex: entryIndexOf(op.ID),
	}
	got, ok := r.retryUntil(ctx, q, http.StatusOK)
	var f apiObject
	return f.idOf(got.body), ok
}

// idOf returns the id of the object in a response body, or an empty string.
func (o apiObject) idOf(body string) string {
	_ = json.Unmarshal([]byte(body), &o)
	return o.ID
}

func (r *Round) jobRequest(op Op, file string) request {
	return request{
		method: http.MethodPost, path: "/v1/batches", workspace: op.Workspace, key: op.ID, entryIndex: entryIndexOf(op.ID),
		body: fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":"1h"}`, file, op.endpoint()),
	}
}

// submit creates the job and records the id that was returned.
func (r *Round) submit(ctx context.Context, op Op, file string, rec *JobRecord) (string, bool) {
	q := r.jobRequest(op, file)
	q.entryIndex += len(rec.IDs)
	got, ok := r.retryUntil(ctx, q, http.StatusOK)
	if !ok {
		return "", false
	}
	if rec.Acked.IsZero() {
		rec.Acked = time.Now()
		r.injectStrike(op, got.entry)
	}
	id := apiObject{}.idOf(got.body)
	rec.IDs = append(rec.IDs, id)
	return id, true
}

func (r *Round) cancelJob(ctx context.Context, op Op, id string, rec *JobRecord) {
	q := request{method: http.MethodPost, path: "/v1/batches/" + id + "/cancel", workspace: op.Workspace, entryIndex: entryIndexOf(id)}
	got, ok := r.retryUntil(ctx, q, http.StatusOK, http.StatusConflict)
	switch {
	case !ok:
		rec.Err = "the cancel was not acknowledged"
	case got.status == http.StatusConflict:
		rec.CancelRefused = true
	default:
		rec.CancelAcked = time.Now()
	}
}

// awaitJob waits for the end of the faults and of the job, and then reads the job's
// results at every entry.
func (r *Round) awaitJob(ctx context.Context, op Op, id string, rec *JobRecord) {
	if !awaitPhase(ctx, r.faultsEnded) {
		return
	}
	q := request{method: http.MethodGet, path: "/v1/batches/" + id, workspace: op.Workspace}
	for end := time.Now().Add(jobTimeout); time.Now().Before(end) && ctx.Err() == nil; delay.Wait(ctx, jobPollInterval) {
		got := r.do(ctx, q)
		if got.status == http.StatusOK {
			_ = json.Unmarshal([]byte(got.body), &rec.Final)
		}
		if rec.Final.ended() {
			break
		}
	}
	if !rec.Final.ended() {
		rec.Err = fmt.Sprintf("the job has status %q after %s", rec.Final.Status, jobTimeout)
		return
	}
	if !awaitPhase(ctx, r.expired) {
		return
	}
	for index := range entries {
		rec.Outputs = append(rec.Outputs, Output{
			Results: r.readFile(ctx, op, rec.Final.OutputFileID, index),
			Errors:  r.readFile(ctx, op, rec.Final.ErrorFileID, index),
		})
	}
}

func (r *Round) readFile(ctx context.Context, op Op, file string, index int) string {
	if file == "" {
		return ""
	}
	q := request{method: http.MethodGet, path: "/v1/files/" + file + "/content", workspace: op.Workspace, entryIndex: index}
	got, ok := r.retryUntil(ctx, q, http.StatusOK)
	if !ok {
		return "not readable"
	}
	return got.body
}

// probeCrossWorkspace tries to access a job and a file from the other workspace.
func (r *Round) probeCrossWorkspace(ctx context.Context, op Op, file, id string) {
	other := (op.Workspace + 1) % len(workspaces)
	for _, q := range []request{
		{method: http.MethodGet, path: "/v1/batches/" + id},
		{method: http.MethodPost, path: "/v1/batches/" + id + "/cancel"},
		{method: http.MethodGet, path: "/v1/files/" + file},
		{method: http.MethodGet, path: "/v1/files/" + file + "/content"},
		{method: http.MethodDelete, path: "/v1/files/" + file},
		{method: http.MethodGet, path: "/v1/batches"},
		{method: http.MethodGet, path: "/v1/files"},
	} {
		q.workspace, q.entryIndex = other, entryIndexOf(q.path)
		got := r.do(ctx, q)
		list := q.path == "/v1/batches" || q.path == "/v1/files"
		f := CrossAccess{Request: q.method + " " + q.path, Status: got.status}
		if list && !strings.Contains(got.body, id) && !strings.Contains(got.body, file) {
			f.Status = http.StatusNotFound
		}
		r.history.update(func(h *History) { h.CrossAccesses = append(h.CrossAccesses, f) })
	}
}
