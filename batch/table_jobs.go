package batch

import (
	"bytes"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

func (t *Table) applyJob(pos commitlog.Position, j Job) error {
	if err := j.check(); err != nil {
		return err
	}
	if _, ok := t.jobs[j.ID]; ok {
		return errors.Wrapf(ErrRefused, "job %s exists already", j.ID)
	}
	input, ok := t.files[j.InputFile]
	if !ok || input.file.Workspace != j.Workspace {
		return errors.Wrapf(ErrRefused, "input file %s does not exist", j.InputFile)
	}
	if err := t.bindKey(keyID{j.Workspace, j.Key, true}, j.ID, j.KeyHash, pos); err != nil {
		return err
	}
	t.putJob(&jobRow{job: j, input: input.content, version: version{accepted: pos, base: pos, writtenAt: j.Created}})
	return nil
}

// putJob adds a job whose id is not in use. The caller holds mu.
func (t *Table) putJob(row *jobRow) {
	row.status = Validating
	id, ws := row.job.ID, row.job.Workspace
	t.jobs[id], t.open[id] = row, row
	t.jobOrder[ws] = insert(t.jobOrder[ws], id, func(o string) bool { return before(row.accepted, t.jobs[o].accepted) })
}

// openJob returns a job that is not terminal. If the job is missing because its own
// record may be older than what this table has folded, the fact is kept until the
// job is renewed.
func (t *Table) openJob(pos commitlog.Position, id string, fact any) (*jobRow, error) {
	r, ok := t.jobs[id]
	if !ok {
		t.keepOrphan(pos, id, fact)
		return nil, errors.Wrapf(ErrRefused, "job %s does not exist", id)
	}
	if r.status.Terminal() {
		return nil, errors.Wrapf(ErrRefused, "job %s is %s", id, r.status)
	}
	return r, nil
}

func (t *Table) applyStarted(pos commitlog.Position, s Started) error {
	if err := s.check(); err != nil {
		return err
	}
	r, err := t.openJob(pos, s.Job, s)
	if err != nil {
		return err
	}
	if r.startedAt != 0 || r.failedAt != 0 {
		return errors.Wrapf(ErrRefused, "job %s has already been validated", s.Job)
	}
	r.startedAt, r.service, r.total, r.blocks = max(s.At, 1), s.Service, s.Total, s.Blocks
	r.doneBits, r.startedPos = newBitmap(s.Total), pos
	return t.advance(r)
}

func (t *Table) applyFailed(pos commitlog.Position, f Failed) error {
	r, err := t.openJob(pos, f.Job, f)
	if err != nil {
		return err
	}
	if r.startedAt != 0 || r.cancelledAt != 0 {
		return errors.Wrapf(ErrRefused, "job %s is %s", f.Job, r.status)
	}
	r.failedAt, r.errors, r.expires = max(f.At, 1), f.Errors, f.Expires
	return t.advance(r)
}

func (t *Table) applySegment(pos commitlog.Position, s Segment) error {
	if err := s.check(); err != nil {
		return err
	}
	r, err := t.openJob(pos, s.Job, s)
	if err != nil {
		return err
	}
	if before(r.lastSegment, pos) {
		r.lastSegment = pos
	}
	if r.doneBits == nil || before(pos, r.startedPos) {
		return errors.Wrapf(ErrRefused, "job %s has not started", s.Job)
	}
	if last := s.Items[len(s.Items)-1]; last >= r.total {
		return errors.Wrapf(ErrRefused, "job %s has no item %d", s.Job, last)
	}
	t.addSegment(r, s, segmentRow{
		offset: pos.Offset, index: uint32(pos.Index),
		version: version{accepted: pos, base: pos, writtenAt: s.At},
	}, false)
	return t.advance(r)
}

// addSegment counts the items whose first completion is in the segment and adds
// the row of the segment if there are any. A renewed segment holds all of its
// items, even if it is folded after segments that were accepted later. The caller
// holds mu.
func (t *Table) addSegment(r *jobRow, s Segment, row segmentRow, renewed bool) {
	row.first, row.last = s.Items[0], s.Items[len(s.Items)-1]
	var lost []int
	for i, item := range s.Items {
		if r.doneBits.has(item) {
			lost = append(lost, i)
			continue
		}
		r.doneBits.set(item)
		if s.failed(i) {
			r.failed++
		} else {
			r.ok++
		}
	}
	if len(lost) == len(s.Items) && !renewed {
		return
	}
	if len(lost) > 0 && !renewed {
		row.won = bytes.Repeat([]byte{0xff}, (len(s.Items)+7)/8)
		for _, i := range lost {
			row.won[i/8] &^= 1 << (i % 8)
		}
	}
	r.segments = append(r.segments, row)
}

func (t *Table) applyCancel(pos commitlog.Position, c Cancel) error {
	r, err := t.openJob(pos, c.Job, c)
	if err != nil {
		return err
	}
	if r.job.Workspace != c.Workspace {
		return errors.Wrapf(ErrRefused, "job %s does not exist", c.Job)
	}
	if r.cancelledAt == 0 {
		r.cancelledAt = max(c.At, 1)
	}
	return t.advance(r)
}

func (t *Table) applyFinished(pos commitlog.Position, f Finished) error {
	r, err := t.openJob(pos, f.Job, f)
	if err != nil {
		return err
	}
	if f.OK > f.Done {
		return errors.Wrapf(commitlog.ErrFormat, "output has %d succeeded items of %d", f.OK, f.Done)
	}
	if before(f.Base, r.lastSegment) {
		return errors.Wrapf(ErrRefused, "output of job %s does not cover its newest segment", f.Job)
	}
	if !f.Expired && r.cancelledAt == 0 && (r.total == 0 || f.Done != r.total) {
		return errors.Wrapf(ErrRefused, "output of job %s covers %d of %d items", f.Job, f.Done, r.total)
	}
	if err := t.checkOutputs(r, f); err != nil {
		return err
	}
	if f.Output != nil {
		r.outputFile = f.Output.ID
		t.addOutput(pos, *f.Output)
	}
	if f.Errors != nil {
		r.errorFile = f.Errors.ID
		t.addOutput(pos, *f.Errors)
	}
	r.ok, r.failed = f.OK, f.Done-f.OK
	r.ended, r.expired, r.endedAt, r.expires = true, f.Expired, f.At, f.Expires
	r.doneBits, r.segments, r.blocks = nil, nil, nil
	return t.advance(r)
}

// addOutput adds an output file, unless its renewal or its deletion was folded
// before the record of the job. The caller holds mu.
func (t *Table) addOutput(pos commitlog.Position, f File) {
	_, known := t.files[f.ID]
	_, gone := t.deleted[fileID{f.Workspace, f.ID}]
	if !known && !gone {
		t.addFile(pos, f)
	}
}

// checkOutputs checks both output files before either has an effect. An output
// file that exists already is accepted if the job was renewed, because the file
// was then renewed too, and is rejected otherwise.
func (t *Table) checkOutputs(r *jobRow, f Finished) error {
	for _, out := range []*File{f.Output, f.Errors} {
		if out == nil {
			continue
		}
		if err := out.check(); err != nil {
			return err
		}
		if _, ok := t.files[out.ID]; (ok && !r.renewed) || out.Workspace != r.job.Workspace {
			return errors.Wrapf(ErrRefused, "invalid output file %s", out.ID)
		}
	}
	if f.Output != nil && f.Errors != nil && f.Output.ID == f.Errors.ID {
		return errors.Wrapf(ErrRefused, "output and error file have the same id %s", f.Output.ID)
	}
	return nil
}

// advance advances a job's lifecycle. The caller holds mu.
func (t *Table) advance(r *jobRow) error {
	err := t.life.advance(r)
	if r.status.Terminal() {
		delete(t.open, r.job.ID)
	}
	return err
}
