package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

const defaultMaxTokens = 16

// Words in a prompt that make the engine fail the request.
const (
	// PoisonRefused makes the engine respond with status 400.
	PoisonRefused = "poison-refused"
	// PoisonCrash makes the engine close the connection without a response.
	PoisonCrash = "poison-crash"
)

type chatRequest struct {
	Model                string        `json:"model"`
	Messages             []chatMessage `json:"messages"`
	MaxTokens            int           `json:"max_tokens"`
	MaxCompletionTokens  int           `json:"max_completion_tokens"`
	ContinueFinalMessage bool          `json:"continue_final_message"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

type chatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int       `json:"index"`
	Delta        chatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Routes registers the engine's HTTP handlers.
func (e *Engine) Routes(h *server.Hertz) {
	h.POST("/v1/chat/completions", e.chat)
	h.GET("/v1/models", e.listModels)
	h.GET("/v1/engine", e.getState)
	h.POST("/v1/engine", e.loadModel)
	h.GET("/stats", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, e.Stats()) })
	h.GET("/generations", func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, e.Generations()) })
}

func (e *Engine) listModels(_ context.Context, c *app.RequestContext) {
	type model struct {
		ID string `json:"id"`
	}
	var out struct {
		Data []model `json:"data"`
	}
	for _, m := range e.settings.Models {
		out.Data = append(out.Data, model{m})
	}
	c.JSON(http.StatusOK, out)
}

// chat streams the words of the last user message over and over, so that a
// client can check that a response is complete and belongs to its own request.
func (e *Engine) chat(_ context.Context, c *app.RequestContext) {
	var req chatRequest
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	if !e.serves(req.Model) {
		c.String(http.StatusNotFound, "model %q is not loaded", req.Model)
		return
	}
	words, delivered := req.echoWords()
	e.record(Generation{Attempt: string(c.GetHeader("X-Request-Id")), Prompt: strings.Join(words, " "), DeliveredTokens: delivered})
	if slices.Contains(words, PoisonRefused) {
		c.String(http.StatusBadRequest, "the prompt can't be done")
		return
	}
	if slices.Contains(words, PoisonCrash) {
		_ = c.GetConn().Close()
		return
	}
	n := req.newTokens(delivered)
	s := e.start(string(c.GetHeader("X-Request-Id")), req.promptTokens(), n)
	defer e.stop(s)
	w := sse.NewWriter(c)
	chunk := chatChunk{ID: "engine", Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: req.Model}
	i := delivered
	for range s.tokens {
		chunk.Choices = []chatChoice{{Delta: chatDelta{Content: words[i%len(words)] + " "}}}
		i++
		if writeChunk(w, chunk) != nil {
			return
		}
	}
	reason := "length"
	chunk.Choices = []chatChoice{{FinishReason: &reason}}
	if writeChunk(w, chunk) != nil {
		return
	}
	chunk.Choices = []chatChoice{}
	chunk.Usage = &chatUsage{PromptTokens: req.promptTokens(), CompletionTokens: n, TotalTokens: req.promptTokens() + n}
	if writeChunk(w, chunk) != nil {
		return
	}
	_ = w.WriteEvent("", "", []byte("[DONE]"))
}

func writeChunk(w *sse.Writer, chunk chatChunk) error {
	b, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return w.WriteEvent("", "", b)
}

// echoWords returns the words to repeat and how many tokens an earlier attempt
// has already delivered.
func (r chatRequest) echoWords() (words []string, delivered int) {
	for _, m := range r.Messages {
		if m.Role == "user" {
			words = strings.Fields(m.text())
		}
	}
	if len(words) == 0 {
		words = []string{"ok"}
	}
	if r.ContinueFinalMessage && len(r.Messages) > 0 {
		delivered = len(strings.Fields(r.Messages[len(r.Messages)-1].text()))
	}
	return words, delivered
}

func (r chatRequest) promptTokens() int {
	n := 0
	for _, m := range r.Messages {
		n += len(strings.Fields(m.text()))
	}
	return n
}

// newTokens returns how many tokens to generate in addition to those already
// delivered. A limit in the request counts new tokens only.
func (r chatRequest) newTokens(delivered int) int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return max(defaultMaxTokens-delivered, 0)
}

func (m chatMessage) text() string {
	s, _ := m.Content.(string)
	return s
}
