package chaos

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
)

const (
	sendIDHeader = "X-Send"
	keyHeader    = "Idempotency-Key"
	// recordedHeader says whether the response is stored.
	recordedHeader = "X-Catkinrudder-Recorded"
	entryBase      = "http://entry"
	dataPrefix     = "data:"
	doneEvent      = "[DONE]"
	// strikeAfterEvents is the number of stream events that precede a strike.
	strikeAfterEvents = 3
)

// request is an HTTP request of a caller.
type request struct {
	method, path, body string
	contentType        string
	workspace          int
	key, sendID        string
	// entryIndex selects the entry that is tried first.
	entryIndex int
	// disconnectAfter is when the client closes the connection, zero for never.
	disconnectAfter time.Duration
	// onEvent is called for each event of a stream with the event's number.
	onEvent func(n int)
}

// response is what a caller received.
type response struct {
	status   int
	body     string
	complete bool
	kind     errkind.Kind
	outcome  errkind.Outcome
	err      error
	// recorded is true if the response says that it is stored.
	recorded bool
	dropped  bool
	entry    *proctest.Node
}

type errorResponse struct {
	Error struct {
		Message string          `json:"message"`
		Kind    errkind.Kind    `json:"kind"`
		Outcome errkind.Outcome `json:"outcome"`
	} `json:"error"`
}

// do sends a request and reads its response to the end.
func (r *Round) do(ctx context.Context, q request) response {
	limit := callTimeout
	if q.disconnectAfter > 0 {
		limit = q.disconnectAfter
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, q.method, entryBase+q.path, strings.NewReader(q.body))
	if err != nil {
		return response{err: err}
	}
	q.header(hr.Header)
	client, via := r.balancer.client(q.entryIndex)
	resp, err := client.Do(hr)
	if err != nil {
		return response{err: err, dropped: q.disconnectAfter > 0 && ctx.Err() != nil, entry: via()}
	}
	defer func() { _ = resp.Body.Close() }()
	got := q.read(resp)
	got.entry = via()
	got.recorded = got.recorded || resp.Header.Get(recordedHeader) == "true"
	got.dropped = got.err != nil && q.disconnectAfter > 0 && ctx.Err() != nil
	return got
}

func (q request) header(h http.Header) {
	h.Set("Authorization", "Bearer "+apiKey(q.workspace))
	h.Set("Content-Type", "application/json")
	if q.contentType != "" {
		h.Set("Content-Type", q.contentType)
	}
	if q.key != "" {
		h.Set(keyHeader, q.key)
	}
	if q.sendID != "" {
		h.Set(sendIDHeader, q.sendID)
	}
}

func (q request) read(resp *http.Response) response {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return q.readStream(resp)
	}
	body, err := io.ReadAll(resp.Body)
	got := response{status: resp.StatusCode, body: string(body), err: err, complete: err == nil && resp.StatusCode == http.StatusOK}
	if resp.StatusCode != http.StatusOK {
		got.setError(body)
	}
	return got
}

func (r *response) setError(body []byte) {
	var e errorResponse
	if json.Unmarshal(body, &e) == nil {
		r.kind, r.outcome = e.Error.Kind, e.Error.Outcome
	}
}

type chatChunk struct {
	errorResponse
	Choices []struct {
		Delta        struct{ Content string } `json:"delta"`
		FinishReason *string                  `json:"finish_reason"`
	} `json:"choices"`
}

// readStream collects the text of a streamed response. The response is complete
// only if it has its explicit end.
func (q request) readStream(resp *http.Response) response {
	got := response{status: resp.StatusCode}
	var text strings.Builder
	finished := false
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok {
			continue
		}
		if data = strings.TrimSpace(data); data == doneEvent {
			got.complete = finished
			break
		}
		var c chatChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			got.err = errors.Wrap(err, "chaos: decode stream event")
			break
		}
		if c.Error.Kind != "" {
			got.kind, got.outcome = c.Error.Kind, c.Error.Outcome
		}
		for _, ch := range c.Choices {
			text.WriteString(ch.Delta.Content)
			finished = finished || ch.FinishReason != nil
		}
		events++
		if q.onEvent != nil {
			q.onEvent(events)
		}
	}
	if got.err == nil {
		got.err = lines.Err()
	}
	got.body = text.String()
	return got
}

// record sends a request of an operation and records its response.
func (r *Round) record(ctx context.Context, op Op, q request) response {
	started := time.Now()
	got := r.do(ctx, q)
	rec := Record{
		Op: op, SendID: q.sendID, Start: started, End: time.Now(), Status: got.status, Kind: got.kind,
		Outcome: got.outcome, Complete: got.complete, Body: got.body, Dropped: got.dropped, Recorded: got.recorded,
	}
	if got.err != nil {
		rec.Err = got.err.Error()
	}
	r.history.update(func(h *History) { h.Records = append(h.Records, rec) })
	return got
}

// prompt returns a text whose echo identifies the request that it responds to.
func prompt(id string) string { return fmt.Sprintf("%[1]s-a %[1]s-b %[1]s-c", id) }

// echo returns the complete response to a prompt.
func echo(prompt string, tokens int) string {
	words := strings.Fields(prompt)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(words[i%len(words)] + " ")
	}
	return b.String()
}

// storedChatBody returns the body of a request for a complete response that is stored.
func storedChatBody(text string, tokens int) string {
	return strings.Replace(chatBody(text, tokens, false), "{", `{"store":true,`, 1)
}

func chatBody(text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, modelName, stream, tokens, text)
}
