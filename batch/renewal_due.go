package batch

import (
	"fmt"
	"sort"
	"time"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// markerRetention is how long a file or job that has expired is still reported
// as expired instead of unknown.
const markerRetention = DefaultRetention

// dueRows are rows whose newest record is about to expire.
type dueRows struct {
	files    []dueFile
	jobs     []RenewJob
	segments []dueSegment
}

// rowCount returns the number of rows in the table that are subject to renewal.
func (t *Table) rowCount() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := len(t.files) + len(t.jobs)
	for _, j := range t.jobs {
		n += len(j.segments)
	}
	return n
}

// dueFile is a file to renew. copyContent reports that its chunks are due too. A
// file that has expired is kept as a marker without content.
type dueFile struct {
	record      RenewFile
	copyContent bool
}

type dueSegment struct {
	job  string
	row  segmentRow
	base commitlog.Position
}

// id identifies the segment within its shard.
func (d dueSegment) id() string {
	return fmt.Sprintf("%s/%d.%d", d.job, d.row.accepted.Offset, d.row.accepted.Index)
}

// due returns up to limit rows whose newest record was written before old and
// that skip does not exclude. It also removes rows that ended so long ago that
// nothing of them is kept.
func (t *Table) due(now, old time.Time, limit int, skip func(id string) bool) dueRows {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	var d dueRows
	include := func(writtenAt int64, id string) bool {
		return writtenAt < old.Unix() && d.len() < limit && !skip(id)
	}
	for _, id := range sortedKeys(t.files) {
		if row := t.files[id]; include(row.writtenAt, id) {
			d.files = append(d.files, t.dueFile(row, now))
		}
	}
	for _, id := range sortedKeys(t.jobs) {
		r := t.jobs[id]
		if include(r.writtenAt, id) {
			d.jobs = append(d.jobs, r.renewal(t.newest, now))
		}
		for _, row := range r.segments {
			s := dueSegment{job: id, row: row, base: t.newest}
			if row.writtenAt < old.Unix() && include(row.writtenAt, s.id()) {
				d.segments = append(d.segments, s)
			}
		}
	}
	return d
}

func (d *dueRows) len() int { return len(d.files) + len(d.jobs) + len(d.segments) }

func (t *Table) dueFile(row *fileRow, now time.Time) dueFile {
	f := row.file
	expired := f.Expires != 0 && now.Unix() >= f.Expires
	if !expired {
		f.Content = row.content.manifest
	}
	return dueFile{
		record:      RenewFile{File: f, Accepted: row.accepted, Base: t.newest, At: now.Unix()},
		copyContent: !expired,
	}
}

// renewal returns the record that renews the job.
func (r *jobRow) renewal(base commitlog.Position, now time.Time) RenewJob {
	n := RenewJob{
		Job: r.job, Accepted: r.accepted, Base: base, At: now.Unix(), CancelledAt: r.cancelledAt,
		StartedPos: r.startedPos, LastSegment: r.lastSegment,
	}
	if r.startedAt != 0 {
		n.Started = &Started{Job: r.job.ID, Service: r.service, Total: r.total, Blocks: r.blocks, At: r.startedAt}
	}
	if r.failedAt != 0 {
		n.Failed = &Failed{Job: r.job.ID, Errors: r.errors, At: r.failedAt, Expires: r.expires}
	}
	if r.ended {
		n.End = &JobEnd{
			At: r.endedAt, Expired: r.expired, Expires: r.expires, OutputFile: r.outputFile, ErrorFile: r.errorFile,
			OK: r.ok, Failed: r.failed,
		}
	}
	if !r.status.Terminal() {
		n.Input = r.input.manifest
	}
	return n
}

// sweep removes files, jobs and tombstones that no record can restore. The caller
// holds mu.
func (t *Table) sweep(now time.Time) {
	cutoff := now.Add(-markerRetention).Unix()
	for id, row := range t.files {
		if e := row.file.Expires; e != 0 && e < cutoff {
			t.drop(keyID{row.file.Workspace, row.file.Key, false}, id)
		}
	}
	for id, r := range t.jobs {
		if r.status.Terminal() && r.expires != 0 && r.expires < cutoff {
			t.drop(keyID{r.job.Workspace, r.job.Key, true}, id)
		}
	}
	for id, d := range t.deleted {
		if d.deletedAt < cutoff {
			delete(t.deleted, id)
			t.floor = max(t.floor, d.at+1)
		}
	}
	for id, facts := range t.orphans {
		if newestFactTime(facts) < cutoff {
			delete(t.orphans, id)
		}
	}
}

// newestFactTime returns the time of the newest fact that carries one, in Unix
// seconds.
func newestFactTime(facts []orphan) int64 {
	var at int64
	for _, o := range facts {
		switch f := o.fact.(type) {
		case Started:
			at = max(at, f.At)
		case Failed:
			at = max(at, f.At)
		case Segment:
			at = max(at, f.At)
		case RenewSegment:
			at = max(at, f.Segment.At)
		case Cancel:
			at = max(at, f.At)
		case Finished:
			at = max(at, f.At)
		}
	}
	return at
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
