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

// TestLinkPacesBatchOnly sends the same bytes as both classes and within the
// region: only batch bytes that cross the link wait.
func TestLinkPacesBatchOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 1000
		l := newLink("dakar", perSecond, metrics.NewSet())
		away := routing.Backend{Region: "casamance"}
		msg := &peerv1.RunRequest{Body: make([]byte, 5*perSecond)}
		took := func(b routing.Backend, c admission.Class) time.Duration {
			began := time.Now()
			assert.NilError(t, l.pace(context.Background(), b, c, msg))
			return time.Since(began)
		}
		assert.Equal(t, took(away, admission.Online), time.Duration(0))
		assert.Equal(t, took(routing.Backend{Region: "dakar"}, admission.Batch), time.Duration(0))
		paced := took(away, admission.Batch)
		assert.Assert(t, paced >= 4*time.Second && paced < 5*time.Second, "%s", paced)
		assert.Equal(t, l.bytes[purposeOnline].Get(), l.bytes[purposeBatch].Get())
	})
}
