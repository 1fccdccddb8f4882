package batch

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/journal"
)

// ErrRefused says that an entry contradicts what was folded before it and has
// no effect.
var ErrRefused = errors.New("batch: refused")

// Table is the fold of one shard's stream. Its mutex guards every field; Apply
// is called by one goroutine, the queries by any.
type Table struct {
	mu    sync.RWMutex
	life  *lifecycle
	files map[string]*fileRow
	jobs  map[string]*jobRow
	// open holds the jobs that are not terminal.
	open map[string]*jobRow
	keys map[keyID]keyRow
	// order lists the ids of files and jobs of each workspace as accepted.
	fileOrder map[string][]string
	jobOrder  map[string][]string
}

// keyID names an idempotency key of a workspace for one type of object.
type keyID struct {
	workspace, key string
	job            bool
}

type keyRow struct{ id, hash string }

// content is the manifest of a file's content, shared by the file and the
// jobs that read it.
type content struct{ manifest blob.Manifest }

type fileRow struct {
	file    File // without its manifest
	content *content
	at      journal.Position
}

type jobRow struct {
	job     Job
	input   *content
	status  Status
	at      journal.Position
	service string
	total   uint32
	blocks  []int64
	errors  []LineError

	doneBits      bitmap
	ok, failed    uint32
	segments      []segmentRow
	startedAt     int64
	failedAt      int64
	cancelledAt   int64
	endedAt       int64
	ended         bool
	expired       bool
	output, errID string
}

// segmentRow stands for one result segment. Won marks the items of the segment
// whose first completion it holds; nil if it holds all of them.
type segmentRow struct {
	offset      journal.Offset
	index       uint32
	first, last uint32
	won         []byte
}

func (r *jobRow) done() uint32 { return r.ok + r.failed }

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		life:      newLifecycle(),
		files:     make(map[string]*fileRow),
		jobs:      make(map[string]*jobRow),
		open:      make(map[string]*jobRow),
		keys:      make(map[keyID]keyRow),
		fileOrder: make(map[string][]string),
		jobOrder:  make(map[string][]string),
	}
}

// Apply implements journal.Fold.
func (t *Table) Apply(pos journal.Position, e journal.Entry) error {
	switch e.Kind {
	case blob.KindChunk:
		return nil
	case KindFile:
		return applyAs(t, pos, e, t.applyFile)
	case KindDeleteFile:
		return applyAs(t, pos, e, t.applyDeleteFile)
	case KindJob:
		return applyAs(t, pos, e, t.applyJob)
	case KindStarted:
		return applyAs(t, pos, e, t.applyStarted)
	case KindFailed:
		return applyAs(t, pos, e, t.applyFailed)
	case KindSegment:
		return applyAs(t, pos, e, t.applySegment)
	case KindCancel:
		return applyAs(t, pos, e, t.applyCancel)
	case KindFinished:
		return applyAs(t, pos, e, t.applyFinished)
	}
	return errors.Wrapf(ErrRefused, "unknown entry kind %d", e.Kind)
}

// applyAs decodes an entry without the lock and applies it under the lock.
func applyAs[R any](t *Table, pos journal.Position, e journal.Entry, apply func(journal.Position, R) error) error {
	var r R
	if err := e.Decode(&r); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return apply(pos, r)
}

func (t *Table) applyFile(pos journal.Position, f File) error {
	if err := f.check(); err != nil {
		return err
	}
	if _, ok := t.files[f.ID]; ok {
		return errors.Wrapf(ErrRefused, "file %s exists", f.ID)
	}
	if err := t.claimKey(keyID{f.Workspace, f.Key, false}, f.ID, f.KeyHash); err != nil {
		return err
	}
	t.addFile(pos, f)
	return nil
}

// addFile adds a file whose id is free; the caller holds mu.
func (t *Table) addFile(pos journal.Position, f File) {
	row := &fileRow{file: f, content: &content{manifest: f.Content}, at: pos}
	row.file.Content = nil
	t.files[f.ID] = row
	t.fileOrder[f.Workspace] = append(t.fileOrder[f.Workspace], f.ID)
}

// claimKey binds an idempotency key to an object; a key that is bound already
// refuses the second object.
func (t *Table) claimKey(k keyID, id, hash string) error {
	if k.key == "" {
		return nil
	}
	if row, ok := t.keys[k]; ok {
		return errors.Wrapf(ErrRefused, "key belongs to %s", row.id)
	}
	t.keys[k] = keyRow{id: id, hash: hash}
	return nil
}

func (t *Table) applyDeleteFile(_ journal.Position, d DeleteFile) error {
	row, ok := t.files[d.ID]
	if !ok || row.file.Workspace != d.Workspace {
		return errors.Wrapf(ErrRefused, "no file %s", d.ID)
	}
	delete(t.files, d.ID)
	delete(t.keys, keyID{d.Workspace, row.file.Key, false})
	t.fileOrder[d.Workspace] = without(t.fileOrder[d.Workspace], d.ID)
	return nil
}

func without(ids []string, id string) []string {
	for i, x := range ids {
		if x == id {
			return append(ids[:i:i], ids[i+1:]...)
		}
	}
	return ids
}

func (t *Table) applyJob(pos journal.Position, j Job) error {
	if err := j.check(); err != nil {
		return err
	}
	if _, ok := t.jobs[j.ID]; ok {
		return errors.Wrapf(ErrRefused, "job %s exists", j.ID)
	}
	input, ok := t.files[j.InputFile]
	if !ok || input.file.Workspace != j.Workspace {
		return errors.Wrapf(ErrRefused, "no file %s", j.InputFile)
	}
	if err := t.claimKey(keyID{j.Workspace, j.Key, true}, j.ID, j.KeyHash); err != nil {
		return err
	}
	row := &jobRow{job: j, input: input.content, status: Validating, at: pos}
	t.jobs[j.ID], t.open[j.ID] = row, row
	t.jobOrder[j.Workspace] = append(t.jobOrder[j.Workspace], j.ID)
	return nil
}

// job returns a job that may still change.
func (t *Table) job(id string) (*jobRow, error) {
	r, ok := t.jobs[id]
	if !ok {
		return nil, errors.Wrapf(ErrRefused, "no job %s", id)
	}
	if r.status.Terminal() {
		return nil, errors.Wrapf(ErrRefused, "job %s is %s", id, r.status)
	}
	return r, nil
}

func (t *Table) applyStarted(_ journal.Position, s Started) error {
	if err := s.check(); err != nil {
		return err
	}
	r, err := t.job(s.Job)
	if err != nil {
		return err
	}
	if r.startedAt != 0 || r.failedAt != 0 {
		return errors.Wrapf(ErrRefused, "job %s is validated already", s.Job)
	}
	r.startedAt, r.service, r.total, r.blocks = s.At, s.Service, s.Total, s.Blocks
	r.doneBits = newBitmap(s.Total)
	return t.settle(r)
}

func (t *Table) applyFailed(_ journal.Position, f Failed) error {
	r, err := t.job(f.Job)
	if err != nil {
		return err
	}
	if r.startedAt != 0 || r.cancelledAt != 0 {
		return errors.Wrapf(ErrRefused, "job %s is %s", f.Job, r.status)
	}
	r.failedAt, r.errors = f.At, f.Errors
	return t.settle(r)
}

func (t *Table) applySegment(pos journal.Position, s Segment) error {
	if err := s.check(); err != nil {
		return err
	}
	r, err := t.job(s.Job)
	if err != nil {
		return err
	}
	if last := s.Items[len(s.Items)-1]; r.startedAt == 0 || last >= r.total {
		return errors.Wrapf(ErrRefused, "job %s has no item %d", s.Job, last)
	}
	won := make([]byte, (len(s.Items)+7)/8)
	n := 0
	for i, item := range s.Items {
		if r.doneBits.has(item) {
			continue
		}
		r.doneBits.set(item)
		won[i/8] |= 1 << (i % 8)
		n++
		if s.failed(i) {
			r.failed++
		} else {
			r.ok++
		}
	}
	if n == 0 {
		return nil
	}
	row := segmentRow{offset: pos.Offset, index: uint32(pos.Index), first: s.Items[0], last: s.Items[len(s.Items)-1]}
	if n < len(s.Items) {
		row.won = won
	}
	r.segments = append(r.segments, row)
	return t.settle(r)
}

func (t *Table) applyCancel(_ journal.Position, c Cancel) error {
	r, err := t.job(c.Job)
	if err != nil {
		return err
	}
	if r.job.Workspace != c.Workspace {
		return errors.Wrapf(ErrRefused, "no job %s", c.Job)
	}
	if r.cancelledAt == 0 {
		r.cancelledAt = max(c.At, 1)
	}
	return t.settle(r)
}

func (t *Table) applyFinished(pos journal.Position, f Finished) error {
	r, err := t.job(f.Job)
	if err != nil {
		return err
	}
	if f.Done != r.done() {
		return errors.Wrapf(ErrRefused, "output covers %d items of job %s, which has %d", f.Done, f.Job, r.done())
	}
	if !f.Expired && r.cancelledAt == 0 && (r.total == 0 || r.done() != r.total) {
		return errors.Wrapf(ErrRefused, "job %s has %d of %d items", f.Job, r.done(), r.total)
	}
	if err := t.checkOutputs(r, f); err != nil {
		return err
	}
	if f.Output != nil {
		r.output = f.Output.ID
		t.addFile(pos, *f.Output)
	}
	if f.Errors != nil {
		r.errID = f.Errors.ID
		t.addFile(pos, *f.Errors)
	}
	r.ended, r.expired, r.endedAt = true, f.Expired, f.At
	r.doneBits, r.segments, r.blocks = nil, nil, nil
	return t.settle(r)
}

// checkOutputs checks both output files before either has an effect.
func (t *Table) checkOutputs(r *jobRow, f Finished) error {
	for _, out := range []*File{f.Output, f.Errors} {
		if out == nil {
			continue
		}
		if err := out.check(); err != nil {
			return err
		}
		if _, ok := t.files[out.ID]; ok || out.Workspace != r.job.Workspace {
			return errors.Wrapf(ErrRefused, "output file %s", out.ID)
		}
	}
	if f.Output != nil && f.Errors != nil && f.Output.ID == f.Errors.ID {
		return errors.Wrapf(ErrRefused, "output file %s", f.Output.ID)
	}
	return nil
}

// settle advances a job's lifecycle; the caller holds mu.
func (t *Table) settle(r *jobRow) error {
	err := t.life.settle(r)
	if r.status.Terminal() {
		delete(t.open, r.job.ID)
	}
	return err
}
