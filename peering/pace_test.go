package peering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
)

func TestPacesOfAReport(t *testing.T) {
	paces := map[uint32]balance.Pace{1: {Factor: 2.5, Age: 120 * time.Millisecond}, 2: {Factor: 1}}
	assert.DeepEqual(t, decodePaces(encodePaces(paces)), paces)
	assert.Assert(t, encodePaces(nil) == nil, "a report without paces has no field for them")
	nonsense := map[uint32][2]int64{1: {0, 0}, 2: {-5, 0}, 3: {1 << 40, 0}, 4: {1000, -1}, 5: {1000, 1 << 60}}
	assert.Equal(t, len(decodePaces(nonsense)), 0)
}
