package jobs

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// wholeChunk returns a value that is stored in one chunk.
func wholeChunk(t testing.TB, v any) []byte {
	t.Helper()
	raw, err := cbor.Marshal(v)
	assert.NilError(t, err)
	return append([]byte{0, 1}, raw...)
}

// FuzzTable applies records that are malformed in any way to a table. Nothing that reads the table
// may end the process.
func FuzzTable(f *testing.F) {
	f.Add("result/j/0#0", wholeChunk(f, Result{Item: 150, Completed: true}))
	f.Add("result/j/0#0", wholeChunk(f, Result{Item: -1, Completed: true}))
	f.Add("result/j/-1#0", wholeChunk(f, Result{Item: 1}))
	f.Add("progress/j/7#0", wholeChunk(f, Progress{Events: -1}))
	f.Add("content/j#0", wholeChunk(f, Job{ID: "j"}))
	f.Add("items/j/digest#0", wholeChunk(f, Job{ID: "j"}))
	f.Add("items/j#1", []byte{0, 3, 1})
	f.Add("job/j#0", wholeChunk(f, summary{Tokens: []int64{-1, 1 << 62}}))
	f.Add("end/j#0", []byte{0, 1, 1})
	f.Add("result/j/0#0", []byte{255, 255, 1})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		table := newTable(time.Now, func(string, *summary) {}, func(keyedlog.Partition, keyedlog.Record, error) {})
		job := Job{ID: "j", Items: []Item{{ID: "a", Tokens: 1}, {ID: "b", Tokens: 1}}}
		v := view{table, keyedlog.Partition{}}
		v.Apply([]keyedlog.Record{
			{Key: "job/j#0", Value: wholeChunk(t, job.summary(""))}, {Key: "content/j#0", Value: wholeChunk(t, job)}, {Key: key, Value: value},
		})
		_, _, _ = table.list("j", 0)
		_, _, _ = table.itemBody("j", "a")
		table.openJobs(func(string) bool { return true })
		table.expiredBefore(time.Now().Add(time.Hour), func(string) bool { return true })
	})
}
