package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes limits one line of an event stream or of a result file.
const maxLineBytes = 4 << 20

// Faults of a streamed response.
var (
	// ErrInterrupted means that a stream ended without its end marker.
	ErrInterrupted = errors.New("stream ended without [DONE]")
	// ErrNoFinishReason means that a stream ended without a finish reason.
	ErrNoFinishReason = errors.New("stream has no finish reason")
	// ErrDataAfterDone means that a stream continued after its end marker.
	ErrDataAfterDone = errors.New("stream continues after [DONE]")
	// ErrPromptMismatch means that a response does not repeat its own prompt.
	ErrPromptMismatch = errors.New("response does not match the prompt")
	// ErrUsageMismatch means that the reported usage differs from the number of
	// tokens delivered.
	ErrUsageMismatch = errors.New("reported usage differs from the tokens delivered")
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion request.
type ChatRequest struct {
	Model         string         `json:"model"`
	Messages      []Message      `json:"messages"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	Store         *bool          `json:"store,omitempty"`
}

// StreamOptions request the token usage at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage holds the token counts of a response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// ChatResponse is a streamed chat completion, assembled from its events.
type ChatResponse struct {
	ID           string `json:"id"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
	Usage        *Usage `json:"usage,omitempty"`
	// Arrivals holds the arrival time of each text delta.
	Arrivals []time.Time `json:"-"`
}

// chunk is the data of one event of a streamed chat completion.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage    `json:"usage"`
	Error *APIError `json:"error"`
}

// Stream sends one streamed chat request and reads the response to its end.
// onText is called for each text delta and may be nil. An incomplete response is
// returned with an error.
func (c *Client) Stream(ctx context.Context, req ChatRequest, key string, onText func(string)) (ChatResponse, error) {
	req.Stream = true
	req.StreamOptions = &StreamOptions{IncludeUsage: true}
	body, err := json.Marshal(req)
	if err != nil {
		return ChatResponse{}, errors.Wrap(err, "encode request")
	}
	resp, err := c.Do(ctx, Request{
		Method: http.MethodPost, Path: "/v1/chat/completions", ContentType: "application/json",
		IdempotencyKey: key, Body: bytes.NewReader(body),
	})
	if err != nil {
		return ChatResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readStream(resp.Body, onText)
}

// readStream reads the events of a response until the end marker and the end of
// the stream.
func readStream(r io.Reader, onText func(string)) (ChatResponse, error) {
	var resp ChatResponse
	done := false
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if done {
			return resp, ErrDataAfterDone
		}
		if string(data) == "[DONE]" {
			done = true
			continue
		}
		if err := resp.add(data, onText); err != nil {
			return resp, err
		}
	}
	return resp, resp.check(done, lines.Err())
}

// add decodes the data of one event and adds it to the response.
func (r *ChatResponse) add(data []byte, onText func(string)) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.Wrap(err, "decode stream")
	}
	if c.Error != nil {
		return c.Error
	}
	r.ID = c.ID
	if c.Usage != nil {
		r.Usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != "" {
			r.FinishReason = choice.FinishReason
		}
		if text := choice.Delta.Content; text != "" {
			r.Text += text
			r.Arrivals = append(r.Arrivals, time.Now())
			if onText != nil {
				onText(text)
			}
		}
	}
	return nil
}

// check returns an error if the response is incomplete. done reports whether the
// end marker was received, and readErr is the error that ended the stream.
func (r *ChatResponse) check(done bool, readErr error) error {
	switch {
	case errors.Is(readErr, context.DeadlineExceeded), errors.Is(readErr, context.Canceled):
		return errors.Wrap(readErr, "stream")
	case readErr != nil:
		return errors.Wrap(ErrInterrupted, readErr.Error())
	case !done:
		return ErrInterrupted
	case r.FinishReason == "":
		return ErrNoFinishReason
	}
	return nil
}
