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

// checkWhole judges an answer that was marked whole: it must be the whole
// answer to its own request.
func (c *checker) checkWhole(r Record) {
	if why := wrong(r); why != "" {
		c.verdict.Found(WrongAnswer, "%s %s: %s", r.Op.Kind, r.Send, why)
	}
}

// wrong says what is wrong with a whole answer, or nothing.
func wrong(r Record) string {
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

// once reports whether a call of the kind may run at most once.
func (k OpKind) once() bool { return k == Post || k == KeyedPost }

// checkCalls judges the calls that may not be repeated: at most one execution
// for each, and one result told to all who sent it.
func (c *checker) checkCalls() {
	results := make(map[string]map[string]bool)
	for _, r := range c.history.Records {
		if !r.Op.Kind.once() || !r.Whole {
			continue
		}
		if results[r.Op.ID] == nil {
			results[r.Op.ID] = make(map[string]bool)
		}
		results[r.Op.ID][r.Body] = true
		if len(c.byID[r.Op.ID]) == 0 {
			c.verdict.Found(WrongAnswer, "%s was answered, but nothing ran", r.Send)
		}
	}
	for _, op := range c.plan.Ops {
		if !op.Kind.once() {
			continue
		}
		if n := len(c.byID[op.ID]); n > 1 {
			c.verdict.Found(Duplicate, "%s %s ran %d times", op.Kind, op.ID, n)
		}
		if n := len(results[op.ID]); n > 1 {
			c.verdict.Found(Duplicate, "%s %s was answered with %d different results", op.Kind, op.ID, n)
		}
	}
	c.checkKeys()
}
