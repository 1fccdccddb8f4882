package jobs_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestPartOfAnEarlyResponseIsNotTheOutput guards against an item that is listed with a part of its output, because the
// connection was reset while the item was still being written.
func TestPartOfAnEarlyResponseIsNotTheOutput(t *testing.T) {
	const items, bodyBytes, resets = 10, 10 << 20, 10
	c := newCluster(t, 1)
	c.route.MaxAttempts = 10 * resets
	b := c.backends[0]
	b.SetEarly(&platformtest.EarlyResponse{ContentType: "text/event-stream", Reset: true, Body: func(id string) string {
		return "id: 1\ndata: " + platformtest.EventData(id, 1) + "\n\n"
	}})
	a := c.start("a")
	j := job("j", items)
	for i := range j.Items {
		j.Items[i].Body = []byte(strings.Repeat("b", bodyBytes))
	}
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l, err := a.List(t.Context(), j.ID, 0, 0)
		if n := len(b.Requests()); err != nil || n < resets && len(l.Results) < items {
			return poll.Continue("%d responses, %v", n, err)
		}
		return poll.Success()
	})
	b.SetEarly(nil)
	c.checkComplete(j, c.waitComplete(a, j))
}
