package chaos

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/standin"
)

func (c *checker) checkItemStart(j JobRecord, i int, at, bound time.Time) {
	if at.After(bound) {
		c.verdict.AddFinding(RanAfterCancel, "job %s: item %d started %s after the cancel", j.Op.ID, i,
			at.Sub(j.CancelAcked).Round(time.Millisecond))
	}
}

type resultLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int             `json:"status_code"`
		Body       json.RawMessage `json:"body"`
	} `json:"response"`
	Error json.RawMessage `json:"error"`
}

// checkJob checks a batch job.
func (c *checker) checkJob(j JobRecord) {
	v := c.verdict
	if j.Err != "" {
		v.AddFinding(Lost, "job %s %v: %s", j.Op.ID, j.IDs, j.Err)
	}
	for _, id := range j.IDs[min(1, len(j.IDs)):] {
		if id != j.IDs[0] {
			v.AddFinding(Duplicate, "job %s was accepted as %s and as %s", j.Op.ID, j.IDs[0], id)
		}
	}
	c.checkCancel(j)
	for i := range j.Op.Items {
		if n := len(c.byID[strconv.Quote(itemID(j.Op, i))]); n > 1 {
			v.AddFinding(Duplicate, "job %s: item %d, which is not idempotent, ran %d times", j.Op.ID, i, n)
		}
	}
	if len(j.Outputs) == 0 {
		return
	}
	for _, o := range j.Outputs[1:] {
		if o != j.Outputs[0] {
			v.AddFinding(Duplicate, "job %s: two entries return different results", j.Op.ID)
		}
	}
	c.checkItems(j)
}

// checkItems checks the results: each item has exactly one result, which is complete
// and its own, or a permanent error if the item is poison.
func (c *checker) checkItems(j JobRecord) {
	v := c.verdict
	seen := make(map[string]int)
	for i, text := range []string{j.Outputs[0].Results, j.Outputs[0].Errors} {
		for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
			if line == "" {
				continue
			}
			var l resultLine
			if err := json.Unmarshal([]byte(line), &l); err != nil {
				v.AddFinding(Lost, "job %s: unreadable result %q", j.Op.ID, line)
				continue
			}
			seen[l.CustomID]++
			c.checkItem(j, l, i == 0)
		}
	}
	for i := range j.Op.Items {
		n := seen[fmt.Sprintf("i%d", i)]
		if n > 1 {
			v.AddFinding(Duplicate, "job %s: item %d has %d results", j.Op.ID, i, n)
		}
		if n == 0 && j.Final.Status == "completed" {
			v.AddFinding(Lost, "job %s: item %d has no result", j.Op.ID, i)
		}
	}
	if s := j.Final.Status; s != "completed" && (s != "cancelled" || j.Op.CancelAfter == 0) {
		v.AddFinding(Lost, "job %s ended %s", j.Op.ID, s)
	}
}

func (c *checker) checkItem(j JobRecord, l resultLine, result bool) {
	var i int
	if _, err := fmt.Sscanf(l.CustomID, "i%d", &i); err != nil || i >= j.Op.Items {
		c.verdict.AddFinding(WrongResponse, "job %s: result for unknown item %q", j.Op.ID, l.CustomID)
		return
	}
	if j.Op.Calls {
		c.checkCallItem(j, l, i, result)
		return
	}
	_, poison := j.Op.Poison[i]
	if !result {
		if !poison && j.Final.Status == "completed" {
			c.verdict.AddFinding(Lost, "job %s: item %d failed: %s", j.Op.ID, i, l.detail())
		}
		return
	}
	if poison {
		c.verdict.AddFinding(WrongResponse, "job %s: poison item %d has a result", j.Op.ID, i)
		return
	}
	want := echo(itemPrompt(j.Op, i), j.Op.Tokens)
	var a chatCompletion
	if l.Response == nil || json.Unmarshal(l.Response.Body, &a) != nil || len(a.Choices) != 1 || a.Choices[0].Message.Content != want {
		c.verdict.AddFinding(WrongResponse, "job %s item %d: want %d tokens; got %s", j.Op.ID, i, j.Op.Tokens, l.detail())
	}
}

// checkCallItem checks a non-idempotent item. It may fail permanently if it is unknown
// whether it ran.
func (c *checker) checkCallItem(j JobRecord, l resultLine, i int, result bool) {
	id := itemID(j.Op, i)
	ran := c.byID[strconv.Quote(id)]
	if result {
		var e standin.Execution
		if l.Response == nil || json.Unmarshal(l.Response.Body, &e) != nil || e.Path != callPath || e.Body != strconv.Quote(id) || len(ran) == 0 {
			c.verdict.AddFinding(WrongResponse, "job %s item %d: got %s", j.Op.ID, i, l.detail())
		}
		return
	}
	var failed errorResponse
	if l.Response != nil {
		_ = json.Unmarshal(l.Response.Body, &failed)
	}
	switch {
	case failed.Error.Outcome == errkind.NotRun && len(ran) > 0:
		c.verdict.AddFinding(FalseNotRun, "job %s item %d returned not_run, but it ran", j.Op.ID, i)
	case failed.Error.Outcome != errkind.Unknown && j.Final.Status == "completed", c.plan.Profile == Planned:
		c.verdict.AddFinding(Lost, "job %s item %d failed: %s", j.Op.ID, i, l.detail())
	}
}

func (l resultLine) detail() string {
	if l.Response != nil {
		return string(l.Response.Body)
	}
	return string(l.Error)
}

// checkCancel checks that a cancelled job stopped.
func (c *checker) checkCancel(j JobRecord) {
	if j.CancelAcked.IsZero() {
		return
	}
	bound := j.CancelAcked
	if c.history.FaultsEnded.After(bound) && len(c.plan.Faults) > 0 {
		bound = c.history.FaultsEnded
	}
	bound = bound.Add(cancelBound)
	for i := range j.Op.Items {
		for _, g := range c.generations[itemPrompt(j.Op, i)] {
			c.checkItemStart(j, i, g.At, bound)
		}
		for _, e := range c.byID[strconv.Quote(itemID(j.Op, i))] {
			c.checkItemStart(j, i, e.At, bound)
		}
	}
	if s := j.Final.Status; j.Err == "" && s != "cancelled" && s != "completed" {
		c.verdict.AddFinding(RanAfterCancel, "job %s was cancelled and ended %s", j.Op.ID, s)
	}
}
