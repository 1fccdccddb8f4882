package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// arrivals returns the start times of a Poisson process with rate events per
// second.
func arrivals(rng *rand.Rand, rate float64, length time.Duration) []time.Duration {
	var starts []time.Duration
	if rate <= 0 {
		return nil
	}
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return starts
		}
		starts = append(starts, at)
	}
}

// request returns a request with a random prompt that no other request has.
func (c Config) request(rng *rand.Rand) ChatRequest {
	words := make([]string, c.PromptWords)
	for i := range words {
		words[i] = fmt.Sprintf("w%08x", rng.Uint32())
	}
	return ChatRequest{
		Model:     c.Model,
		Messages:  []Message{{Role: "user", Content: strings.Join(words, " ")}},
		MaxTokens: c.MaxTokens,
	}
}

// checkEcho checks that a response consists of the words of its prompt, repeated
// up to the requested number of tokens.
func checkEcho(req ChatRequest, text string) error {
	words := strings.Fields(req.Messages[len(req.Messages)-1].Content)
	got := strings.Fields(text)
	if len(got) != req.MaxTokens {
		return errors.Wrapf(ErrPromptMismatch, "%d words instead of %d", len(got), req.MaxTokens)
	}
	for i, w := range got {
		if w != words[i%len(words)] {
			return errors.Wrapf(ErrPromptMismatch, "word %d is %q instead of %q", i, w, words[i%len(words)])
		}
	}
	return nil
}

// checkOnline checks a complete response against its request.
func (c Config) checkOnline(req ChatRequest, resp ChatResponse) error {
	if !c.Echo {
		return nil
	}
	if err := checkEcho(req, resp.Text); err != nil {
		return err
	}
	if resp.Usage != nil && resp.Usage.CompletionTokens != req.MaxTokens {
		return errors.Wrapf(ErrUsageMismatch, "%d completion tokens instead of %d", resp.Usage.CompletionTokens, req.MaxTokens)
	}
	return nil
}
