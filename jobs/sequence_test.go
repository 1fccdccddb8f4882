package jobs_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/eventstream"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// faultOnFirstRuns applies faults to the first runs of each item at a backend server, one after the
// other.
func faultOnFirstRuns(b *platformtest.Backend, faults ...platformtest.Fault) {
	runs := make(map[string]int)
	b.SetFault(func(received platformtest.Request) platformtest.Fault {
		n := runs[received.ID]
		runs[received.ID]++
		if n < len(faults) {
			return faults[n]
		}
		return platformtest.None
	})
}

func TestEventsOfItemsOutOfOrderAreReportedByReason(t *testing.T) {
	for fault, want := range map[platformtest.Fault]eventstream.Reason{
		platformtest.SkipEvent: eventstream.Gap, platformtest.RepeatEvent: eventstream.Repeated, platformtest.ErrorEvent: eventstream.Unnumbered,
		platformtest.LateStart: eventstream.NotAtStart, platformtest.NumberLater: eventstream.Numbered,
	} {
		t.Run(string(want), func(t *testing.T) {
			c := newCluster(t, 1)
			reasons := make(chan eventstream.Reason, 100)
			c.outOfOrder = func(r eventstream.Reason) { reasons <- r }
			faultOnFirstRuns(c.backends[0], fault)
			assert.NilError(t, c.start("a").Submit(t.Context(), job("j1", 1), 0))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				select {
				case r := <-reasons:
					assert.Equal(t, r, want)
					return poll.Success()
				default:
					return poll.Continue("no report")
				}
			})
		})
	}
}

func TestEventOutOfOrderReachesNoItem(t *testing.T) {
	for _, fault := range []platformtest.Fault{
		platformtest.SkipEvent, platformtest.RepeatEvent, platformtest.ErrorEvent, platformtest.LateStart, platformtest.NumberLater, platformtest.NoNumbersCut,
	} {
		c := newCluster(t, 1)
		faultOnFirstRuns(c.backends[0], fault)
		a := c.start("a")
		j := job("j1", 1)
		assert.NilError(t, a.Submit(t.Context(), j, 0))
		c.checkComplete(j, c.waitComplete(a, j))
	}
}
