package jobs

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// The prefixes of record keys: the summary of a job, its content by digest, its content as older
// releases write it, its cancellation, a result by position, the progress of an item by index.
// ownerKey is the key of the name of the process that has claimed a shard.
const (
	jobPrefix      = "job/"
	contentPrefix  = "items/"
	sharedPrefix   = "content/"
	cancelPrefix   = "end/"
	resultPrefix   = "result/"
	progressPrefix = "progress/"
	ownerPrefix    = "owner/"
	ownerKey       = ownerPrefix + "member"
)

func jobKey(id string) string { return jobPrefix + id }

func cancelKey(id string) string { return cancelPrefix + id }

func resultKey(id string, position int) string {
	return resultPrefix + id + "/" + strconv.Itoa(position)
}

func progressKey(id string, item int) string { return progressPrefix + id + "/" + strconv.Itoa(item) }

// entry is the state of one job. Its records may be read in any order.
type entry struct {
	// job is nil until the job is accepted. submitted is when it was first received, by
	// the clock of this process.
	job       *summary
	submitted time.Time
	// items are those of the content that the job was accepted with. They are nil until it has been
	// read, which only the shard's owner does.
	items []Item
	// contents are all that submissions of the job have written, by digest.
	contents map[string]*content
	// offset is the offset of the job's summary.
	offset    int64
	cancelled bool
	results   []*Result // by position; nil for a gap that is not applied yet
	// done holds the indices of the items that have a result.
	done     map[int]bool
	progress map[int]Progress
	// summaryChunks, resultChunks and progressChunks count the records that hold the summary, each
	// result by position and the progress of each item. They and those of the contents determine the
	// tombstones that delete the job.
	summaryChunks  int
	resultChunks   map[int]int
	progressChunks map[int]int
	// changed is closed at the next result or when the job is cancelled.
	changed chan struct{}
}

func newEntry() *entry {
	return &entry{
		contents: make(map[string]*content), done: make(map[int]bool), progress: make(map[int]Progress),
		resultChunks: make(map[int]int), progressChunks: make(map[int]int), changed: make(chan struct{}),
	}
}

// contiguousResults returns the results before the first gap.
func (e *entry) contiguousResults() []*Result {
	for i, r := range e.results {
		if r == nil {
			return e.results[:i]
		}
	}
	return e.results
}

// open reports whether items of the job can still get results.
func (e *entry) open() bool { return e.job != nil && !e.cancelled && len(e.done) < len(e.job.Tokens) }

// Table is the state of all jobs, as read from the log. It is safe for concurrent use.
type Table struct {
	onUnreadable func(p keyedlog.Partition, r keyedlog.Record, err error)
	onAccepted   func(id string, j *summary)
	// now returns the time of day.
	now func() time.Time

	mu     sync.RWMutex
	byID   map[string]*entry
	chunks assembler
}

// newTable returns an empty table, which calls accepted for each newly accepted job
// and unreadable for each record that it skips.
func newTable(now func() time.Time, accepted func(id string, j *summary), unreadable func(keyedlog.Partition, keyedlog.Record, error)) *Table {
	return &Table{now: now, onAccepted: accepted, onUnreadable: unreadable, byID: make(map[string]*entry), chunks: newAssembler()}
}

// view applies one partition to the table. It implements keyedlog.View.
type view struct {
	table *Table
	part  keyedlog.Partition
}

// Rebuild implements keyedlog.View. Records of jobs are immutable, so the content of
// the table stays. Records that were deleted while the follower missed a part of the
// history are deleted here when their retention is over.
func (v view) Rebuild(records []keyedlog.Record) { v.Apply(records) }

// Apply implements keyedlog.View.
func (v view) Apply(records []keyedlog.Record) {
	accepted := make(map[string]*summary)
	v.table.mu.Lock()
	for _, r := range records {
		if err := v.table.apply(r, accepted); err != nil {
			v.table.onUnreadable(v.part, r, err)
		}
	}
	v.table.mu.Unlock()
	for id, job := range accepted {
		v.table.onAccepted(id, job)
	}
}

// apply applies one record and adds newly accepted jobs to accepted.
func (t *Table) apply(r keyedlog.Record, accepted map[string]*summary) error {
	key, i, err := parseChunkKey(r.Key)
	if err != nil {
		return err
	}
	if r.Value == nil {
		t.applyTombstone(key)
		return nil
	}
	chunks, count, err := t.chunks.add(key, i, r.Value)
	if err != nil {
		return err
	}
	if c, ok := parseContentKey(key); ok {
		return t.applyContent(c, chunks, count)
	}
	if chunks == nil {
		return nil
	}
	value := bytes.Join(chunks, nil)
	kind, name, _ := strings.Cut(key, "/")
	switch kind + "/" {
	case jobPrefix:
		return t.applyJob(name, value, count, r.Offset, accepted)
	case cancelPrefix:
		t.applyCancel(name)
		return nil
	case resultPrefix:
		return t.applyResult(name, value, count)
	case progressPrefix:
		return t.applyProgress(name, value, count)
	case ownerPrefix:
		return nil // the claim of a shard is not part of a job
	}
	return errors.Errorf("jobs: key %q has an unknown prefix", r.Key)
}

func (t *Table) entry(id string) *entry {
	e := t.byID[id]
	if e == nil {
		e = newEntry()
		t.byID[id] = e
	}
	return e
}

// applyJob keeps the first record of a job; later ones are resends of it.
func (t *Table) applyJob(id string, value []byte, chunks int, offset int64, accepted map[string]*summary) error {
	e := t.entry(id)
	if e.job != nil {
		return nil
	}
	job := &summary{}
	if err := decode(value, job); err != nil {
		return err
	}
	e.job, e.summaryChunks, e.offset = job, chunks, offset
	e.submitted = localTime(job.submitted(), t.now(), time.Now())
	e.selectContent()
	accepted[id] = job
	return nil
}

func (t *Table) applyCancel(id string) {
	e := t.entry(id)
	if !e.cancelled {
		e.cancelled = true
		e.notify()
	}
}

func (t *Table) applyResult(name string, value []byte, chunks int) error {
	id, position, err := cutIndex(name)
	if err != nil {
		return err
	}
	result := &Result{}
	if err := decode(value, result); err != nil {
		return err
	}
	if result.Item < 0 || result.Item >= MaxItems {
		return errors.Errorf("jobs: result %s is of item %d", name, result.Item)
	}
	e := t.entry(id)
	e.resultChunks[position] = chunks
	e.setResult(position, result)
	return nil
}

func (t *Table) applyProgress(name string, value []byte, chunks int) error {
	id, item, err := cutIndex(name)
	if err != nil {
		return err
	}
	var p Progress
	if err := decode(value, &p); err != nil {
		return err
	}
	e := t.entry(id)
	e.progressChunks[item] = chunks
	if !e.done[item] {
		e.progress[item] = p
	}
	return nil
}

// localTime converts a time of day that another process has measured to a time of this
// process's monotonic clock, so that later jumps of the time of day do not change it. The
// time of day is now, and the monotonic clock is at local. Nothing was received in the
// future.
func localTime(at, now, local time.Time) time.Time {
	return local.Add(-max(now.Sub(at), 0))
}

// setResult stores the result at a position; a stored result is never replaced.
func (e *entry) setResult(position int, r *Result) {
	if position < 0 || position >= MaxItems {
		return
	}
	for len(e.results) <= position {
		e.results = append(e.results, nil)
	}
	if e.results[position] != nil {
		return
	}
	e.results[position] = r
	e.done[r.Item] = true
	delete(e.progress, r.Item)
	e.notify()
}

func (e *entry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// clearJobs clears the content, the results and the progress of the jobs selected by
// include, because this process does not read what another owner writes. Values of which
// only some records have been read are cleared too: another owner may replace them.
func (t *Table) clearJobs(include func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.byID {
		if !include(id) {
			continue
		}
		e.items, e.results = nil, nil
		clear(e.contents)
		clear(e.done)
		clear(e.progress)
		clear(e.resultChunks)
		clear(e.progressChunks)
		e.notify()
	}
	t.chunks.dropIf(func(key string) bool {
		id, ok := shardJob(key)
		return ok && include(id)
	})
}

// shardJob returns the job of a value that is in a shard. It returns false for keys of other values.
func shardJob(key string) (id string, ok bool) {
	if c, ok := parseContentKey(key); ok {
		return c.job, true
	}
	name, ok := strings.CutPrefix(key, resultPrefix)
	if !ok {
		name, ok = strings.CutPrefix(key, progressPrefix)
	}
	id, _, err := cutIndex(name)
	return id, ok && err == nil
}

// applyTombstone applies a tombstone: that of a summary deletes the job, that of content which no
// job was accepted with deletes the content. Those of other records have no effect.
func (t *Table) applyTombstone(key string) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		delete(t.byID, id)
		return
	}
	if c, ok := parseContentKey(key); ok {
		t.chunks.drop(key)
		t.deleteContent(c)
	}
}

// cutIndex splits a key name into the job's id and the position or item index.
func cutIndex(name string) (string, int, error) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", 0, errors.Errorf("jobs: key name %q has no index", name)
	}
	n, err := strconv.Atoi(name[i+1:])
	return name[:i], n, errors.Wrapf(err, "jobs: key name %q has an invalid index", name)
}
