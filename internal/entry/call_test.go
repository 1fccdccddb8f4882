package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/errkind"
)

// TestOutcomeIncludesEarlierAttempts checks that a call whose last attempt was
// refused is not_run only if no earlier attempt may have started.
func TestOutcomeIncludesEarlierAttempts(t *testing.T) {
	refusal := result{status: notStarted, err: errkind.New(errkind.NoBackend, "refused").WithOutcome(errkind.NotRun)}
	for _, tc := range []struct {
		started bool
		tokens  int
		want    errkind.Outcome
	}{
		{false, 0, errkind.NotRun},
		{true, 0, errkind.Unknown},
		{false, 3, errkind.Unknown},
	} {
		c := &call{resumeTokens: tc.tokens}
		err := (&Server{}).timeoutError(c, tc.started, refusal)
		assert.Equal(t, err.Kind, errkind.Timeout)
		assert.Equal(t, err.Response().Outcome, tc.want)
		assert.Equal(t, (&Server{}).finalError(c, tc.started, refusal.err).Response().Outcome, tc.want)
	}
}
