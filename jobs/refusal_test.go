package jobs

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

// TestRefusalAfterAnUnknownAppendPromisesNothing guards against a status that promises that a batch job never runs whose
// append the log may execute late.
func TestRefusalAfterAnUnknownAppendPromisesNothing(t *testing.T) {
	const quota = 100
	over := &Job{ID: "j", Items: []Item{{ID: "i", Tokens: quota + 1}}}
	for name, logAnswers := range map[string]bool{"the log answers": true, "the log is out of reach": false} {
		for _, mayBeAppended := range []bool{false, true} {
			f := newOwnerFixture(t)
			if !logAnswers {
				f.log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.DropResponse })
			}
			err := f.service.refuseOverQuota(t.Context(), over, 0, quota, mayBeAppended)
			response := errkind.From(err).Response()
			if !mayBeAppended {
				assert.Equal(t, response.Outcome, errkind.NotRun, name)
				continue
			}
			assert.Equal(t, response.Outcome, errkind.Unknown, name)
			assert.Equal(t, response.Status, http.StatusGatewayTimeout, name)
		}
	}
}
