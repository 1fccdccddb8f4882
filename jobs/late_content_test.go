package jobs_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

// renamedRoute is the route of a job by the configuration of a process that has another version of it.
const renamedRoute = "the-same-route-by-another-name"

// submission is a job with the number of its items, the bytes of each body and the number of header fields of each item.
type submission struct{ items, body, headers int }

func (s submission) job(id string) *jobs.Job {
	j := job(id, s.items)
	for i := range j.Items {
		j.Items[i].Body = []byte(strings.Repeat(fmt.Sprint(i%10), s.body))
		for h := range s.headers {
			j.Items[i].Header[fmt.Sprintf("H-%d", h)] = fmt.Sprintf("%d-%d", i, h)
		}
	}
	return j
}

// again returns the job as another process receives it.
func again(j *jobs.Job, route string, laterMs int64) *jobs.Job {
	copied := *j
	copied.Route = route
	copied.SubmittedMs += laterMs
	return &copied
}

// TestLateAppendOfAnotherSubmissionDoesNotMixWithTheAcceptedContent guards against accepted jobs whose content is replaced
// in part by a call that the log executes late, so that it can't be read any more.
func TestLateAppendOfAnotherSubmissionDoesNotMixWithTheAcceptedContent(t *testing.T) {
	for name, test := range map[string]struct {
		submission
		route   string
		laterMs int64
		// executed is how many appends of the first submission are executed at once.
		executed int
	}{
		"the same submission, forwarded":       {submission: submission{items: 40, body: 1000, headers: 8}, route: "b"},
		"the same, its first call was done":    {submission: submission{items: 40, body: 1000, headers: 8}, route: "b", executed: 1},
		"many headers":                         {submission: submission{items: 30, body: 10, headers: 60}, route: "b"},
		"sent again to another process":        {submission: submission{items: 40, body: 1000, headers: 1}, route: "b", laterMs: 700},
		"another version of the route":         {submission: submission{items: 40, body: 1000}, route: renamedRoute, laterMs: 700},
		"another version, first call done":     {submission: submission{items: 40, body: 1000}, route: renamedRoute, executed: 1},
		"another version, content of one call": {submission: submission{items: 3, body: 1000}, route: renamedRoute, laterMs: 700},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2)
			renamed := c.route
			renamed.Name = renamedRoute
			c.otherRoutes = []catalog.Route{renamed}
			a, b := c.start("a"), c.start("b")
			j := test.job("j")
			c.delayContent(test.executed)
			assert.Assert(t, a.SubmitLocal(t.Context(), again(j, test.route, 0), 0) != nil)
			c.log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.None })
			accepted := again(j, "b", test.laterMs)
			assert.NilError(t, b.SubmitLocal(t.Context(), accepted, 0))
			results := c.waitComplete(b, j)
			c.log.RunDelayed()
			c.checkStaysReadable(j, results)
		})
	}
}

// delayContent makes the log execute appends of content late, but for the first ones.
func (c *cluster) delayContent(executed int) {
	c.log.SetFault(func(call string, p keyedlog.Partition) keyedlogtest.Fault {
		if call != "append" || p.Topic != "keyed.contents" {
			return keyedlogtest.None
		}
		if executed--; executed >= 0 {
			return keyedlogtest.None
		}
		return keyedlogtest.Delay
	})
}

// checkStaysReadable checks that a process that reads everything anew lists the same results and returns the bodies
// that were submitted.
func (c *cluster) checkStaysReadable(j *jobs.Job, results []jobs.ListedResult) {
	c.t.Helper()
	for _, n := range []*node{c.nodes["a"], c.nodes["b"]} {
		n.kill()
	}
	c.log.Truncate()
	n := c.start("new")
	assert.DeepEqual(c.t, c.waitComplete(n, j), results)
	for _, item := range j.Items {
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			body, err := n.ItemBody(c.t.Context(), j.ID, item.ID)
			if err != nil || string(body) != string(item.Body) {
				return poll.Continue("item %s: %d bytes, %v", item.ID, len(body), err)
			}
			return poll.Success()
		})
	}
}
