package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/errkind"
)

// A call whose last attempt was refused is not_run only if no earlier attempt
// may have started.
func TestOutcomeRemembersEarlierAttempts(t *testing.T) {
	refusal := result{ending: notStarted, err: errkind.New(errkind.NoBackend, "refused").WithOutcome(errkind.NotRun)}
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
		err := (&Server{}).deadline(c, tc.started, refusal)
		assert.Equal(t, err.Kind, errkind.Timeout)
		assert.Equal(t, err.Response().Outcome, tc.want)
		assert.Equal(t, (&Server{}).giveUp(c, tc.started, refusal.err).Response().Outcome, tc.want)
	}
}
