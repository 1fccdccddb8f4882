package chaos

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/catkinrudder/catkinrudder/internal/standin"
)

type chatCompletion struct {
	Choices []struct {
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
}

// checkComplete checks a response that was marked complete: it must be the complete
// response to its own request.
func (c *checker) checkComplete(r Record) {
	if detail := mismatch(r); detail != "" {
		c.verdict.AddFinding(WrongResponse, "%s %s: %s", r.Op.Kind, r.SendID, detail)
	}
}

// mismatch describes how a complete response is wrong; it is empty for a correct one.
func mismatch(r Record) string {
	want := echo(prompt(r.Op.ID), r.Op.Tokens)
	switch r.Op.Kind {
	case ChatStream:
		if r.Body != want {
			return fmt.Sprintf("got %q, want %q", r.Body, want)
		}
	case ChatWhole, StoredChat, KeyedChat:
		var a chatCompletion
		if err := json.Unmarshal([]byte(r.Body), &a); err != nil || len(a.Choices) != 1 || a.Choices[0].Message.Content != want {
			return fmt.Sprintf("got %q, want %q", r.Body, want)
		}
	case Get:
		var e standin.Execution
		if err := json.Unmarshal([]byte(r.Body), &e); err != nil || !strings.HasSuffix(e.Path, "/"+r.Op.ID) {
			return fmt.Sprintf("got %q for %s", r.Body, r.Op.ID)
		}
	case Post, KeyedPost:
		var e standin.Execution
		if err := json.Unmarshal([]byte(r.Body), &e); err != nil || e.Path != callPath || e.Body != r.Op.ID {
			return fmt.Sprintf("got %q for %s", r.Body, r.Op.ID)
		}
	}
	return ""
}

// atMostOnce reports whether a call of the kind may run at most once.
func (k OpKind) atMostOnce() bool { return k == Post || k == KeyedPost }

// checkCalls checks the non-idempotent calls: each has at most one execution, and
// every send of it that has a result has the same one.
func (c *checker) checkCalls() {
	results := make(map[string]map[string]bool)
	for _, r := range c.history.Records {
		if !r.Op.Kind.atMostOnce() || !r.Complete {
			continue
		}
		if results[r.Op.ID] == nil {
			results[r.Op.ID] = make(map[string]bool)
		}
		results[r.Op.ID][r.Body] = true
		if len(c.byID[r.Op.ID]) == 0 {
			c.verdict.AddFinding(WrongResponse, "%s has a response, but nothing ran", r.SendID)
		}
	}
	for _, op := range c.plan.Ops {
		if !op.Kind.atMostOnce() {
			continue
		}
		if n := len(c.byID[op.ID]); n > 1 {
			c.verdict.AddFinding(Duplicate, "%s %s ran %d times", op.Kind, op.ID, n)
		}
		if n := len(results[op.ID]); n > 1 {
			c.verdict.AddFinding(Duplicate, "%s %s returned %d different results", op.Kind, op.ID, n)
		}
	}
	c.checkKeys()
}
