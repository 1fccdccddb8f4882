package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/openai/openai-go/v3/packages/ssestream"
	"github.com/pkg/errors"
	"github.com/tidwall/sjson"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/connend"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

const (
	requestIDHeader = "X-Request-Id"
	plainChunkBytes = 32 << 10
	maxErrorBytes   = 4 << 10
	// maxHeadBytes bounds the head of a response, maxCompletionBytes the stream of a completion.
	maxHeadBytes       = 64 << 10
	maxCompletionBytes = 16 << 20
)

// backend is the client of the sidecar's backend server. Each call uses a connection of its own:
// answers name no request, so a late second copy of one would be read as the answer to the next
// call, and the HTTP transport may repeat a request on a reused connection.
type backend struct {
	address string
	base    string
	client  *http.Client
}

func newBackend(addr string) *backend {
	transport := &http.Transport{DialContext: connend.Dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &backend{
		address: addr,
		base:    "http://" + addr,
		client:  &http.Client{Transport: statusChecker{transport}, CheckRedirect: noRedirect},
	}
}

// statusChecker fails for a response whose status ends no request: one below 100, which package net/http accepts, and 101,
// which no request asks for.
type statusChecker struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (c statusChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.RoundTripper.RoundTrip(r)
	if err != nil || resp.StatusCode >= http.StatusOK {
		return resp, err //nolint:wrapcheck // as the transport returns it
	}
	_ = resp.Body.Close()
	return nil, errors.Errorf("the response has no status: %.40q", resp.Status)
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// completion is the part of a streamed chat completion chunk that is used.
type completion struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     uint32 `json:"prompt_tokens"`
		CompletionTokens uint32 `json:"completion_tokens"`
	} `json:"usage"`
}

// chat streams one chat completion. emit returns false once the attempt has been
// cancelled. A response without an explicit end is an error.
func (b *backend) chat(ctx context.Context, req *peerv1.RunRequest, emit func(*peerv1.Delta) bool) (*peerv1.End, error) {
	body, err := chatBody(req)
	if err != nil {
		return nil, err
	}
	resp, err := b.send(ctx, http.MethodPost, "/v1/chat/completions", req, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	resp.Body = boundedBody{io.LimitReader(resp.Body, maxCompletionBytes), resp.Body}
	dec := ssestream.NewDecoder(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp)
	}
	return readChat(dec, emit)
}

// boundedBody is a body of which only a part can be read.
type boundedBody struct {
	io.Reader
	io.Closer
}

func readChat(dec ssestream.Decoder, emit func(*peerv1.Delta) bool) (*peerv1.End, error) {
	end := &peerv1.End{}
	for dec.Next() {
		data := dec.Event().Data
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			if end.FinishReason == "" {
				return nil, errors.New("backend server ended without a finish reason")
			}
			return end, nil
		}
		var c completion
		if err := json.Unmarshal(data, &c); err != nil {
			return nil, errors.Wrap(err, "backend server's chunk")
		}
		if !readChunk(c, end, emit) {
			return nil, errors.New("attempt cancelled")
		}
	}
	if err := dec.Err(); err != nil {
		return nil, errors.Wrap(err, "backend server's stream")
	}
	return nil, errors.New("backend server's stream was cut")
}

// readChunk processes one chunk. It returns false once the attempt has been
// cancelled.
func readChunk(c completion, end *peerv1.End, emit func(*peerv1.Delta) bool) bool {
	if c.Usage != nil {
		end.PromptTokens = c.Usage.PromptTokens
		end.CompletionTokens = c.Usage.CompletionTokens
	}
	for _, ch := range c.Choices {
		if ch.FinishReason != "" {
			end.FinishReason = ch.FinishReason
		}
		if ch.Delta.Content == "" {
			continue
		}
		if !emit(&peerv1.Delta{Data: []byte(ch.Delta.Content), Tokens: 1}) {
			return false
		}
	}
	return true
}

type assistantMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody sets the fields that make the engine stream, report usage and, if the
// attempt resumes an earlier one, continue its text.
func chatBody(req *peerv1.RunRequest) ([]byte, error) {
	body := req.Body
	set := func(path string, v any) {
		if b, err := sjson.SetBytes(body, path, v); err == nil {
			body = b
		}
	}
	set("stream", true)
	set("stream_options.include_usage", true)
	if req.ResumeTokens > 0 {
		set("messages.-1", assistantMessage{Role: "assistant", Content: req.ResumeText})
		set("add_generation_prompt", false)
		set("continue_final_message", true)
		if req.MaxTokens > 0 {
			left := int(req.MaxTokens) - int(req.ResumeTokens)
			set("max_tokens", max(left, 0))
			body, _ = sjson.DeleteBytes(body, "max_completion_tokens")
		}
	}
	if !json.Valid(body) {
		return nil, errkind.New(errkind.BadRequest, "body is not JSON")
	}
	return body, nil
}

// callPlain makes one call to a plain service and streams its response.
func (b *backend) callPlain(ctx context.Context, req *peerv1.RunRequest, emit func(*peerv1.RunEvent) bool) (*peerv1.End, error) {
	resp, err := b.send(ctx, req.Method, req.Path, req, req.Body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	head := &peerv1.Head{Status: uint32(resp.StatusCode)}
	for name, values := range resp.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, &peerv1.Header{Name: name, Value: v})
		}
	}
	if !emit(&peerv1.RunEvent{Event: &peerv1.RunEvent_Head{Head: head}}) {
		return nil, errors.New("attempt cancelled")
	}
	end, err := copyBody(resp.Body, emit)
	if err != nil || !unframed(resp) {
		return end, err
	}
	if err := b.checkEnd(ctx); err != nil {
		return nil, err
	}
	return end, nil
}

func copyBody(r io.Reader, emit func(*peerv1.RunEvent) bool) (*peerv1.End, error) {
	buf := make([]byte, plainChunkBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			d := &peerv1.Delta{Data: append([]byte(nil), buf[:n]...)}
			if !emit(&peerv1.RunEvent{Event: &peerv1.RunEvent_Delta{Delta: d}}) {
				return nil, errors.New("attempt cancelled")
			}
		}
		if err == io.EOF {
			return &peerv1.End{FinishReason: "stop"}, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "backend server's answer")
		}
	}
}

func (b *backend) send(ctx context.Context, method, path string, req *peerv1.RunRequest, body []byte) (*http.Response, error) {
	hr, err := http.NewRequestWithContext(ctx, method, b.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "request can't be built")
	}
	for _, h := range req.Headers {
		hr.Header.Add(h.Name, h.Value)
	}
	if req.Model {
		hr.Header.Set("Content-Type", "application/json")
		hr.Header.Set("Accept", "text/event-stream")
	}
	hr.Header.Set(requestIDHeader, req.AttemptId)
	resp, err := b.client.Do(hr)
	return resp, errors.Wrap(err, "backend server")
}

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if resp.StatusCode >= http.StatusInternalServerError {
		return errkind.New(errkind.BackendFailed, "backend server: status %d: %s", resp.StatusCode, text)
	}
	return errkind.New(errkind.BackendRefused, "backend server: status %d: %s", resp.StatusCode, text)
}
