package peering

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFarReportIntervalGrowsWithGateways(t *testing.T) {
	for _, c := range []struct {
		near, far int
		owner     bool
		want      time.Duration
	}{
		{4, 4, false, 100 * time.Millisecond},
		{14, 14, false, 100 * time.Millisecond},
		{18, 17, false, 153 * time.Millisecond},
		{28, 28, true, 392 * time.Millisecond},
		{50, 50, true, 400 * time.Millisecond},
		{50, 50, false, 20 * time.Second},
		{150, 150, true, 400 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.near, "/", c.far, "/", c.owner), func(t *testing.T) {
			assert.Equal(t, farReportInterval(c.near, c.far, c.owner), c.want)
		})
	}
}

// TestIdleGatewayReportsBeforeItIsRemoved compares the longest interval between
// reports with the time after which a gateway that sends none is removed.
func TestIdleGatewayReportsBeforeItIsRemoved(t *testing.T) {
	assert.Assert(t, 2*farReportInterval(1000, 1000, false) < removeAfter)
}
