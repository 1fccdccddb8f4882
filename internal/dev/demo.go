package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	readyTries      = 200
	readyRetryDelay = 50 * time.Millisecond
	batchItems      = 100
	batchPolls      = 600
)

// Demonstrate runs the deployment, sends it one online request, one request to a
// plain service and one batch job, and prints the results to w. It then returns if
// once is set, and otherwise serves until ctx is done.
func (d *Deployment) Demonstrate(ctx context.Context, w io.Writer, once bool) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	c := &client{base: "http://" + d.Listen}
	err := c.run(ctx, w)
	if err == nil {
		d.printUsage(w)
	}
	if once || err != nil {
		stop()
	}
	if runErr := <-done; err == nil {
		err = runErr
	}
	return err
}

func (d *Deployment) printUsage(w io.Writer) {
	_, _ = fmt.Fprintf(w, `
callers    http://%[1]s     operators  http://%[2]s     log service  %[3]s
try        curl -N http://%[1]s/v1/chat/completions -H 'Content-Type: application/json' \
             -d '{"model":"%[4]s","stream":true,"messages":[{"role":"user","content":"hello there"}]}'
`, d.Listen, d.Operators, d.Log, ModelName)
}

// client sends the demonstration's requests.
type client struct{ base string }

func (c *client) run(ctx context.Context, w io.Writer) error {
	if err := c.waitReady(ctx); err != nil {
		return err
	}
	steps := []func(context.Context, io.Writer) error{c.online, c.plain, c.batch}
	for _, step := range steps {
		if err := step(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// waitReady blocks until an online request succeeds. It returns an error after
// readyTries failed requests.
func (c *client) waitReady(ctx context.Context) error {
	var err error
	for range readyTries {
		_, err = c.call(ctx, http.MethodPost, "/v1/chat/completions", chatBody("ready", false))
		if err == nil {
			return nil
		}
		select {
		case <-time.After(readyRetryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.Wrap(err, "dev: deployment did not become ready")
}

func chatBody(text string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":8,"messages":[{"role":"user","content":%q}]}`, ModelName, stream, text)
}

func (c *client) online(ctx context.Context, w io.Writer) error {
	started := time.Now()
	body, err := c.call(ctx, http.MethodPost, "/v1/chat/completions", chatBody("when can you tune my piano", true))
	if err != nil {
		return err
	}
	if !bytes.Contains(body, []byte("[DONE]")) {
		return errors.New("dev: streamed response has no [DONE] event")
	}
	events := bytes.Count(body, []byte("data:"))
	_, _ = fmt.Fprintf(w, "online request: %d events streamed, complete, in %s\n", events, time.Since(started).Round(time.Millisecond))
	return nil
}

func (c *client) plain(ctx context.Context, w io.Writer) error {
	body, err := c.call(ctx, http.MethodGet, "/services/"+PlainService+"/tuners/42", "")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "plain service: %s\n", bytes.TrimSpace(body))
	return nil
}

func (c *client) call(ctx context.Context, method, path, body string) ([]byte, error) {
	return c.send(ctx, method, path, "application/json", strings.NewReader(body))
}

func (c *client) send(ctx context.Context, method, path, contentType string, body io.Reader) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", contentType)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, out)
	}
	return out, nil
}

func (c *client) callJSON(ctx context.Context, method, path, body string, out any) error {
	b, err := c.call(ctx, method, path, body)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(b, out), path)
}
