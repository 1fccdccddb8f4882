package entry

import (
	"time"

	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	roleAssistant    = "assistant"
)

// completion is a complete chat response in the OpenAI format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// chunk is one event of a streamed chat response.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
	// Recorded reports whether the reply is stored; it is set in the last chunk with text.
	Recorded *bool `json:"catkinrudder_recorded,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func completionID(requestID string) string { return "chatcmpl-" + requestID }

// usageOf returns the token usage of a call, including the tokens that earlier
// attempts delivered.
func usageOf(c *call, end *peerv1.End) *usage {
	u := &usage{PromptTokens: int(end.PromptTokens), CompletionTokens: c.resumeTokens}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}

func newCompletion(c *call, text string, end *peerv1.End) completion {
	return completion{
		ID:      completionID(c.id),
		Object:  objectCompletion,
		Created: time.Now().Unix(),
		Model:   c.modelName,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: roleAssistant, Content: text},
			FinishReason: end.FinishReason,
		}},
		Usage: usageOf(c, end),
	}
}
