package jobs

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// newestOf returns the newest record of each key, in the order in which the log pages through them.
func newestOf(appended ...[]keyedlog.Record) []keyedlog.Record {
	newest := make(map[string]keyedlog.Record)
	for _, records := range appended {
		for _, r := range records {
			newest[r.Key] = r
		}
	}
	var records []keyedlog.Record
	for _, r := range newest {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b keyedlog.Record) int { return strings.Compare(a.Key, b.Key) })
	return records
}

// TestResultIsReadThoughALongerOneWasNotFinished guards against results that are lost because the former owner of a shard
// has ended between the appends of a longer one.
func TestResultIsReadThoughALongerOneWasNotFinished(t *testing.T) {
	resultOf := func(bytes int) []keyedlog.Record {
		encoded, err := encode(Result{Item: 0, Completed: true, Text: make([]byte, bytes)})
		assert.NilError(t, err)
		return splitValue(resultKey("j", 0), encoded, testRecordBytes)
	}
	longer, shorter := resultOf(25*testRecordBytes), resultOf(3*testRecordBytes)
	for written := range longer {
		table := strictTable(t)
		view{table, keyedlog.Partition{}}.Apply(newestOf(longer[:written], shorter))
		assert.Equal(t, table.resultPositions("j"), 1, "%d chunks of the longer one", written)
	}
}

// TestValueOfAnEarlierOwnershipIsNotMixedIn guards against a text that holds parts of two runs: a shard is lost while a long
// value has been read in part, and claimed again.
func TestValueOfAnEarlierOwnershipIsNotMixedIn(t *testing.T) {
	const bytes = 25 * testRecordBytes // more than ten records: the log pages through them in the order of their keys
	progressOf := func(b string) []keyedlog.Record {
		encoded, err := encode(Progress{LastEvent: "9", Events: 9, Text: []byte(strings.Repeat(b, bytes))})
		assert.NilError(t, err)
		return splitValue(progressKey("j", 0), encoded, testRecordBytes)
	}
	earlier, later := progressOf("e"), progressOf("l")
	for read := range earlier {
		table := strictTable(t)
		shard := view{table, keyedlog.Partition{}}
		shard.Apply(earlier[:read])
		table.clearJobs(func(id string) bool { return id == "j" })
		shard.Apply(newestOf(later))
		text := string(table.byID["j"].progress[0].Text)
		assert.Assert(t, text == strings.Repeat("l", bytes), "%d of %d bytes are of the earlier run", strings.Count(text, "e"), bytes)
	}
}

// TestClearingAShardKeepsWhatOtherTopicsHold guards against jobs that are never known: their summaries are not in a shard.
func TestClearingAShardKeepsWhatOtherTopicsHold(t *testing.T) {
	table := strictTable(t)
	j := &Job{ID: "j", Items: make([]Item, MaxItems)}
	encoded, err := encode(j.summary("digest"))
	assert.NilError(t, err)
	records := splitValue(jobKey("j"), encoded, recordOverhead+50)
	assert.Assert(t, len(records) > 1)
	topic := view{table, keyedlog.Partition{}}
	topic.Apply(records[:1])
	table.clearJobs(func(string) bool { return true })
	topic.Apply(records[1:])
	assert.Assert(t, table.Known("j"))
}
