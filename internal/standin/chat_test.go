package standin

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A resumed request asks for what is left, and gets just that; counting the
// given tokens twice cut resumed answers short.
func TestResumedAnswerCountsNewTokensOnly(t *testing.T) {
	r := chatRequest{
		Messages: []chatMessage{
			{Role: "user", Content: "a b c"},
			{Role: "assistant", Content: "a b c a "},
		},
		ContinueFinalMessage: true,
		MaxTokens:            6,
	}
	words, given := r.source()
	assert.DeepEqual(t, words, []string{"a", "b", "c"})
	assert.Equal(t, given, 4)
	assert.Equal(t, r.budget(given), 6)
	r.MaxTokens = 0
	assert.Equal(t, r.budget(given), defaultMaxTokens-4)
}
