package jobs_test

import (
	"fmt"
	"strings"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

func job(id string, items int) *jobs.Job {
	j := &jobs.Job{ID: id, Host: "h", Route: "b", SubmittedMs: time.Now().UnixMilli()}
	for i := range items {
		j.Items = append(j.Items, jobs.Item{
			ID: fmt.Sprintf("%s-i%d", id, i), Target: fmt.Sprintf("/b/%d", i), Tokens: 100,
			Header: map[string]string{"Model": "m"}, Body: []byte(strings.Repeat("b", 300)),
		})
	}
	return j
}

func itemOutput(item string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, platformtest.EventData(item, n))
	}
	return strings.Join(lines, "\n")
}

// waitComplete reads a job through n until it is complete and returns the results.
func (c *cluster) waitComplete(n *node, j *jobs.Job) []jobs.ListedResult {
	c.t.Helper()
	return c.waitCompleteUntil(n, j, time.Now().Add(20*time.Second))
}

// waitCompleteUntil is waitComplete with the time by which the job must be complete.
func (c *cluster) waitCompleteUntil(n *node, j *jobs.Job, deadline time.Time) []jobs.ListedResult {
	c.t.Helper()
	var results []jobs.ListedResult
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		l, err := n.List(c.t.Context(), j.ID, 0, 0)
		if err != nil || len(l.Results) < len(j.Items) {
			return poll.Continue("%d of %d results are listed, %v", len(l.Results), len(j.Items), err)
		}
		results = l.Results
		return poll.Success()
	}, poll.WithTimeout(time.Until(deadline)))
	return results
}

// waitCheckpoints waits until the log holds progress of each item of a job.
func (c *cluster) waitCheckpoints(j *jobs.Job) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		found := 0
		for shard := range keyedlogtest.Shards {
			for _, r := range c.newestRecords(keyedlog.Partition{Topic: "keyed.results", Index: shard}) {
				if strings.HasPrefix(r.Key, "progress/"+j.ID+"/") {
					found++
				}
			}
		}
		if found < len(j.Items) {
			return poll.Continue("%d of %d items have progress on the log", found, len(j.Items))
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// newestRecords returns the newest record of each key of a partition.
func (c *cluster) newestRecords(p keyedlog.Partition) []keyedlog.Record {
	c.t.Helper()
	var records []keyedlog.Record
	after := ""
	for {
		page, err := c.log.Newest(c.t.Context(), p, after)
		assert.NilError(c.t, err)
		records = append(records, page.Records...)
		if !page.More {
			return records
		}
		after = records[len(records)-1].Key
	}
}

// requestCount counts the requests for a job's items at the first backend server.
func (c *cluster) requestCount(j *jobs.Job) int {
	n := 0
	for _, request := range c.backends[0].Requests() {
		if strings.HasPrefix(request.ID, j.ID+"-") {
			n++
		}
	}
	return n
}

// checkComplete checks that each item is listed exactly once with its complete output.
func (c *cluster) checkComplete(j *jobs.Job, results []jobs.ListedResult) {
	c.t.Helper()
	seen := make(map[string]bool)
	for _, r := range results {
		assert.Assert(c.t, !seen[r.ItemID], "%s is listed twice", r.ItemID)
		seen[r.ItemID] = true
		assert.Assert(c.t, r.Completed, "%s was abandoned", r.ItemID)
		assert.Equal(c.t, string(r.Text), itemOutput(r.ItemID, c.backends[0].Events))
	}
	assert.Equal(c.t, len(seen), len(j.Items))
}
