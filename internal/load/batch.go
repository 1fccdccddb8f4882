package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
)

// Batch is a batch job as the OpenAI-compatible API returns it.
type Batch struct {
	ID            string        `json:"id"`
	Status        string        `json:"status"`
	Endpoint      string        `json:"endpoint"`
	InputFileID   string        `json:"input_file_id"`
	OutputFileID  string        `json:"output_file_id,omitempty"`
	ErrorFileID   string        `json:"error_file_id,omitempty"`
	CreatedAt     int64         `json:"created_at"`
	RequestCounts RequestCounts `json:"request_counts"`
	// Workspace is set only in responses to operators.
	Workspace string `json:"workspace,omitempty"`
}

// RequestCounts counts the items of a batch job.
type RequestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Finished reports whether the job has reached a final status.
func (b Batch) Finished() bool {
	switch b.Status {
	case "completed", "failed", "expired", "cancelled":
		return true
	}
	return false
}

// SubmitOptions configure a new batch job.
type SubmitOptions struct {
	// Endpoint is the API path that each line of the input file requests.
	Endpoint string
	// Window is the completion window, like "24h".
	Window string
	// IdempotencyKey makes a repeated submission return the same job.
	IdempotencyKey string
}

// Upload stores a batch input file and returns its ID.
func (c *Client) Upload(ctx context.Context, name string, content []byte, key string) (string, error) {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	if err := w.WriteField("purpose", "batch"); err != nil {
		return "", errors.Wrap(err, "upload")
	}
	part, err := w.CreateFormFile("file", name)
	if err != nil {
		return "", errors.Wrap(err, "upload")
	}
	_, _ = part.Write(content) // writes to a bytes.Buffer never fail
	if err := w.Close(); err != nil {
		return "", errors.Wrap(err, "upload")
	}
	var file struct {
		ID string `json:"id"`
	}
	r := Request{Method: http.MethodPost, Path: "/v1/files", ContentType: w.FormDataContentType(), Body: &form, IdempotencyKey: key}
	err = c.JSON(ctx, r, nil, &file)
	return file.ID, err
}

// CreateBatch creates a batch job from an uploaded file.
func (c *Client) CreateBatch(ctx context.Context, fileID string, o SubmitOptions) (Batch, error) {
	in := struct {
		InputFileID      string `json:"input_file_id"`
		Endpoint         string `json:"endpoint"`
		CompletionWindow string `json:"completion_window"`
	}{fileID, o.Endpoint, o.Window}
	var b Batch
	err := c.JSON(ctx, Request{Method: http.MethodPost, Path: "/v1/batches", IdempotencyKey: o.IdempotencyKey}, in, &b)
	return b, err
}

// GetBatch returns a batch job.
func (c *Client) GetBatch(ctx context.Context, id string) (Batch, error) {
	var b Batch
	err := c.JSON(ctx, Request{Method: http.MethodGet, Path: "/v1/batches/" + url.PathEscape(id)}, nil, &b)
	return b, err
}

// CancelBatch cancels a batch job.
func (c *Client) CancelBatch(ctx context.Context, id string) (Batch, error) {
	var b Batch
	err := c.JSON(ctx, Request{Method: http.MethodPost, Path: "/v1/batches/" + url.PathEscape(id) + "/cancel"}, nil, &b)
	return b, err
}

// CopyFile writes the content of a file to w.
func (c *Client) CopyFile(ctx context.Context, w io.Writer, id string) error {
	resp, err := c.Do(ctx, Request{Method: http.MethodGet, Path: "/v1/files/" + url.PathEscape(id) + "/content"})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(w, resp.Body)
	return errors.Wrap(err, "read file")
}

// batchLine is one line of a batch input file.
type batchLine struct {
	CustomID string      `json:"custom_id"`
	Method   string      `json:"method"`
	URL      string      `json:"url"`
	Body     ChatRequest `json:"body"`
}

// resultLine is one line of a batch output or error file.
type resultLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int `json:"status_code"`
		Body       struct {
			Choices []struct {
				Message      Message `json:"message"`
				FinishReason string  `json:"finish_reason"`
			} `json:"choices"`
		} `json:"body"`
	} `json:"response"`
	Error *APIError `json:"error"`
}

// results reads the output and error files of a finished job.
func (c *Client) results(ctx context.Context, b Batch) ([]resultLine, error) {
	var lines []resultLine
	for _, id := range []string{b.OutputFileID, b.ErrorFileID} {
		if id == "" {
			continue
		}
		var raw bytes.Buffer
		if err := c.CopyFile(ctx, &raw, id); err != nil {
			return nil, err
		}
		more, err := parseResults(&raw)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// parseResults parses an output or error file, which has one JSON object per line.
func parseResults(r io.Reader) ([]resultLine, error) {
	var lines []resultLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		var l resultLine
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return nil, errors.Wrapf(err, "result line %d", len(lines)+1)
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrap(s.Err(), "read results")
}
