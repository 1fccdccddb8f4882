package batch

import (
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
)

// The log keeps records for a limited time, so everything that must outlive that
// time is renewed, that is, appended again. A renewal carries Base, the newest
// position that its writer had folded. Of two renewals of a row the one with the
// higher base wins, whatever their order in the log, and a renewal adds only facts
// that the log held below its base. A renewer that was paused therefore overrides
// nothing newer.
//
// A table that starts after the beginning of the log has not folded the deletions
// before its start. It accepts a row from a renewal only if the base is not below
// the first offset that the table folded: any deletion is then either below the
// base, so that the renewer had folded it, or has been folded by this table.
//
// Every row has to be renewed twice within the log's retention: the second renewal
// completes a job whose input file was missing during the first, and a fact whose
// job was missing.
//
// The winner of an item is the segment that was accepted first. A table that
// starts late may fold a losing segment before the winner's renewal, so its counts
// of succeeded and failed items are exact only after the job has ended.

// RenewFile renews a file, with its content if that was written again.
type RenewFile struct {
	File     File               `cbor:"1,keyasint"`
	Accepted commitlog.Position `cbor:"2,keyasint"`
	Base     commitlog.Position `cbor:"3,keyasint"`
	At       int64              `cbor:"4,keyasint"`
}

// RenewJob renews a job without its segments.
type RenewJob struct {
	Job      Job                `cbor:"1,keyasint"`
	Accepted commitlog.Position `cbor:"2,keyasint"`
	Base     commitlog.Position `cbor:"3,keyasint"`
	At       int64              `cbor:"4,keyasint"`
	// Input is the manifest of the input; it is empty once the job has ended.
	Input       blob.Manifest `cbor:"5,keyasint,omitempty"`
	Started     *Started      `cbor:"6,keyasint,omitempty"`
	Failed      *Failed       `cbor:"7,keyasint,omitempty"`
	CancelledAt int64         `cbor:"8,keyasint,omitempty"`
	// StartedPos and LastSegment are the positions of those records.
	StartedPos  commitlog.Position `cbor:"10,keyasint"`
	LastSegment commitlog.Position `cbor:"11,keyasint"`
	// End is set for a job that ended after it had started or been cancelled.
	End *JobEnd `cbor:"9,keyasint,omitempty"`
}

// JobEnd is the end of a job as the table stores it.
type JobEnd struct {
	At         int64  `cbor:"1,keyasint"`
	Expired    bool   `cbor:"2,keyasint,omitempty"`
	Expires    int64  `cbor:"3,keyasint"`
	OutputFile string `cbor:"4,keyasint,omitempty"`
	ErrorFile  string `cbor:"5,keyasint,omitempty"`
	OK         uint32 `cbor:"6,keyasint"`
	Failed     uint32 `cbor:"7,keyasint"`
}

// RenewSegment renews a result segment with only those items whose first
// completion it holds. Accepted identifies the segment.
type RenewSegment struct {
	Segment  Segment            `cbor:"1,keyasint"`
	Accepted commitlog.Position `cbor:"2,keyasint"`
	Base     commitlog.Position `cbor:"3,keyasint"`
}

// tombstone marks a deleted file.
type tombstone struct {
	at        commitlog.Offset
	deletedAt int64
}

// orphan is a fact about a job that the table does not contain yet.
type orphan struct {
	pos  commitlog.Position
	fact any
}

var errStale = errors.Wrap(ErrRefused, "renewal is older than the folded state")

func (t *Table) applyRenewFile(_ commitlog.Position, n RenewFile) error {
	if err := n.File.check(); err != nil {
		return err
	}
	v := version{accepted: n.Accepted, base: n.Base, writtenAt: n.At}
	if row, ok := t.files[n.File.ID]; ok {
		if before(n.Base, row.base) || row.file.Workspace != n.File.Workspace {
			return errStale
		}
		row.version = v
		row.content.manifest = n.File.Content
		return nil
	}
	if _, gone := t.deleted[fileID{n.File.Workspace, n.File.ID}]; gone || n.Base.Offset < t.floor {
		return errStale
	}
	if t.floor == 0 {
		return errors.Wrapf(ErrRefused, "file %s does not exist", n.File.ID)
	}
	k := keyID{n.File.Workspace, n.File.Key, false}
	if err := t.bindKey(k, n.File.ID, n.File.KeyHash, n.Accepted); err != nil {
		return err
	}
	t.putFile(n.File, v)
	return nil
}

// check rejects a renewal whose facts do not form a valid lifecycle.
func (n RenewJob) check() error {
	switch {
	case n.End == nil && n.Started == nil:
		return nil
	case n.End == nil:
		return n.Started.check()
	case n.End.Expired, n.CancelledAt != 0:
		return nil
	case n.Started == nil, n.End.OK+n.End.Failed != n.Started.Total:
		return errors.Wrapf(commitlog.ErrFormat, "end of job %s does not cover all of its items", n.Job.ID)
	}
	return nil
}

func (t *Table) applyRenewJob(_ commitlog.Position, n RenewJob) error {
	if err := n.Job.check(); err != nil {
		return err
	}
	if err := n.check(); err != nil {
		return err
	}
	v := version{accepted: n.Accepted, base: n.Base, writtenAt: n.At}
	row, ok := t.jobs[n.Job.ID]
	if ok {
		if before(n.Base, row.base) || row.job.Workspace != n.Job.Workspace {
			return errStale
		}
		row.version = v
		if len(n.Input) > 0 {
			row.input.manifest = n.Input
		}
		return t.mergeJob(row, n)
	}
	if t.floor == 0 || n.Base.Offset < t.floor {
		return errStale
	}
	if err := t.bindKey(keyID{n.Job.Workspace, n.Job.Key, true}, n.Job.ID, n.Job.KeyHash, n.Accepted); err != nil {
		return err
	}
	row = &jobRow{renewed: true, lastSegment: n.LastSegment, version: v, job: n.Job, input: &content{manifest: n.Input}}
	if f, ok := t.files[n.Job.InputFile]; ok && n.End == nil && !before(f.base, n.Base) {
		row.input = f.content
	}
	t.putJob(row)
	if err := t.mergeJob(row, n); err != nil {
		return err
	}
	t.applyOrphans(n.Job.ID, n.Base)
	return nil
}

// mergeJob adds the facts of a renewal that the row does not have yet. The caller
// holds mu.
func (t *Table) mergeJob(r *jobRow, n RenewJob) error {
	if s := n.Started; s != nil && r.startedAt == 0 {
		r.startedAt, r.service, r.total, r.blocks = max(s.At, 1), s.Service, s.Total, s.Blocks
		r.startedPos = n.StartedPos
		if n.End == nil {
			r.doneBits = newBitmap(s.Total)
		}
	}
	if f := n.Failed; f != nil && r.failedAt == 0 {
		r.failedAt, r.errors, r.expires = max(f.At, 1), f.Errors, f.Expires
	}
	if r.cancelledAt == 0 && !r.ended {
		r.cancelledAt = n.CancelledAt
	}
	if e := n.End; e != nil && !r.ended {
		r.ended, r.endedAt, r.expired, r.expires = true, e.At, e.Expired, e.Expires
		r.outputFile, r.errorFile, r.ok, r.failed = e.OutputFile, e.ErrorFile, e.OK, e.Failed
		r.doneBits, r.segments, r.blocks = nil, nil, nil
	}
	return t.advance(r)
}

func (t *Table) applyRenewSegment(pos commitlog.Position, n RenewSegment) error {
	if err := n.Segment.check(); err != nil {
		return err
	}
	r, err := t.openJob(pos, n.Segment.Job, n)
	if err != nil {
		return err
	}
	v := version{accepted: n.Accepted, base: n.Base, writtenAt: n.Segment.At}
	for i := range r.segments {
		row := &r.segments[i]
		if row.accepted != n.Accepted {
			continue
		}
		if before(n.Base, row.base) {
			return errStale
		}
		row.offset, row.index, row.won, row.version = pos.Offset, uint32(pos.Index), nil, v
		row.first, row.last = n.Segment.Items[0], n.Segment.Items[len(n.Segment.Items)-1]
		return nil
	}
	if t.floor == 0 || n.Accepted.Offset >= t.floor {
		return errors.Wrapf(ErrRefused, "job %s does not have the renewed segment", n.Segment.Job)
	}
	if last := n.Segment.Items[len(n.Segment.Items)-1]; r.doneBits == nil || last >= r.total {
		return errors.Wrapf(ErrRefused, "job %s has no item %d", n.Segment.Job, last)
	}
	t.addSegment(r, n.Segment, segmentRow{offset: pos.Offset, index: uint32(pos.Index), version: v}, true)
	return t.advance(r)
}

// keepOrphan stores a fact about a job that may be renewed later, without the
// bodies of results. The caller holds mu.
func (t *Table) keepOrphan(pos commitlog.Position, job string, fact any) {
	if t.floor == 0 {
		return
	}
	switch f := fact.(type) {
	case Segment:
		f.Data = nil
		fact = f
	case RenewSegment:
		f.Segment.Data = nil
		fact = f
	}
	t.orphans[job] = append(t.orphans[job], orphan{pos: pos, fact: fact})
}

// applyOrphans applies the facts about a job that were folded before the job
// itself. The renewal contains everything up to base except the results. The
// caller holds mu.
func (t *Table) applyOrphans(job string, base commitlog.Position) {
	facts := t.orphans[job]
	delete(t.orphans, job)
	for _, o := range facts {
		switch f := o.fact.(type) {
		case Segment:
			_ = t.applySegment(o.pos, f)
			continue
		case RenewSegment:
			_ = t.applyRenewSegment(o.pos, f)
			continue
		}
		if !before(base, o.pos) {
			continue
		}
		switch f := o.fact.(type) {
		case Started:
			_ = t.applyStarted(o.pos, f)
		case Failed:
			_ = t.applyFailed(o.pos, f)
		case Cancel:
			_ = t.applyCancel(o.pos, f)
		case Finished:
			_ = t.applyFinished(o.pos, f)
		}
	}
}

// Reset implements commitlog.Resetter: the reader fell behind the log's retention
// and continues at first. The deletions in between are unknown, so the table
// starts again from the records that the log retains, like a table that starts
// late.
func (t *Table) Reset(first commitlog.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	empty := NewTable()
	t.files, t.jobs, t.open, t.keys = empty.files, empty.jobs, empty.open, empty.keys
	t.fileOrder, t.jobOrder = empty.fileOrder, empty.jobOrder
	t.deleted, t.orphans = empty.deleted, empty.orphans
	t.applied, t.floor = true, first
	t.resets++
}

// resetCount returns how often the table has been reset.
func (t *Table) resetCount() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.resets
}
