// Package load generates open-loop load against the entries: requests start at
// their planned times regardless of how slow the responses are, and latency is
// measured from the planned start. It uses net/http, because hertz's client
// can't be cancelled while it waits for a response header and because the
// arrival times of single stream events are needed.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/bounded"
)

const (
	maxErrorBodyBytes   = 64 << 10
	maxHeadBytes        = 64 << 10
	maxBodyBytes        = 64 << 20
	maxIdleConnsPerHost = 1024
	idleConnTimeout     = 90 * time.Second
)

// APIError is an error response of an entry.
type APIError struct {
	Status  int    `json:"status"`
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	// Kind and Outcome classify the error as package errkind does. They are empty
	// if the response doesn't set them.
	Kind    errkind.Kind    `json:"kind"`
	Outcome errkind.Outcome `json:"outcome"`
	// RetryAfter is the Retry-After header, zero if there is none.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Error implements error.
func (e *APIError) Error() string {
	text := e.Message
	if e.Kind != "" {
		text = string(e.Kind) + ": " + text
	}
	if e.Outcome != "" {
		text += " (outcome " + string(e.Outcome) + ")"
	}
	if e.RetryAfter > 0 {
		text += ", retry after " + e.RetryAfter.String()
	}
	return text
}

// Client calls the OpenAI-compatible API of one entry or of the load balancer
// in front of the entries.
type Client struct {
	// Base is the base URL without a path, like "http://127.0.0.1:8180".
	Base string
	// Key is the bearer token; it may be empty.
	Key  string
	HTTP *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient(base, key string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{Base: base, Key: key, HTTP: &http.Client{Transport: transport}}
}

// Request is one HTTP request; Body may be nil.
type Request struct {
	Method, Path string
	ContentType  string
	// IdempotencyKey is sent as the Idempotency-Key header if it is set.
	IdempotencyKey string
	Body           io.Reader
}

// Do sends a request and returns the response, whose body the caller must close.
// A response with an error status is returned as an *APIError.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.Base+r.Path, r.Body)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		defer func() { _ = resp.Body.Close() }()
		return nil, readError(resp)
	}
	return resp, nil
}

// JSON sends in, unless it is nil, and decodes the response into out.
func (c *Client) JSON(ctx context.Context, r Request, in, out any) error {
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		r.Body, r.ContentType = bytes.NewReader(b), "application/json"
	}
	resp, err := c.Do(ctx, r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := bounded.ReadAll(resp.Body, maxBodyBytes)
	if err != nil {
		return errors.Wrap(err, "response")
	}
	return errors.Wrap(json.Unmarshal(raw, out), "decode response")
}

func readError(resp *http.Response) error {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	e := parseError(raw)
	e.Status = resp.StatusCode
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	return e
}

// parseError parses an OpenAI error body; any other text becomes the message.
func parseError(raw []byte) *APIError {
	var body struct {
		Error *APIError `json:"error"`
	}
	if err := json.Unmarshal(raw, &body); err != nil || body.Error == nil {
		return &APIError{Message: string(bytes.TrimSpace(raw))}
	}
	return body.Error
}
