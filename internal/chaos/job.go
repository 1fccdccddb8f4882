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
	// submitTimeout bounds how long a client goes on submitting.
	submitTimeout = 30 * time.Second
	submitRetry   = 100 * time.Millisecond
	jobTimeout    = 60 * time.Second
	jobPoll       = 100 * time.Millisecond
)

// Job is a batch job as the API shows it.
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

type fileObject struct {
	ID string `json:"id"`
}

func (j Job) ended() bool {
	return j.Status == "completed" || j.Status == "cancelled" || j.Status == "failed" || j.Status == "expired"
}

// endpoint is what every item of a job calls.
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

// itemPrompt is the prompt of one item of a job.
func itemPrompt(op Op, i int) string {
	p := prompt(itemID(op, i))
	if word, ok := op.Poison[i]; ok {
		return p + " " + word
	}
	return p
}

// batch submits a job as an anxious client does: again and again under one key
// until it is acknowledged, and once more after that.
func (r *Round) batch(ctx context.Context, op Op) {
	rec := JobRecord{Op: op}
	defer func() { r.history.add(func(h *History) { h.Jobs = append(h.Jobs, rec) }) }()
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
	r.trespass(ctx, op, file, id)
	r.submit(ctx, op, file, &rec)
	if op.CancelAfter > 0 {
		delay.Wait(ctx, op.CancelAfter)
		r.cancelJob(ctx, op, id, &rec)
	}
	r.awaitJob(ctx, op, id, &rec)
}

// until repeats a request at one entry after the other until it is answered
// with one of the statuses.
func (r *Round) until(ctx context.Context, q request, statuses ...int) (answer, bool) {
	for end := time.Now().Add(submitTimeout); time.Now().Before(end) && ctx.Err() == nil; delay.Wait(ctx, submitRetry) {
		a := r.do(ctx, q)
		for _, s := range statuses {
			if a.status == s && a.err == nil {
				return a, true
			}
		}
		q.salt++
	}
	return answer{}, false
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
		workspace: op.Workspace, key: op.ID, salt: saltOf(op.ID),
	}
	a, ok := r.until(ctx, q, http.StatusOK)
	var f fileObject
	return f.idOf(a.body), ok
}

func (f fileObject) idOf(body string) string {
	_ = json.Unmarshal([]byte(body), &f)
	return f.ID
}

func (r *Round) jobRequest(op Op, file string) request {
	return request{
		method: http.MethodPost, path: "/v1/batches", workspace: op.Workspace, key: op.ID, salt: saltOf(op.ID),
		body: fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":"1h"}`, file, op.endpoint()),
	}
}

// submit creates the job and keeps the id it was given.
func (r *Round) submit(ctx context.Context, op Op, file string, rec *JobRecord) (string, bool) {
	q := r.jobRequest(op, file)
	q.salt += len(rec.IDs)
	a, ok := r.until(ctx, q, http.StatusOK)
	if !ok {
		return "", false
	}
	if rec.Acked.IsZero() {
		rec.Acked = time.Now()
		r.strike(op, a.via)
	}
	id := fileObject{}.idOf(a.body)
	rec.IDs = append(rec.IDs, id)
	return id, true
}

func (r *Round) cancelJob(ctx context.Context, op Op, id string, rec *JobRecord) {
	q := request{method: http.MethodPost, path: "/v1/batches/" + id + "/cancel", workspace: op.Workspace, salt: saltOf(id)}
	a, ok := r.until(ctx, q, http.StatusOK, http.StatusConflict)
	switch {
	case !ok:
		rec.Err = "the cancel was not acknowledged"
	case a.status == http.StatusConflict:
		rec.CancelRefused = true
	default:
		rec.CancelAcked = time.Now()
	}
}

// awaitJob waits for the job's end and reads its results at every entry, once
// the faults have ended.
func (r *Round) awaitJob(ctx context.Context, op Op, id string, rec *JobRecord) {
	if !await(ctx, r.healed) {
		return
	}
	q := request{method: http.MethodGet, path: "/v1/batches/" + id, workspace: op.Workspace}
	for end := time.Now().Add(jobTimeout); time.Now().Before(end) && ctx.Err() == nil; delay.Wait(ctx, jobPoll) {
		a := r.do(ctx, q)
		if a.status == http.StatusOK {
			_ = json.Unmarshal([]byte(a.body), &rec.Final)
		}
		if rec.Final.ended() {
			break
		}
	}
	if !rec.Final.ended() {
		rec.Err = fmt.Sprintf("the job is %q after %s", rec.Final.Status, jobTimeout)
		return
	}
	if !await(ctx, r.aged) {
		return
	}
	for salt := range entries {
		rec.Outputs = append(rec.Outputs, Output{
			Results: r.content(ctx, op, rec.Final.OutputFileID, salt),
			Errors:  r.content(ctx, op, rec.Final.ErrorFileID, salt),
		})
	}
}

func (r *Round) content(ctx context.Context, op Op, file string, salt int) string {
	if file == "" {
		return ""
	}
	q := request{method: http.MethodGet, path: "/v1/files/" + file + "/content", workspace: op.Workspace, salt: salt}
	a, ok := r.until(ctx, q, http.StatusOK)
	if !ok {
		return "not readable"
	}
	return a.body
}

// trespass tries to use a job and a file from the other workspace.
func (r *Round) trespass(ctx context.Context, op Op, file, id string) {
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
		q.workspace, q.salt = other, saltOf(q.path)
		a := r.do(ctx, q)
		list := q.path == "/v1/batches" || q.path == "/v1/files"
		f := Foreign{What: q.method + " " + q.path, Status: a.status}
		if list && !strings.Contains(a.body, id) && !strings.Contains(a.body, file) {
			f.Status = http.StatusNotFound
		}
		r.history.add(func(h *History) { h.Foreign = append(h.Foreign, f) })
	}
}
