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
	// bytesPerToken estimates tokens from text.
	bytesPerToken = 4
	// prefixBytes is how much of the first message decides cache affinity.
	prefixBytes      = 512
	defaultMaxTokens = 512
)

// chatRequest is the part of a chat request that is read here; the rest goes to
// the engine as it is.
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

// parseChat checks a chat request; errors name the place.
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

// newChatCall builds the call of a chat request in a workspace.
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

// prefixOf hashes the prompt's leading part. Prompt caches are not shared
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
		e.fail(c, err)
		return
	}
	defer e.limiter.leave(ws)
	raw, err := e.readBody(c)
	if err != nil {
		e.fail(c, err)
		return
	}
	cl, req, err := newChatCall(doc, ws, raw)
	if err != nil {
		e.fail(c, err)
		return
	}
	cl.id = requestID(c)
	svc, _ := doc.Service(cl.service)
	kept := newKeeping(cl, svc, req, string(c.GetHeader(idempotencyKeyHeader)))
	if e.replay(ctx, c, cl, kept, req) {
		return
	}
	if kept.any() && svc.LogDown == desired.RefuseNotRun && e.claims.stream.Down() {
		e.fail(c, errkind.New(errkind.LogUnavailable, "the reply could not be recorded now; it was not run"))
		return
	}
	if req.Stream {
		e.chatStream(ctx, c, cl, req, kept)
		return
	}
	e.chatWhole(ctx, c, cl, req, kept)
}

// textSink gathers an answer's text.
type textSink struct{ text strings.Builder }

func (t *textSink) head(*peerv1.Head) error { return nil }

func (t *textSink) delta(d *peerv1.Delta) error {
	t.text.Write(d.Data)
	return nil
}

func (e *Server) chatWhole(ctx context.Context, c *app.RequestContext, cl *call, req *chatRequest, kept *keeping) {
	out := &textSink{}
	end, kerr := e.run(ctx, cl, out)
	if kerr != nil {
		e.fail(c, kerr)
		return
	}
	body := newCompletion(cl, out.text.String(), end)
	recorded, first, err := e.keep(ctx, cl, kept, body)
	if err != nil {
		e.fail(c, err)
		return
	}
	if !first {
		e.replay(ctx, c, cl, kept, req)
		return
	}
	if kept.any() {
		c.Header(recordedHeader, strconv.FormatBool(recorded))
	}
	event.Log(e.logger, event.RequestDone, "request", cl.id)
	e.writeJSON(c, body)
}

// streamSink passes an answer on as server-sent events. Nothing is written
// before the first token, so that an early failure is an ordinary answer.
type streamSink struct {
	call    *call
	ctx     *app.RequestContext
	writer  *sse.Writer
	created int64
	// recorded tells, on the last chunk, whether the reply is kept; nil if it
	// was not asked for.
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

func (e *Server) chatStream(ctx context.Context, c *app.RequestContext, cl *call, req *chatRequest, kept *keeping) {
	out := &streamSink{call: cl, ctx: c}
	end, kerr := e.run(ctx, cl, out)
	if kerr != nil {
		e.failStream(c, out, kerr)
		return
	}
	if out.writer == nil {
		out.open()
	}
	recorded, first, err := e.keep(ctx, cl, kept, newCompletion(cl, string(cl.resumeText), end))
	if err == nil && !first {
		err = errkind.New(errkind.InProgress, "another request with this key was answered first; send it again for its answer").WithOutcome(errkind.Complete)
	}
	if err != nil {
		e.failStream(c, out, errkind.From(err))
		return
	}
	if kept.any() {
		out.recorded = &recorded
	}
	event.Log(e.logger, event.RequestDone, "request", cl.id)
	_ = out.finish(end, req.StreamOptions.IncludeUsage)
}

// finish writes the explicit end of a whole answer.
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

// failStream ends a broken stream with an error event and without [DONE], so
// that nobody takes it for whole.
func (e *Server) failStream(c *app.RequestContext, out *streamSink, kerr *errkind.Error) {
	if out.writer == nil {
		e.fail(c, kerr)
		return
	}
	e.metrics.refused(kerr.Kind).Inc()
	event.Log(e.logger, event.RequestRefused, "request", out.call.id, "kind", kerr.Kind, "err", kerr)
	_ = out.write(newErrorBody(kerr))
}
