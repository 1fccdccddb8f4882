package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// Faults in the results of a batch job.
var (
	ErrMissingResult   = errors.New("batch item has no result")
	ErrDuplicateResult = errors.New("batch item has more than one result")
	ErrUnknownItem     = errors.New("result belongs to no batch item")
)

func customID(i int) string { return fmt.Sprintf("item-%d", i) }

// inputFile encodes items as a batch input file. The custom ID of an item is
// derived from its index.
func inputFile(items []ChatRequest) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	for i, item := range items {
		line := batchLine{CustomID: customID(i), Method: http.MethodPost, URL: chatEndpoint, Body: item}
		if err := enc.Encode(line); err != nil {
			return nil, errors.Wrap(err, "encode batch line")
		}
	}
	return b.Bytes(), nil
}

// checkResults returns one error for each item, nil for a valid result, and
// one error for each unknown custom ID among the results.
func checkResults(cfg Config, items []ChatRequest, lines []resultLine) []error {
	byID := make(map[string][]resultLine, len(items))
	for _, l := range lines {
		byID[l.CustomID] = append(byID[l.CustomID], l)
	}
	var out []error
	for i, item := range items {
		out = append(out, checkItem(cfg, item, byID[customID(i)]))
		delete(byID, customID(i))
	}
	for id := range byID {
		out = append(out, errors.Wrapf(ErrUnknownItem, "%q", id))
	}
	return out
}

// checkItem checks an item's results, of which there must be exactly one.
func checkItem(cfg Config, item ChatRequest, lines []resultLine) error {
	switch {
	case len(lines) == 0:
		return ErrMissingResult
	case len(lines) > 1:
		return ErrDuplicateResult
	}
	l := lines[0]
	if l.Error != nil {
		return l.Error
	}
	if l.Response == nil || len(l.Response.Body.Choices) == 0 {
		return errors.Wrap(ErrMissingResult, "empty response")
	}
	choice := l.Response.Body.Choices[0]
	if choice.FinishReason == "" {
		return ErrNoFinishReason
	}
	if cfg.Echo {
		return checkEcho(item, choice.Message.Content)
	}
	return nil
}
