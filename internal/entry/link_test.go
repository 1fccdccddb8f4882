package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/admission"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/routing"
)

// TestLinkPacesBatchOnly sends the same bytes in both classes and within the region.
// Only batch bytes that cross the region link may be delayed.
func TestLinkPacesBatchOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 1000
		l := newLink("dakar", perSecond, metrics.NewSet())
		remote := routing.Backend{Region: "casamance"}
		msg := &peerv1.RunRequest{Body: make([]byte, 5*perSecond)}
		elapsed := func(b routing.Backend, c admission.Class) time.Duration {
			started := time.Now()
			assert.NilError(t, l.pace(context.Background(), b, c, msg))
			return time.Since(started)
		}
		assert.Equal(t, elapsed(remote, admission.Online), time.Duration(0))
		assert.Equal(t, elapsed(routing.Backend{Region: "dakar"}, admission.Batch), time.Duration(0))
		delay := elapsed(remote, admission.Batch)
		assert.Assert(t, delay >= 4*time.Second && delay < 5*time.Second, "%s", delay)
		assert.Equal(t, l.bytes[purposeOnline].Get(), l.bytes[purposeBatch].Get())
	})
}
