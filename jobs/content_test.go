package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	testRecordBytes = 2000
	testRetention   = time.Minute
)

// randomJob returns a job of a submission with random sizes.
func randomJob(rng *rand.Rand) Job {
	j := Job{ID: "w/j", Host: "h", Route: "route", SubmittedMs: 1 + rng.Int64N(1<<41)}
	for i := range 1 + rng.IntN(20) {
		item := Item{ID: fmt.Sprint("i", i), Target: "/b/", Tokens: rng.Int64N(1000), Body: make([]byte, rng.IntN(800)), Header: make(map[string]string)}
		for h := range rng.IntN(20) {
			item.Header[fmt.Sprint("H-", h)] = fmt.Sprint(i)
		}
		j.Items = append(j.Items, item)
	}
	return j
}

// submitted returns the records of a submission of j: its content and its summary.
func submitted(t *testing.T, j Job, oldestFormat int) (contents []contentValue, accepted []keyedlog.Record) {
	t.Helper()
	encoded, err := encode(&j)
	assert.NilError(t, err)
	contents = contentValues(j.ID, encoded, testRecordBytes, oldestFormat)
	encoded, err = encode(j.summary(contents[0].id.digest))
	assert.NilError(t, err)
	return contents, splitValue(jobKey(j.ID), encoded, testRecordBytes)
}

// strictTable returns a table that fails the test at a record that it can't read.
func strictTable(t *testing.T) *Table {
	return newTable(time.Now, func(string, *summary) {}, func(_ keyedlog.Partition, r keyedlog.Record, err error) {
		t.Errorf("record %s: %v", r.Key, err)
	})
}

// TestRecordsOfTwoSubmissionsAreEqualOrHaveDifferentKeys guards against submissions that replace records of one another,
// whatever their sizes are and wherever the boundaries of records and calls lie.
func TestRecordsOfTwoSubmissionsAreEqualOrHaveDifferentKeys(t *testing.T) {
	rng := rand.New(rand.NewPCG(52, 7))
	for range 300 {
		first := randomJob(rng)
		second := first
		second.SubmittedMs += rng.Int64N(2)
		second.Route = []string{"route", "renamed"}[rng.IntN(2)]
		written := make(map[string]string)
		for _, j := range []Job{first, second, first} {
			contents, _ := submitted(t, j, StoredFormat)
			assert.Equal(t, len(contents), 1)
			for _, r := range contents[0].records {
				if before, ok := written[r.Key]; ok {
					assert.Equal(t, string(r.Value), before, r.Key)
				}
				written[r.Key] = string(r.Value)
			}
		}
	}
}

// TestItemsAreThoseOfTheContentThatTheSummaryNames guards against a job whose items come from a submission that was not
// accepted, in whatever order the records are read.
func TestItemsAreThoseOfTheContentThatTheSummaryNames(t *testing.T) {
	rng := rand.New(rand.NewPCG(52, 8))
	for range 300 {
		first := randomJob(rng)
		second := first
		second.SubmittedMs++
		accepted, summary := submitted(t, first, StoredFormat)
		other, _ := submitted(t, second, sharedContentFormat)
		records := append(append([]keyedlog.Record(nil), accepted[0].records...), summary...)
		for _, c := range other {
			records = append(records, c.records...)
		}
		rng.Shuffle(len(records), func(i, k int) { records[i], records[k] = records[k], records[i] })
		table := strictTable(t)
		view{table, keyedlog.Partition{}}.Apply(records)
		e := table.byID[first.ID]
		assert.Equal(t, len(e.items), len(first.Items))
		for _, c := range e.contents {
			assert.Assert(t, c.items == nil, "content is kept twice")
		}
	}
}

// TestContentThatIsNotWholeIsNotRead guards against the items of a mix of two values.
func TestContentThatIsNotWholeIsNotRead(t *testing.T) {
	j := randomJob(rand.New(rand.NewPCG(52, 9)))
	j.Items[0].Body = make([]byte, 3*testRecordBytes)
	contents, accepted := submitted(t, j, StoredFormat)
	contents[0].records[1].Value[chunkHeaderBytes+100] ^= 1
	skipped := 0
	table := newTable(time.Now, func(string, *summary) {}, func(keyedlog.Partition, keyedlog.Record, error) { skipped++ })
	view{table, keyedlog.Partition{}}.Apply(append(contents[0].records, accepted...))
	assert.Equal(t, skipped, 1)
	assert.Assert(t, table.byID[j.ID].items == nil)
}

// TestContentOfEverySubmissionIsDeleted guards against records that stay in the log for ever: those of submissions that
// were not accepted, as a whole or in part, before and after the job is deleted.
func TestContentOfEverySubmissionIsDeleted(t *testing.T) {
	all := func(string) bool { return true }
	j := randomJob(rand.New(rand.NewPCG(52, 10)))
	j.Items[0].Body = make([]byte, 5*testRecordBytes)
	j.SubmittedMs = time.Now().Add(-2 * testRetention).UnixMilli()
	later := j
	later.SubmittedMs++
	accepted, summary := submitted(t, j, sharedContentFormat)
	late, _ := submitted(t, later, StoredFormat)

	for name, records := range map[string][]keyedlog.Record{
		"accepted":              append(append(append(summary, accepted[0].records...), accepted[1].records...), late[0].records[1:3]...),
		"not accepted":          late[0].records,
		"not accepted, in part": late[0].records[2:4],
	} {
		table := strictTable(t)
		v := view{table, keyedlog.Partition{}}
		v.Apply(records)
		if e := table.byID[j.ID]; e.job != nil {
			e.cancelled = true
		}
		now := time.Now()
		if name == "not accepted, in part" {
			assert.Equal(t, len(table.expiredBefore(now.Add(-testRetention), all)), 0, name)
			now = now.Add(2 * testRetention)
		}
		expired := table.expiredBefore(now.Add(-testRetention), all)
		assert.Equal(t, len(expired), 1, name)
		deleted := make(map[string]bool)
		for _, r := range append(expired[0].contents, tombstones(jobKey(j.ID), expired[0].summaryChunks)...) {
			deleted[r.Key] = true
		}
		for _, r := range records {
			assert.Assert(t, deleted[r.Key], "%s: %s stays", name, r.Key)
		}
		v.Apply(expired[0].contents)
		v.Apply(tombstones(jobKey(j.ID), expired[0].summaryChunks))
		assert.Equal(t, len(table.byID), 0, name)
		assert.Equal(t, len(table.chunks.partial), 0, name)
	}
}

// TestJobWithUnreadableContentIsDeleted guards against a job that is kept for ever, as an older release has stored a mix of two
// submissions and none of its items can be run.
func TestJobWithUnreadableContentIsDeleted(t *testing.T) {
	j := Job{ID: "j", SubmittedMs: time.Now().Add(-2 * testRetention).UnixMilli(), Items: []Item{{ID: "i", Tokens: 1}}}
	for name, chunk := range map[string][]byte{"unreadable": {0, 1, 0xff}, "readable": wholeChunk(t, j), "not read yet": {0, 2, 1}} {
		table := newTable(time.Now, func(string, *summary) {}, func(keyedlog.Partition, keyedlog.Record, error) {})
		view{table, keyedlog.Partition{}}.Apply([]keyedlog.Record{
			{Key: "job/j#0", Value: wholeChunk(t, j.summary(""))}, {Key: "content/j#0", Value: chunk},
		})
		expired := table.expiredBefore(time.Now().Add(-testRetention), func(string) bool { return true })
		assert.Equal(t, len(expired) == 1, name == "unreadable", name)
	}
}
