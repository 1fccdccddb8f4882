package standin

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A resumed request sets its token limit to the remaining tokens. Subtracting the
// already delivered tokens a second time truncated resumed responses.
func TestResumedResponseCountsNewTokensOnly(t *testing.T) {
	r := chatRequest{
		Messages: []chatMessage{
			{Role: "user", Content: "a b c"},
			{Role: "assistant", Content: "a b c a "},
		},
		ContinueFinalMessage: true,
		MaxTokens:            6,
	}
	words, delivered := r.echoWords()
	assert.DeepEqual(t, words, []string{"a", "b", "c"})
	assert.Equal(t, delivered, 4)
	assert.Equal(t, r.newTokens(delivered), 6)
	r.MaxTokens = 0
	assert.Equal(t, r.newTokens(delivered), defaultMaxTokens-4)
}
