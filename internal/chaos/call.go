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
	sendHeader = "X-Send"
	keyHeader  = "Idempotency-Key"
	// recordedHeader tells whether an answer is kept.
	recordedHeader = "X-Catkinrudder-Recorded"
	entryBase      = "http://entry"
	dataPrefix     = "data:"
	doneEvent      = "[DONE]"
	// strikeAfter is how many events of a stream come before a strike.
	strikeAfter = 3
)

// request is one HTTP request of a caller.
type request struct {
	method, path, body string
	contentType        string
	workspace          int
	key, send          string
	// salt chooses the entry.
	salt int
	// giveUp is when the client drops the connection, zero for never.
	giveUp time.Duration
	// onEvent is called with the number of each event of a stream.
	onEvent func(n int)
}

// answer is what came back.
type answer struct {
	status  int
	body    string
	whole   bool
	kind    errkind.Kind
	outcome errkind.Outcome
	err     error
	// recorded is what the answer says of its being kept.
	recorded bool
	dropped  bool
	via      *proctest.Node
}

type errorAnswer struct {
	Error struct {
		Message string          `json:"message"`
		Kind    errkind.Kind    `json:"kind"`
		Outcome errkind.Outcome `json:"outcome"`
	} `json:"error"`
}

// do sends one request and reads its answer to the end.
func (r *Round) do(ctx context.Context, q request) answer {
	limit := callTimeout
	if q.giveUp > 0 {
		limit = q.giveUp
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, q.method, entryBase+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	q.header(hr.Header)
	client, via := r.balancer.client(q.salt)
	resp, err := client.Do(hr)
	if err != nil {
		return answer{err: err, dropped: q.giveUp > 0 && ctx.Err() != nil, via: via()}
	}
	defer func() { _ = resp.Body.Close() }()
	a := q.read(resp)
	a.via = via()
	a.recorded = a.recorded || resp.Header.Get(recordedHeader) == "true"
	a.dropped = a.err != nil && q.giveUp > 0 && ctx.Err() != nil
	return a
}

func (q request) header(h http.Header) {
	h.Set("Authorization", "Bearer "+bearer(q.workspace))
	h.Set("Content-Type", "application/json")
	if q.contentType != "" {
		h.Set("Content-Type", q.contentType)
	}
	if q.key != "" {
		h.Set(keyHeader, q.key)
	}
	if q.send != "" {
		h.Set(sendHeader, q.send)
	}
}

func (q request) read(resp *http.Response) answer {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return q.readStream(resp)
	}
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: string(body), err: err, whole: err == nil && resp.StatusCode == http.StatusOK}
	if resp.StatusCode != http.StatusOK {
		a.setError(body)
	}
	return a
}

func (a *answer) setError(body []byte) {
	var e errorAnswer
	if json.Unmarshal(body, &e) == nil {
		a.kind, a.outcome = e.Error.Kind, e.Error.Outcome
	}
}

type chatChunk struct {
	errorAnswer
	Choices []struct {
		Delta        struct{ Content string } `json:"delta"`
		FinishReason *string                  `json:"finish_reason"`
	} `json:"choices"`
}

// readStream gathers a streamed answer's text; it is whole only with its
// explicit end.
func (q request) readStream(resp *http.Response) answer {
	a := answer{status: resp.StatusCode}
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
			a.whole = finished
			break
		}
		var c chatChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			a.err = errors.Wrap(err, "chaos: event")
			break
		}
		if c.Error.Kind != "" {
			a.kind, a.outcome = c.Error.Kind, c.Error.Outcome
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
	if a.err == nil {
		a.err = lines.Err()
	}
	a.body = text.String()
	return a
}

// record sends a request of an operation and keeps what its caller was told.
func (r *Round) record(ctx context.Context, op Op, q request) answer {
	started := time.Now()
	a := r.do(ctx, q)
	rec := Record{
		Op: op, Send: q.send, Start: started, End: time.Now(), Status: a.status, Kind: a.kind,
		Outcome: a.outcome, Whole: a.whole, Body: a.body, Dropped: a.dropped, Recorded: a.recorded,
	}
	if a.err != nil {
		rec.Err = a.err.Error()
	}
	r.history.add(func(h *History) { h.Records = append(h.Records, rec) })
	return a
}

// prompt is a text whose echo tells whose answer it is.
func prompt(id string) string { return fmt.Sprintf("%[1]s-a %[1]s-b %[1]s-c", id) }

// echo is the whole answer to a prompt.
func echo(prompt string, tokens int) string {
	words := strings.Fields(prompt)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(words[i%len(words)] + " ")
	}
	return b.String()
}

// storedBody asks for a whole answer that is kept.
func storedBody(text string, tokens int) string {
	return strings.Replace(chatBody(text, tokens, false), "{", `{"store":true,`, 1)
}

func chatBody(text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, modelName, stream, tokens, text)
}
