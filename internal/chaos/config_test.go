package chaos

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestConcurrentPublicationsAcceptOnlyOne(t *testing.T) {
	r := newTestRound(t, Plan{})
	const races = 5
	for range races {
		r.runConfigRace(t.Context(), Op{ID: "race"})
	}
	r.history.InForceAfter = r.awaitInForce(t.Context())
	accepted := 0
	for _, p := range r.history.Publishes {
		assert.Assert(t, p.Known, "%+v", p)
		if p.Accepted {
			accepted++
		}
	}
	assert.Equal(t, accepted, races)
	r.checkHistory(t)
}
