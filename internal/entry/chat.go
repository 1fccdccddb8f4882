package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

const (
	chatPath = "/v1/chat/completions"
	// bytesPerToken is used to estimate a token count from the length of a text.
	bytesPerToken = 4
	// prefixBytes is how many bytes of the first message determine cache affinity.
	prefixBytes      = 512
	defaultMaxTokens = 512
)

// chatRequest holds the fields of a chat request that the entry reads. The body
// is passed to the engine unchanged.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	N                   int           `json:"n"`
	Store               *bool         `json:"store"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat parses and validates a chat request; errors name the parameter.
func parseChat(body []byte) (*chatRequest, error) {
	var r chatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errkind.New(errkind.BadRequest, "body is not a chat request: %v", err)
	}
	switch {
	case r.Model == "":
		return nil, errkind.New(errkind.BadRequest, "model must be set").WithParam("model")
	case len(r.Messages) == 0:
		return nil, errkind.New(errkind.BadRequest, "messages must not be empty").WithParam("messages")
	case r.N > 1:
		return nil, errkind.New(errkind.BadRequest, "only one choice is supported").WithParam("n")
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return nil, errkind.New(errkind.BadRequest, "the token limit must not be negative").WithParam("max_tokens")
	}
	return &r, nil
}

func (r *chatRequest) maxTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// newChatCall creates the call for a chat request of a workspace.
func newChatCall(doc *desired.Document, workspace string, body []byte) (*call, *chatRequest, error) {
	req, err := parseChat(body)
	if err != nil {
		return nil, nil, err
	}
	svc, ok := doc.ServiceForModel(req.Model)
	if !ok {
		return nil, nil, errkind.New(errkind.UnknownService, "no service has the model %q", req.Model).WithParam("model")
	}
	c := &call{
		workspace:    workspace,
		service:      svc.Name,
		class:        admission.Online,
		model:        true,
		modelName:    req.Model,
		method:       http.MethodPost,
		path:         chatPath,
		body:         body,
		promptTokens: len(body) / bytesPerToken,
		maxTokens:    req.maxTokens(),
		prefix:       prefixOf(svc, workspace, req),
		deadline:     time.Now().Add(deadlineOf(svc)),
	}
	return c, req, nil
}

func deadlineOf(svc *desired.Service) time.Duration {
	if svc.Deadline > 0 {
		return svc.Deadline.Std()
	}
	return defaultDeadline
}

// prefixOf hashes the beginning of the prompt. Prompt caches are not shared
// across workspaces unless the service allows it.
func prefixOf(svc *desired.Service, workspace string, req *chatRequest) uint64 {
	first := req.Messages[0].Content
	h := xxhash.New()
	if !svc.SharePrefixes {
		_, _ = h.WriteString(workspace)
	}
	_, _ = h.WriteString("\x00" + req.Model + "\x00")
	_, _ = h.Write(first[:min(len(first), prefixBytes)])
	return h.Sum64()
}

func (e *Server) chat(ctx context.Context, c *app.RequestContext) {
	doc, ws, err := e.admit(c)
	if err != nil {
		e.writeError(c, err)
		return
	}
	defer e.limiter.release(ws)
	raw, err := e.readBody(c)
	if err != nil {
		e.writeError(c, err)
		return
	}
	cl, req, err := newChatCall(doc, ws, raw)
	if err != nil {
		e.writeError(c, err)
		return
	}
	cl.id = requestID(c)
	svc, _ := doc.Service(cl.service)
	storage := newReplyStorage(cl, svc, req, string(c.GetHeader(idempotencyKeyHeader)))
	if e.replay(ctx, c, cl, storage, req) {
		return
	}
	if storage.enabled() && svc.LogDown == desired.RefuseNotRun && e.claims.stream.Down() {
		e.writeError(c, errkind.New(errkind.LogUnavailable, "the reply could not be recorded now; it was not run"))
		return
	}
	if req.Stream {
		e.chatStream(ctx, c, cl, req, storage)
		return
	}
	e.chatComplete(ctx, c, cl, req, storage)
}

// textSink collects the text of a response.
type textSink struct{ text strings.Builder }

func (t *textSink) head(*peerv1.Head) error { return nil }

func (t *textSink) delta(d *peerv1.Delta) error {
	t.text.Write(d.Data)
	return nil
}

func (e *Server) chatComplete(ctx context.Context, c *app.RequestContext, cl *call, req *chatRequest, storage *replyStorage) {
	out := &textSink{}
	end, kerr := e.run(ctx, cl, out)
	if kerr != nil {
		e.writeError(c, kerr)
		return
	}
	body := newCompletion(cl, out.text.String(), end)
	recorded, first, err := e.persist(ctx, cl, storage, body)
	if err != nil {
		e.writeError(c, err)
		return
	}
	if !first {
		e.replay(ctx, c, cl, storage, req)
		return
	}
	if storage.enabled() {
		c.Header(recordedHeader, strconv.FormatBool(recorded))
	}
	event.Log(e.logger, event.RequestDone, "request", cl.id)
	e.writeJSON(c, body)
}

// streamSink forwards a response as server-sent events. It writes nothing before
// the first token, so that an early failure is an ordinary error response.
type streamSink struct {
	call    *call
	ctx     *app.RequestContext
	writer  *sse.Writer
	created int64
	// recorded is sent in the last chunk and reports whether the reply is stored;
	// nil if storing it was not requested.
	recorded *bool
}

func (s *streamSink) head(*peerv1.Head) error { return nil }

func (s *streamSink) delta(d *peerv1.Delta) error {
	if s.writer == nil {
		s.open()
		if err := s.chunk(chunkDelta{Role: roleAssistant}, nil); err != nil {
			return err
		}
	}
	return s.chunk(chunkDelta{Content: string(d.Data)}, nil)
}

func (s *streamSink) open() {
	s.writer = sse.NewWriter(s.ctx)
	s.created = time.Now().Unix()
}

func (s *streamSink) chunk(d chunkDelta, finish *string) error {
	return s.write(s.newChunk(d, finish))
}

func (s *streamSink) newChunk(d chunkDelta, finish *string) chunk {
	return chunk{
		ID:      completionID(s.call.id),
		Object:  objectChunk,
		Created: s.created,
		Model:   s.call.modelName,
		Choices: []chunkChoice{{Delta: d, FinishReason: finish}},
	}
}

func (s *streamSink) write(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writer.WriteEvent("", "", b)
}

func (e *Server) chatStream(ctx context.Context, c *app.RequestContext, cl *call, req *chatRequest, storage *replyStorage) {
	out := &streamSink{call: cl, ctx: c}
	end, kerr := e.run(ctx, cl, out)
	if kerr != nil {
		e.failStream(c, out, kerr)
		return
	}
	if out.writer == nil {
		out.open()
	}
	recorded, first, err := e.persist(ctx, cl, storage, newCompletion(cl, string(cl.resumeText), end))
	if err == nil && !first {
		err = errkind.New(errkind.InProgress, "another request with this key was answered first; send it again for its answer").WithOutcome(errkind.Complete)
	}
	if err != nil {
		e.failStream(c, out, errkind.From(err))
		return
	}
	if storage.enabled() {
		out.recorded = &recorded
	}
	event.Log(e.logger, event.RequestDone, "request", cl.id)
	_ = out.finish(end, req.StreamOptions.IncludeUsage)
}

// finish writes the explicit end of a complete response.
func (s *streamSink) finish(end *peerv1.End, usage bool) error {
	last := s.newChunk(chunkDelta{}, &end.FinishReason)
	last.Recorded = s.recorded
	if err := s.write(last); err != nil {
		return err
	}
	if usage {
		last := s.newChunk(chunkDelta{}, nil)
		last.Choices = []chunkChoice{}
		last.Usage = usageOf(s.call, end)
		if err := s.write(last); err != nil {
			return err
		}
	}
	return s.writer.WriteEvent("", "", []byte("[DONE]"))
}

// failStream ends an interrupted stream with an error event and without [DONE],
// so that the caller cannot mistake it for a complete response.
func (e *Server) failStream(c *app.RequestContext, out *streamSink, kerr *errkind.Error) {
	if out.writer == nil {
		e.writeError(c, kerr)
		return
	}
	e.metrics.refused(kerr.Kind).Inc()
	event.Log(e.logger, event.RequestRefused, "request", out.call.id, "kind", kerr.Kind, "err", kerr)
	_ = out.write(newErrorBody(kerr))
}
