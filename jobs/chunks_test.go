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
