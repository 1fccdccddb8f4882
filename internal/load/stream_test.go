package load

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func event(data string) string { return "data: " + data + "\n\n" }

const (
	firstEvent  = `{"id":"x","choices":[{"delta":{"content":"a "}}]}`
	finishEvent = `{"choices":[{"delta":{},"finish_reason":"length"}]}`
	usageEvent  = `{"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}`
)

func TestReadStream(t *testing.T) {
	complete := event(firstEvent) + event(finishEvent) + event(usageEvent) + event("[DONE]")
	resp, err := readStream(strings.NewReader(": comment\n\n"+complete), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.Text, "a ")
	assert.Equal(t, resp.Usage.CompletionTokens, 1)

	tests := []struct {
		name, stream string
		want         error
		label        string
	}{
		{"no end marker", event(firstEvent) + event(finishEvent), ErrInterrupted, labelInterrupted},
		{"empty", "", ErrInterrupted, labelInterrupted},
		{"no finish reason", event(firstEvent) + event("[DONE]"), ErrNoFinishReason, labelInterrupted},
		{"data after the end marker", complete + event(firstEvent), ErrDataAfterDone, labelInterrupted},
		{"error event", event(`{"error":{"message":"m","kind":"backend_failed","outcome":"unknown"}}`), nil, "backend_failed"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := readStream(strings.NewReader(tc.stream), nil)
			assert.Assert(t, err != nil)
			if tc.want != nil {
				assert.ErrorIs(t, err, tc.want)
			}
			assert.Equal(t, classify(err), tc.label)
		})
	}
}

func TestCheckEcho(t *testing.T) {
	req := ChatRequest{Messages: []Message{{Role: "user", Content: "a b"}}, MaxTokens: 3}
	assert.NilError(t, checkEcho(req, "a b a "))
	for _, text := range []string{"a b ", "a b a b", "b a b", "c d c", "a a b"} {
		assert.ErrorIs(t, checkEcho(req, text), ErrPromptMismatch)
	}
}

func TestCheckResults(t *testing.T) {
	cfg := Config{Echo: true}
	items := []ChatRequest{}
	for range 4 {
		items = append(items, ChatRequest{Messages: []Message{{Role: "user", Content: "a"}}, MaxTokens: 1})
	}
	lines, err := parseResults(strings.NewReader(strings.Join([]string{
		`{"custom_id":"item-0","response":{"status_code":200,"body":{"choices":[{"message":{"content":"a "},"finish_reason":"stop"}]}}}`,
		`{"custom_id":"item-1","response":{"status_code":200,"body":{"choices":[{"message":{"content":"b "},"finish_reason":"stop"}]}}}`,
		`{"custom_id":"item-2","error":{"kind":"expired","message":"m"}}`,
		`{"custom_id":"item-2","error":{"kind":"expired","message":"m"}}`,
		`{"custom_id":"item-9","error":{"kind":"expired","message":"m"}}`,
	}, "\n")))
	assert.NilError(t, err)
	got := checkResults(cfg, items, lines)
	assert.NilError(t, got[0])
	for i, want := range []error{ErrPromptMismatch, ErrDuplicateResult, ErrMissingResult, ErrUnknownItem} {
		assert.ErrorIs(t, got[i+1], want)
	}
}
