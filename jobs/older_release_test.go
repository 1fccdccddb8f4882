package jobs_test

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

// olderSummary is the summary of a job as older releases store it.
type olderSummary struct {
	Host        string  `cbor:"1,keyasint"`
	Route       string  `cbor:"2,keyasint"`
	SubmittedMs int64   `cbor:"3,keyasint"`
	Tokens      []int64 `cbor:"4,keyasint"`
}

func partitionsOf(id string) (summaries, contents keyedlog.Partition) {
	return keyedlog.Partition{Topic: "keyed.jobs"}, keyedlog.Partition{Topic: "keyed.contents", Index: jobs.ShardOf(id, keyedlogtest.Shards)}
}

// TestJobOfAnOlderReleaseIsReadAndRun guards against stored jobs that an upgrade makes unreadable.
func TestJobOfAnOlderReleaseIsReadAndRun(t *testing.T) {
	c := newCluster(t, 1)
	j := job("j", 3)
	older := olderSummary{Host: j.Host, Route: j.Route, SubmittedMs: j.SubmittedMs, Tokens: []int64{100, 100, 100}}
	summaries, contents := partitionsOf(j.ID)
	for _, v := range []struct {
		part  keyedlog.Partition
		key   string
		value any
	}{{contents, "content/j#0", j}, {summaries, "job/j#0", older}} {
		raw, err := cbor.Marshal(v.value)
		assert.NilError(t, err)
		record := keyedlog.Record{Key: v.key, Value: append([]byte{0, 1}, raw...)}
		_, err = c.log.Append(t.Context(), v.part, []keyedlog.Record{record}, keyedlog.Condition{})
		assert.NilError(t, err)
	}
	a := c.start("a")
	results := c.waitComplete(a, j)
	c.checkComplete(j, results)
	c.start("b")
	c.checkStaysReadable(j, results)
}

// TestProcessOfAnOlderReleaseCanReadAJob guards against jobs that are not run while two releases run.
func TestProcessOfAnOlderReleaseCanReadAJob(t *testing.T) {
	c := newCluster(t, 1)
	c.olderRelease = true
	a := c.start("a")
	j := submission{items: 40, body: 1000, headers: 3}.job("j")
	assert.NilError(t, a.Submit(t.Context(), j, 0))
	c.checkComplete(j, c.waitComplete(a, j))

	var content jobs.Job
	summaries, contents := partitionsOf(j.ID)
	assert.NilError(t, cbor.Unmarshal(c.valueOf(contents, "content/j"), &content))
	assert.DeepEqual(t, content.Items, j.Items)
	var summary olderSummary
	assert.NilError(t, cbor.Unmarshal(c.valueOf(summaries, "job/j"), &summary))
	assert.Equal(t, len(summary.Tokens), len(j.Items))
}

// valueOf returns the value of a key on the log, as older releases assemble it.
func (c *cluster) valueOf(part keyedlog.Partition, key string) []byte {
	c.t.Helper()
	records := make(map[string][]byte)
	for after := ""; ; {
		page, err := c.log.Newest(c.t.Context(), part, after)
		assert.NilError(c.t, err)
		for _, r := range page.Records {
			records[r.Key] = r.Value
			after = r.Key
		}
		if !page.More {
			break
		}
	}
	var value []byte
	for i := range binary.BigEndian.Uint16(records[key+"#0"]) {
		value = append(value, records[fmt.Sprintf("%s#%d", key, i)][2:]...)
	}
	return value
}
