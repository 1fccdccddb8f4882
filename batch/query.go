package batch

import (
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/errkind"
)

// JobView is a copy of a job's state, without its items.
type JobView struct {
	Job
	Status         Status
	Service        string
	Total          uint32
	SucceededItems uint32
	FailedItems    uint32
	Errors         []LineError
	StartedAt      int64
	FailedAt       int64
	// CancelledAt is when cancellation was requested.
	CancelledAt int64
	EndedAt     int64
	OutputFile  string
	ErrorFile   string
}

// File returns a file of a workspace. It returns errkind.Expired for an expired
// file and errkind.NotFound for a file of another workspace.
func (t *Table) File(workspace, id string, now time.Time) (File, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.files[id]
	if !ok || r.file.Workspace != workspace {
		return File{}, errkind.New(errkind.NotFound, "no such file: %s", id).WithParam("file_id")
	}
	if r.file.Expires != 0 && now.Unix() >= r.file.Expires {
		return File{}, errkind.New(errkind.Expired, "file %s has expired", id).WithParam("file_id")
	}
	f := r.file
	f.Content = r.content.manifest
	return f, nil
}

// Files returns up to limit files of a workspace, newest first, starting after
// the file with the id after, and whether there are more. An empty purpose
// matches every purpose.
func (t *Table) Files(workspace, purpose, after string, limit int, now time.Time) ([]File, bool, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	keep := func(id string) bool {
		f := t.files[id].file
		return (purpose == "" || f.Purpose == purpose) && (f.Expires == 0 || now.Unix() < f.Expires)
	}
	ids, more, err := page(t.fileOrder[workspace], after, limit, keep)
	out := make([]File, len(ids))
	for i, id := range ids {
		out[i] = t.files[id].file
		out[i].Content = t.files[id].content.manifest
	}
	return out, more, err
}

// Job returns a job of a workspace. It returns errkind.NotFound for a job of
// another workspace and errkind.Expired for an expired job.
func (t *Table) Job(workspace, id string, now time.Time) (JobView, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.jobs[id]
	if !ok || r.job.Workspace != workspace {
		return JobView{}, errkind.New(errkind.NotFound, "no such batch: %s", id).WithParam("batch_id")
	}
	if r.retentionEnded(now) {
		return JobView{}, errkind.New(errkind.Expired, "batch %s has expired", id).WithParam("batch_id")
	}
	return r.view(), nil
}

// Jobs returns up to limit jobs of a workspace, newest first, starting after the
// job with the id after, and whether there are more.
func (t *Table) Jobs(workspace, after string, limit int, now time.Time) ([]JobView, bool, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	ids, more, err := page(t.jobOrder[workspace], after, limit, func(id string) bool { return !t.jobs[id].retentionEnded(now) })
	out := make([]JobView, len(ids))
	for i, id := range ids {
		out[i] = t.jobs[id].view()
	}
	return out, more, err
}

// page returns the ids that precede the id after, in reverse order, without those
// that keep rejects. It returns at most limit of them, and whether there are more.
// An empty after starts at the end of ids.
func page(ids []string, after string, limit int, keep func(string) bool) ([]string, bool, error) {
	i := len(ids) - 1
	if after != "" {
		for i >= 0 && ids[i] != after {
			i--
		}
		if i < 0 {
			return nil, false, errkind.New(errkind.BadRequest, "unknown cursor: %s", after).WithParam("after")
		}
		i--
	}
	var out []string
	for ; i >= 0; i-- {
		if !keep(ids[i]) {
			continue
		}
		if len(out) == limit {
			return out, true, nil
		}
		out = append(out, ids[i])
	}
	return out, false, nil
}

// JobByKey returns the job that is bound to an idempotency key. It returns
// errkind.KeyReused if the key is bound to other content.
func (t *Table) JobByKey(workspace, key, hash string) (JobView, bool, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	id, ok, err := t.byKey(keyID{workspace, key, true}, hash)
	if !ok || err != nil {
		return JobView{}, ok, err
	}
	return t.jobs[id].view(), true, nil
}

// FileByKey returns the file that is bound to an idempotency key, like JobByKey.
func (t *Table) FileByKey(workspace, key, hash string) (File, bool, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	id, ok, err := t.byKey(keyID{workspace, key, false}, hash)
	if !ok || err != nil {
		return File{}, ok, err
	}
	f := t.files[id].file
	f.Content = t.files[id].content.manifest
	return f, true, nil
}

func (t *Table) byKey(k keyID, hash string) (string, bool, error) {
	row, ok := t.keys[k]
	if !ok || k.key == "" {
		return "", false, nil
	}
	if row.hash != hash {
		return "", false, errkind.New(errkind.KeyReused, "the idempotency key was used with other content").WithParam("Idempotency-Key")
	}
	return row.id, true, nil
}

// OpenJobs returns the jobs that are not terminal, in order of their ids.
func (t *Table) OpenJobs() []JobView {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []JobView
	for _, r := range t.open {
		out = append(out, r.view())
	}
	sortViews(out)
	return out
}

// ItemDone reports whether the result of an item has been folded or its job no
// longer exists.
func (t *Table) ItemDone(job string, item uint32) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.jobs[job]
	return !ok || r.doneBits == nil || r.doneBits.has(item)
}

// input returns the manifest of a job's input and the offsets of its blocks.
func (t *Table) input(job string) (blob.Manifest, []int64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.jobs[job]
	if !ok {
		return nil, nil
	}
	return r.input.manifest, r.blocks
}

// outputJob returns what is needed to write a job's output files, and the job.
// Both are a consistent snapshot.
func (t *Table) outputJob(job string) (outputJob, JobView, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.jobs[job]
	if !ok || r.status.Terminal() {
		return outputJob{}, JobView{}, false
	}
	segments := slices.Clone(r.segments)
	slices.SortFunc(segments, func(a, b segmentRow) int { return comparePositions(a.accepted, b.accepted) })
	return outputJob{
		id: job, total: r.total, base: t.newest, segments: segments, input: r.input.manifest, blocks: r.blocks,
		ok: r.ok > 0 || r.renewed, failed: r.failed > 0 || r.renewed,
	}, r.view(), true
}

// retentionEnded reports whether a job is no longer readable.
func (r *jobRow) retentionEnded(now time.Time) bool { return r.expires != 0 && now.Unix() >= r.expires }

func (r *jobRow) view() JobView {
	return JobView{
		Job: r.job, Status: r.status, Service: r.service, Total: r.total, SucceededItems: r.ok, FailedItems: r.failed,
		Errors: r.errors, StartedAt: r.startedAt, FailedAt: r.failedAt, CancelledAt: r.cancelledAt,
		EndedAt: r.endedAt, OutputFile: r.outputFile, ErrorFile: r.errorFile,
	}
}

var _ commitlog.Fold = (*Table)(nil)

// CountOpenJobs returns the number of jobs of a workspace that are not terminal.
func (t *Table) CountOpenJobs(workspace string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, r := range t.open {
		if r.job.Workspace == workspace {
			n++
		}
	}
	return n
}
