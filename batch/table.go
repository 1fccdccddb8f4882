package batch

import (
	"cmp"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
)

// ErrRefused reports an entry that contradicts the entries folded before it. The
// entry has no effect.
var ErrRefused = errors.New("batch: entry refused")

// Table is the fold of one shard's stream. Its mutex guards every field. Apply is
// called by one goroutine; the queries are safe for concurrent use.
type Table struct {
	mu    sync.RWMutex
	life  *lifecycle
	files map[string]*fileRow
	jobs  map[string]*jobRow
	// open holds the jobs that are not terminal.
	open map[string]*jobRow
	keys map[keyID]keyRow
	// fileOrder and jobOrder list the ids of each workspace in order of acceptance.
	fileOrder map[string][]string
	jobOrder  map[string][]string
	// newest is the position of the newest entry applied.
	newest commitlog.Position
	// floor is the offset below which this table may have missed deletions: the
	// first offset applied, or the end of a gap.
	floor commitlog.Offset
	// applied reports that floor is set.
	applied bool
	// resets counts the calls of Reset.
	resets  int
	deleted map[fileID]tombstone
	// orphans are facts about jobs whose own record is below floor and whose
	// renewal has not been applied yet.
	orphans map[string][]orphan
}

// keyID identifies an idempotency key of a workspace for one type of object.
type keyID struct {
	workspace, key string
	job            bool
}

// fileID identifies a file that the table need not contain.
type fileID struct{ workspace, id string }

type keyRow struct{ id, hash string }

// content is the manifest of a file's content. The file shares it with the jobs
// that read the file.
type content struct{ manifest blob.Manifest }

// version determines which of two renewals of a row is newer, and its age.
type version struct {
	// accepted is the position of the row's own record.
	accepted commitlog.Position
	// base is the newest position that the writer of the row's newest record
	// had folded.
	base commitlog.Position
	// writtenAt is when that record was written, in Unix seconds.
	writtenAt int64
}

type fileRow struct {
	file    File // without its manifest
	content *content
	version
}

type jobRow struct {
	version
	// renewed reports that the row was created by a renewal.
	renewed bool
	job     Job
	input   *content
	status  Status
	service string
	total   uint32
	blocks  []int64
	errors  []LineError

	doneBits bitmap
	// startedPos is the position of the job's Started record, and lastSegment
	// that of the newest segment, whether or not the segment had an effect.
	startedPos            commitlog.Position
	lastSegment           commitlog.Position
	ok, failed            uint32
	segments              []segmentRow
	startedAt             int64
	failedAt              int64
	cancelledAt           int64
	endedAt               int64
	ended                 bool
	expired               bool
	expires               int64
	outputFile, errorFile string
}

// segmentRow is the row of one result segment. won marks the items of the segment
// whose first completion it holds; nil if it holds all of them.
type segmentRow struct {
	offset      commitlog.Offset
	index       uint32
	first, last uint32
	won         []byte
	version
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
		deleted:   make(map[fileID]tombstone),
		orphans:   make(map[string][]orphan),
	}
}

// Apply implements commitlog.Fold.
func (t *Table) Apply(pos commitlog.Position, e commitlog.Entry) error {
	switch e.Kind {
	case blob.KindChunk:
		t.noteProgress(pos)
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
	case KindRenewFile:
		return applyAs(t, pos, e, t.applyRenewFile)
	case KindRenewJob:
		return applyAs(t, pos, e, t.applyRenewJob)
	case KindRenewSegment:
		return applyAs(t, pos, e, t.applyRenewSegment)
	}
	return errors.Wrapf(ErrRefused, "unknown entry kind %d", e.Kind)
}

// applyAs decodes an entry without holding the lock and applies it holding the lock.
func applyAs[R any](t *Table, pos commitlog.Position, e commitlog.Entry, apply func(commitlog.Position, R) error) error {
	var r R
	t.noteProgress(pos)
	if err := e.Decode(&r); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return apply(pos, r)
}

// noteProgress stores how far the stream has been folded.
func (t *Table) noteProgress(pos commitlog.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.applied {
		t.applied, t.floor = true, pos.Offset
	}
	t.newest = pos
}

func (t *Table) applyFile(pos commitlog.Position, f File) error {
	if err := f.check(); err != nil {
		return err
	}
	if _, ok := t.files[f.ID]; ok {
		return errors.Wrapf(ErrRefused, "file %s exists already", f.ID)
	}
	if err := t.bindKey(keyID{f.Workspace, f.Key, false}, f.ID, f.KeyHash, pos); err != nil {
		return err
	}
	t.addFile(pos, f)
	return nil
}

// addFile adds a file whose id is not in use. The caller holds mu.
func (t *Table) addFile(pos commitlog.Position, f File) {
	t.putFile(f, version{accepted: pos, base: pos, writtenAt: f.Created})
}

func (t *Table) putFile(f File, v version) {
	row := &fileRow{file: f, content: &content{manifest: f.Content}, version: v}
	row.file.Content = nil
	t.files[f.ID] = row
	order := t.fileOrder[f.Workspace]
	t.fileOrder[f.Workspace] = insert(order, f.ID, func(id string) bool { return before(v.accepted, t.files[id].accepted) })
}

// insert inserts id before the trailing elements for which after returns true.
func insert(order []string, id string, after func(string) bool) []string {
	i := len(order)
	for i > 0 && after(order[i-1]) {
		i--
	}
	return slices.Insert(order, i, id)
}

// comparePositions compares positions in log order.
func comparePositions(a, b commitlog.Position) int {
	return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Index, b.Index))
}

func before(a, b commitlog.Position) bool { return comparePositions(a, b) < 0 }

// bindKey binds an idempotency key to an object that was accepted at a position.
// If the key is already bound, the object that was accepted first keeps it, and
// the other object does not exist. The caller holds mu.
func (t *Table) bindKey(k keyID, id, hash string, accepted commitlog.Position) error {
	if k.key == "" {
		return nil
	}
	if row, ok := t.keys[k]; ok {
		if !before(accepted, t.accepted(k, row.id)) {
			return errors.Wrapf(ErrRefused, "idempotency key is bound to %s", row.id)
		}
		t.drop(k, row.id)
	}
	t.keys[k] = keyRow{id: id, hash: hash}
	return nil
}

// accepted returns the position at which the holder of a key was accepted.
func (t *Table) accepted(k keyID, id string) commitlog.Position {
	if k.job {
		return t.jobs[id].accepted
	}
	return t.files[id].accepted
}

// drop removes a file, or a job with its output files, and unbinds its key. The
// caller holds mu.
func (t *Table) drop(k keyID, id string) {
	if k.key != "" {
		delete(t.keys, k)
	}
	if k.job {
		for _, out := range []string{t.jobs[id].outputFile, t.jobs[id].errorFile} {
			if _, ok := t.files[out]; ok {
				t.drop(keyID{workspace: k.workspace}, out)
			}
		}
		delete(t.jobs, id)
		delete(t.open, id)
		t.jobOrder[k.workspace] = remove(t.jobOrder[k.workspace], id)
		return
	}
	delete(t.files, id)
	t.fileOrder[k.workspace] = remove(t.fileOrder[k.workspace], id)
}

func (t *Table) applyDeleteFile(pos commitlog.Position, d DeleteFile) error {
	row, ok := t.files[d.ID]
	switch {
	case ok && row.file.Workspace == d.Workspace:
		t.drop(keyID{d.Workspace, row.file.Key, false}, d.ID)
	case !ok && t.floor > 0:
		// The file may have been accepted before the first record that this table folded.
	default:
		return errors.Wrapf(ErrRefused, "file %s does not exist", d.ID)
	}
	t.deleted[fileID{d.Workspace, d.ID}] = tombstone{at: pos.Offset, deletedAt: d.At}
	return nil
}

func remove(ids []string, id string) []string {
	for i, x := range ids {
		if x == id {
			return append(ids[:i:i], ids[i+1:]...)
		}
	}
	return ids
}
