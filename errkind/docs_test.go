package errkind

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tableRow returns the expected table row of a kind in docs/errors.md without its
// last column.
func tableRow(k Kind, r Response) string {
	retry := "no"
	if r.RetryAfter > 0 {
		retry = r.RetryAfter.String()
	}
	return fmt.Sprintf("| `%s` | %d | `%s` | `%s` | %s |", k, r.Status, r.Type, r.Outcome, retry)
}

func TestDocsListEveryKind(t *testing.T) {
	raw, err := os.ReadFile("../docs/errors.md")
	assert.NilError(t, err)
	rows := make(map[string]string)
	for _, line := range strings.Split(string(raw), "\n") {
		if cells := strings.Split(line, "|"); strings.HasPrefix(line, "| `") && len(cells) == 8 {
			kind := strings.Trim(cells[1], " `")
			assert.Assert(t, rows[kind] == "", "%s is listed twice", kind)
			rows[kind] = line
		}
	}
	kinds := Kinds()
	for k, r := range kinds {
		want := tableRow(k, r)
		got := rows[string(k)]
		assert.Assert(t, strings.HasPrefix(got, want), "docs/errors.md, %s:\ngot  %s\nwant %s", k, got, want)
		assert.Assert(t, strings.Trim(strings.TrimPrefix(got, want), " |") != "", "%s has no text in the last column", k)
	}
	for kind := range rows {
		_, ok := kinds[Kind(kind)]
		assert.Assert(t, ok, "docs/errors.md lists %s, which is not a kind", kind)
	}
}

func TestResponsesAreConsistent(t *testing.T) {
	for k, r := range Kinds() {
		assert.Assert(t, r.Status >= 400 && r.Status < 600, "%s", k)
		assert.Assert(t, r.Type != "", "%s", k)
		assert.Assert(t, r.Outcome == NotRun || r.Outcome == Unknown || r.Outcome == Complete, "%s", k)
		assert.Assert(t, r.RetryAfter == 0 || r.Outcome != Complete, "%s: a complete request must not be retried", k)
	}
}

func TestOverridesAndWrapping(t *testing.T) {
	cause := fmt.Errorf("cause")
	e := Wrap(cause, Timeout, "after %d s", 3).WithOutcome(NotRun).WithParam("p")
	assert.Equal(t, e.Response().Outcome, NotRun)
	assert.ErrorIs(t, e, cause)
	assert.Assert(t, Is(fmt.Errorf("outer: %w", e), Timeout))
	assert.Equal(t, From(cause).Kind, Internal)
	assert.Equal(t, Lookup("no such kind"), Lookup(Internal))
}

// TestPromisingStatusNeedsTheOutcome guards against a status that promises that a request has not run beside an outcome that
// does not.
func TestPromisingStatusNeedsTheOutcome(t *testing.T) {
	promising := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for k, r := range Kinds() {
		for _, o := range []Outcome{"", NotRun, Unknown, Complete} {
			got := New(k, "").WithOutcome(o).WithRetryAfter(time.Second).Response()
			assert.Assert(t, !promising[got.Status] || got.Outcome == NotRun, "%s with outcome %q: status %d", k, o, got.Status)
			assert.Assert(t, got.Status == r.Status || promising[r.Status] && o != NotRun, "%s with outcome %q: status %d", k, o, got.Status)
			assert.Equal(t, got.RetryAfter, time.Second)
		}
	}
}
