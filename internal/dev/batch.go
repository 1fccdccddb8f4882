package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const batchPollInterval = 100 * time.Millisecond

type fileObject struct {
	ID string `json:"id"`
}

type batchObject struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
}

// batch runs one batch job of batchItems items and reads its results.
func (c *client) batch(ctx context.Context, w io.Writer) error {
	started := time.Now()
	file, err := c.upload(ctx)
	if err != nil {
		return err
	}
	var job batchObject
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file.ID)
	if err := c.callJSON(ctx, http.MethodPost, "/v1/batches", body, &job); err != nil {
		return err
	}
	for range batchPolls {
		if err := c.callJSON(ctx, http.MethodGet, "/v1/batches/"+job.ID, "", &job); err != nil {
			return err
		}
		if job.Status == "completed" {
			return c.batchResults(ctx, w, job, started)
		}
		select {
		case <-time.After(batchPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.Errorf("dev: batch job %s did not complete in time: status %s", job.ID, job.Status)
}

func (c *client) upload(ctx context.Context) (fileObject, error) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	_ = form.WriteField("purpose", "batch")
	part, err := form.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return fileObject{}, err
	}
	for i := range batchItems {
		text := fmt.Sprintf("summarise route %d", i)
		_, _ = fmt.Fprintf(part, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", i, chatBody(text, false))
	}
	if err := form.Close(); err != nil {
		return fileObject{}, err
	}
	out, err := c.send(ctx, http.MethodPost, "/v1/files", form.FormDataContentType(), &body)
	if err != nil {
		return fileObject{}, err
	}
	var f fileObject
	return f, errors.Wrap(json.Unmarshal(out, &f), "dev: decode the response to the file upload")
}

func (c *client) batchResults(ctx context.Context, w io.Writer, job batchObject, started time.Time) error {
	out, err := c.call(ctx, http.MethodGet, "/v1/files/"+job.OutputFileID+"/content", "")
	if err != nil {
		return err
	}
	lines := bytes.Count(out, []byte("\n"))
	if lines != batchItems {
		return errors.Errorf("dev: batch job returned %d results for %d items", lines, batchItems)
	}
	_, _ = fmt.Fprintf(w, "batch job: %d of %d results read in %s\n", lines, batchItems, time.Since(started).Round(time.Millisecond))
	return nil
}
