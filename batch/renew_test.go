package batch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
)

// memStream is an in-memory log that one table folds immediately.
type memStream struct {
	entries []logEntry
	table   *Table
}

func (m *memStream) append(kind commitlog.EntryKind, body any) {
	l := logEntry{commitlog.Position{Offset: commitlog.Offset(len(m.entries))}, kind, body}
	m.entries = append(m.entries, l)
	_ = l.apply(m.table) // a refused entry has no effect
}

// renewals returns the entries that a renewer would currently append for all rows.
func (m *memStream) renewals(t *rapid.T) []logEntry {
	d := m.table.due(now, now.Add(time.Minute), 1000, func(string) bool { return false })
	var out []logEntry
	for _, s := range d.segments {
		seg := m.segment(s.row)
		rs, err := seg.Results()
		assert.NilError(t, err)
		var kept []Result
		for k, r := range rs {
			if s.row.holds(k) {
				kept = append(kept, r)
			}
		}
		seg, err = NewSegment(s.job, kept, now.Unix())
		assert.NilError(t, err)
		out = append(out, logEntry{kind: KindRenewSegment, body: RenewSegment{Segment: seg, Accepted: s.row.accepted, Base: s.base}})
	}
	for _, f := range d.files {
		out = append(out, logEntry{kind: KindRenewFile, body: f.record})
	}
	for _, j := range d.jobs {
		out = append(out, logEntry{kind: KindRenewJob, body: j})
	}
	return out
}

func (m *memStream) segment(row segmentRow) Segment {
	switch b := m.entries[row.offset].body.(type) {
	case Segment:
		return b
	case RenewSegment:
		return b.Segment
	}
	return Segment{}
}

// winners lists the segment that holds each item's result, as an owner would
// write it to the output file.
func winners(m *memStream, table *Table, job string) string {
	out, _, ok := table.outputJob(job)
	if !ok {
		return ""
	}
	won := map[uint32]string{}
	for _, row := range out.segments {
		for k, item := range m.segment(row).Items {
			if _, taken := won[item]; !taken && row.holds(k) {
				won[item] = fmt.Sprint(row.accepted)
			}
		}
	}
	return fmt.Sprint(" ", won)
}

// describe returns everything that callers and owners can read from a table.
func describe(t *rapid.T, m *memStream, table *Table) string {
	s := ""
	for _, ws := range []string{"a", "b"} {
		files, _, err := table.Files(ws, "", "", 1000, now)
		assert.NilError(t, err)
		for _, f := range files {
			s += fmt.Sprintf("%s %s %s\n", ws, f.ID, f.Key)
		}
		jobs, _, err := table.Jobs(ws, "", 1000, now)
		assert.NilError(t, err)
		for _, v := range jobs {
			if !v.Status.Terminal() { // exact only at the end
				v.SucceededItems, v.FailedItems = v.SucceededItems+v.FailedItems, 0
			}
			s += fmt.Sprintf("%s %s %s %s %d/%d/%d %s %v", ws, v.ID, v.Key, v.Status, v.SucceededItems, v.FailedItems, v.Total, v.OutputFile, v.Errors)
			s += winners(m, table, v.ID)
			for i := range v.Total {
				s += fmt.Sprint(" ", table.ItemDone(v.ID, i))
			}
			s += "\n"
		}
	}
	return s
}

// TestRenewalNeverReverts compares a table that has folded everything with one
// that starts after the oldest records have expired. Renewers are paused and
// append late, two at once, while callers continue.
func TestRenewalNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &memStream{table: NewTable()}
		h, prefix := newHistory(t)
		// A table that starts late may show a refused duplicate of a keyed
		// file that was deleted soon after; see doc.go.
		h.unkeyedFiles = true
		h.done = m.table.done
		for _, l := range prefix {
			m.append(l.kind, l.body)
		}
		var paused []logEntry
		act := func() {
			switch rapid.IntRange(0, 9).Draw(t, "act") {
			case 0: // a renewer selects its entries and is paused
				paused = append(paused, m.renewals(t)...)
			case 1: // a paused renewer continues
				if len(paused) > 0 {
					i := rapid.IntRange(0, len(paused)-1).Draw(t, "paused")
					m.append(paused[i].kind, paused[i].body)
				}
			default:
				h.pos = commitlog.Offset(len(m.entries)) - 1
				l := h.next(t)
				m.append(l.kind, l.body)
			}
		}
		for range rapid.IntRange(0, 25).Draw(t, "before") {
			act()
		}
		base := len(m.entries)
		for range 2 { // every row is renewed twice from what the log still retains
			for _, l := range m.renewals(t) {
				if rapid.IntRange(0, 3).Draw(t, "between") == 0 {
					act()
				}
				m.append(l.kind, l.body)
			}
		}
		for range rapid.IntRange(0, 15).Draw(t, "after") {
			act()
		}
		first := rapid.IntRange(0, base-1).Draw(t, "first kept")
		late := NewTable()
		for _, l := range m.entries[first:] {
			_ = l.apply(late)
		}
		behind := NewTable() // falls behind the log's retention midway
		for _, l := range m.entries[:first/2] {
			_ = l.apply(behind)
		}
		behind.Reset(commitlog.Offset(first))
		for _, l := range m.entries[first:] {
			_ = l.apply(behind)
		}
		if got, want := describe(t, m, behind), describe(t, m, late); got != want {
			t.Fatalf("after a gap up to %d:\n%sfrom there on:\n%s", first, got, want)
		}
		if got, want := describe(t, m, late), describe(t, m, m.table); got != want {
			t.Fatalf("from offset %d of %d, renewed from %d on:\n%swhole log:\n%s", first, len(m.entries), base, got, want)
		}
	})
}

func TestStaleRenewalDoesNotRestoreADeletedFile(t *testing.T) {
	old := RenewFile{File: File{ID: "f", Workspace: "a", SHA256: hash64, Content: blob.Manifest{{Offset: 1, Len: 3}}}, Base: commitlog.Position{Offset: 5}}
	at := func(o commitlog.Offset, k commitlog.EntryKind, b any) logEntry {
		return logEntry{commitlog.Position{Offset: o}, k, b}
	}
	// The deletion at 6 has expired; the renewal written before it has not.
	table := NewTable()
	assert.ErrorIs(t, at(8, KindRenewFile, old).apply(table), ErrRefused)
	_, err := table.File("a", "f", now)
	assert.Assert(t, err != nil)
	// The renewal is also refused where the deletion is still retained.
	table = NewTable()
	assert.NilError(t, at(3, blob.KindChunk, blob.Chunk{Data: []byte("x")}).apply(table))
	assert.NilError(t, at(6, KindDeleteFile, DeleteFile{ID: "f", Workspace: "a"}).apply(table))
	assert.ErrorIs(t, at(8, KindRenewFile, old).apply(table), ErrRefused)
	// A renewal from before the first retained record is accepted if no record was missed.
	table = NewTable()
	assert.NilError(t, at(4, blob.KindChunk, blob.Chunk{Data: []byte("x")}).apply(table))
	assert.NilError(t, at(8, KindRenewFile, old).apply(table))
	_, err = table.File("a", "f", now)
	assert.NilError(t, err)
}

// TestOrphansAreAppliedWhenTheJobIsRenewed folds the renewal of the output file,
// and a cancel that came too late, before the record of the job itself.
func TestOrphansAreAppliedWhenTheJobIsRenewed(t *testing.T) {
	at := func(o int) commitlog.Position { return commitlog.Position{Offset: commitlog.Offset(o)} }
	out := File{ID: "out", Workspace: "a", SHA256: hash64}
	job := Job{ID: "j", Workspace: "a", InputFile: "f"}
	seg, err := NewSegment("j", []Result{{Status: 200}}, 1)
	assert.NilError(t, err)
	table := NewTable()
	for _, l := range []logEntry{
		{at(5), KindSegment, seg},
		{at(6), KindFinished, Finished{Job: "j", At: 1, Output: &out, Done: 1, OK: 1, Base: at(5)}},
		{at(8), KindRenewFile, RenewFile{File: out, Accepted: at(6), Base: at(7)}},
		{at(9), KindCancel, Cancel{Job: "j", Workspace: "a"}},
		{at(10), KindRenewJob, RenewJob{
			Job: job, Accepted: at(1), Base: at(5), StartedPos: at(2), LastSegment: at(5),
			Started: &Started{Job: "j", Total: 1, Blocks: []int64{0}, At: 1},
		}},
	} {
		assert.NilError(t, l.applyOrOrphan(table))
	}
	v, err := table.Job("a", "j", now)
	assert.NilError(t, err)
	assert.Equal(t, v.Status, Completed)
	assert.Equal(t, v.OutputFile, "out")
}

// applyOrOrphan applies an entry whose job the table need not contain yet.
func (l logEntry) applyOrOrphan(t *Table) error {
	if err := l.apply(t); err != nil && len(t.orphans) == 0 {
		return err
	}
	return nil
}
