package jobs

import (
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// The keys of records: a job, its end, a result by its position, the progress
// of an item by its index.
const (
	jobPrefix      = "job/"
	contentPrefix  = "content/"
	endPrefix      = "end/"
	resultPrefix   = "result/"
	progressPrefix = "progress/"
)

func jobKey(id string) string { return jobPrefix + id }

func contentKey(id string) string { return contentPrefix + id }

func endKey(id string) string { return endPrefix + id }

func resultKey(id string, position int) string {
	return resultPrefix + id + "/" + strconv.Itoa(position)
}

func progressKey(id string, item int) string { return progressPrefix + id + "/" + strconv.Itoa(item) }

// entry is what is known of one job. Its parts may be seen in any order.
type entry struct {
	// job is nil until the job is known to be accepted.
	job *summary
	// items is nil until the content has been read, which only the shard's owner
	// does.
	items []Item
	// contentMs is when the job of the content was submitted, in Unix
	// milliseconds.
	contentMs int64
	// offset is where the job's summary stands.
	offset  int64
	ended   bool
	results []*Result // by position; nil for a gap that is not folded yet
	// listed tells for each item whether it has a result.
	listed   map[int]bool
	progress map[int]Progress
	// pieces, contentPieces, resultPieces and progressed count the records that
	// hold the summary, the content, each result by position and each progress by
	// item, for dropping them.
	pieces        int
	contentPieces int
	resultPieces  map[int]int
	progressed    map[int]int
	// changed is closed at the next result or at the end of the job.
	changed chan struct{}
}

func newEntry() *entry {
	return &entry{
		listed: make(map[int]bool), progress: make(map[int]Progress),
		resultPieces: make(map[int]int), progressed: make(map[int]int), changed: make(chan struct{}),
	}
}

// ready returns the results without a gap before them.
func (e *entry) ready() []*Result {
	for i, r := range e.results {
		if r == nil {
			return e.results[:i]
		}
	}
	return e.results
}

// open reports whether items of the job may still get results.
func (e *entry) open() bool { return e.job != nil && !e.ended && len(e.listed) < len(e.job.Tokens) }

// Table is the folded state of all jobs. It is safe for concurrent use.
type Table struct {
	unreadable func(p keyedlog.Partition, r keyedlog.Record, err error)
	accepted   func(id string, j *summary)

	mu     sync.RWMutex
	byID   map[string]*entry
	pieces assembler
}

// newTable returns an empty table. accepted is told of each job that joins, and
// unreadable of records that are skipped.
func newTable(accepted func(id string, j *summary), unreadable func(keyedlog.Partition, keyedlog.Record, error)) *Table {
	return &Table{accepted: accepted, unreadable: unreadable, byID: make(map[string]*entry), pieces: newAssembler()}
}

// view feeds one partition into the table. It implements keyedlog.View.
type view struct {
	table *Table
	part  keyedlog.Partition
}

// Rebuild implements keyedlog.View. Records of jobs are immutable, so what the
// table holds already stays; what was dropped in the gap is dropped when its
// time to stay is over.
func (v view) Rebuild(records []keyedlog.Record) { v.Apply(records) }

// Apply implements keyedlog.View.
func (v view) Apply(records []keyedlog.Record) {
	joined := make(map[string]*summary)
	v.table.mu.Lock()
	for _, r := range records {
		if err := v.table.apply(r, joined); err != nil {
			v.table.unreadable(v.part, r, err)
		}
	}
	v.table.mu.Unlock()
	for id, job := range joined {
		v.table.accepted(id, job)
	}
}

// apply folds one record; jobs that become known are added to joined.
func (t *Table) apply(r keyedlog.Record, joined map[string]*summary) error {
	key, i, err := pieceName(r.Key)
	if err != nil {
		return err
	}
	if r.Value == nil {
		t.drop(key)
		return nil
	}
	value, count, whole, err := t.pieces.add(key, i, r.Value)
	if err != nil || !whole {
		return err
	}
	kind, name, _ := strings.Cut(key, "/")
	switch kind + "/" {
	case jobPrefix:
		return t.applyJob(name, value, count, r.Offset, joined)
	case contentPrefix:
		return t.applyContent(name, value, count)
	case endPrefix:
		t.applyEnd(name)
		return nil
	case resultPrefix:
		return t.applyResult(name, value, count)
	case progressPrefix:
		return t.applyProgress(name, value, count)
	}
	return errors.Errorf("jobs: key %q: unknown kind", r.Key)
}

func (t *Table) entry(id string) *entry {
	e := t.byID[id]
	if e == nil {
		e = newEntry()
		t.byID[id] = e
	}
	return e
}

// applyJob keeps the first record of a job: a later one is a resend of it.
func (t *Table) applyJob(id string, value []byte, pieces int, offset int64, joined map[string]*summary) error {
	e := t.entry(id)
	if e.job != nil {
		return nil
	}
	job := &summary{}
	if err := decode(value, job); err != nil {
		return err
	}
	e.job, e.pieces, e.offset = job, pieces, offset
	joined[id] = job
	return nil
}

func (t *Table) applyContent(id string, value []byte, pieces int) error {
	e := t.entry(id)
	if e.items != nil {
		return nil
	}
	var job Job
	if err := decode(value, &job); err != nil {
		return err
	}
	e.items, e.contentPieces, e.contentMs = job.Items, pieces, job.SubmittedMs
	return nil
}

func (t *Table) applyEnd(id string) {
	e := t.entry(id)
	if !e.ended {
		e.ended = true
		e.notify()
	}
}

func (t *Table) applyResult(name string, value []byte, pieces int) error {
	id, position, err := cutNumber(name)
	if err != nil {
		return err
	}
	result := &Result{}
	if err := decode(value, result); err != nil {
		return err
	}
	e := t.entry(id)
	e.resultPieces[position] = pieces
	e.put(position, result)
	return nil
}

func (t *Table) applyProgress(name string, value []byte, pieces int) error {
	id, item, err := cutNumber(name)
	if err != nil {
		return err
	}
	var p Progress
	if err := decode(value, &p); err != nil {
		return err
	}
	e := t.entry(id)
	e.progressed[item] = pieces
	if !e.listed[item] {
		e.progress[item] = p
	}
	return nil
}

// put stores the result at a position, whose content never changes.
func (e *entry) put(position int, r *Result) {
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
	e.listed[r.Item] = true
	delete(e.progress, r.Item)
	e.notify()
}

func (e *entry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// forget drops the content, the results and the progress of jobs that mine
// accepts: what another process writes of them is not seen here.
func (t *Table) forget(mine func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.byID {
		if !mine(id) {
			continue
		}
		e.items, e.results = nil, nil
		clear(e.listed)
		clear(e.progress)
		clear(e.resultPieces)
		clear(e.progressed)
		e.notify()
	}
}

// drop forgets a job when the record of the job itself is dropped. The drops of
// its other records need nothing more.
func (t *Table) drop(key string) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		delete(t.byID, id)
	}
}

func cutNumber(name string) (string, int, error) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", 0, errors.Errorf("jobs: name %q has no number", name)
	}
	n, err := strconv.Atoi(name[i+1:])
	return name[:i], n, errors.Wrapf(err, "jobs: name %q", name)
}
