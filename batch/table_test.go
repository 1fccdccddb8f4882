package batch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/errkind"
)

var hash64 = strings.Repeat("ab", 32)

// now is the time of all generated histories; nothing in them expires.
var now = time.Unix(1_000_000, 0)

type logEntry struct {
	pos  commitlog.Position
	kind commitlog.EntryKind
	body any
}

func (l logEntry) apply(t *Table) error {
	e, err := commitlog.NewEntry(l.kind, l.body)
	if err != nil {
		return err
	}
	return t.Apply(l.pos, e)
}

// naiveState is a reference model that answers every query from the whole history.
type naiveState struct{ history []logEntry }

type naiveJobState struct {
	job     Job
	started *Started
	failed  *Failed
	cancel  bool
	end     *Finished
	// winner holds the position of the segment that holds each item's result.
	winner      map[uint32]commitlog.Position
	failedCount int
	// newest is the position of the newest segment.
	newest commitlog.Position
}

// uploads returns the files that callers uploaded and did not delete.
func (n *naiveState) uploads() map[string]File {
	out := map[string]File{}
	for _, l := range n.history {
		switch b := l.body.(type) {
		case File:
			taken := false
			for _, f := range out {
				taken = taken || (b.Key != "" && f.Key == b.Key && f.Workspace == b.Workspace)
			}
			if !taken {
				out[b.ID] = b
			}
		case DeleteFile:
			if out[b.ID].Workspace == b.Workspace {
				delete(out, b.ID)
			}
		}
	}
	return out
}

func (n *naiveState) files() map[string]File {
	out := n.uploads()
	for _, j := range n.jobs() {
		if j.end != nil && j.end.Output != nil {
			out[j.end.Output.ID] = *j.end.Output
		}
	}
	return out
}

func (n *naiveState) jobs() map[string]*naiveJobState {
	jobs := map[string]*naiveJobState{}
	for i, l := range n.history {
		switch b := l.body.(type) {
		case Job:
			files := (&naiveState{n.history[:i]}).uploads()
			ok := jobs[b.ID] == nil && files[b.InputFile].Workspace == b.Workspace
			for _, j := range jobs {
				ok = ok && (b.Key == "" || j.job.Key != b.Key || j.job.Workspace != b.Workspace)
			}
			if ok {
				jobs[b.ID] = &naiveJobState{job: b, winner: map[uint32]commitlog.Position{}}
			}
		case Started:
			if j := jobs[b.Job]; j != nil && !j.ended() && j.started == nil {
				j.started = &b
			}
		case Failed:
			if j := jobs[b.Job]; j != nil && !j.ended() && j.started == nil && !j.cancel {
				j.failed = &b
			}
		case Cancel:
			if j := jobs[b.Job]; j != nil && !j.ended() && j.job.Workspace == b.Workspace {
				j.cancel = true
			}
		case Segment:
			j := jobs[b.Job]
			if j == nil || j.ended() {
				continue
			}
			j.newest = l.pos
			if j.started != nil {
				j.segment(l.pos, b)
			}
		case Finished:
			if j := jobs[b.Job]; j != nil && !j.ended() {
				whole := j.started != nil && b.Done == j.started.Total
				if b.OK <= b.Done && b.Output.Workspace == j.job.Workspace && !before(b.Base, j.newest) && (whole || b.Expired || j.cancel) {
					j.end = &b
				}
			}
		}
	}
	return jobs
}

func (j *naiveJobState) ended() bool { return j.end != nil || j.failed != nil }

func (j *naiveJobState) segment(pos commitlog.Position, s Segment) {
	for i, item := range s.Items {
		if _, ok := j.winner[item]; !ok {
			j.winner[item] = pos
			if s.failed(i) {
				j.failedCount++
			}
		}
	}
}

func (j *naiveJobState) status() Status {
	switch {
	case j.failed != nil:
		return FailedJob
	case j.end != nil && j.cancel:
		return Cancelled
	case j.end != nil && j.end.Expired:
		return Expired
	case j.end != nil:
		return Completed
	case j.cancel:
		return Cancelling
	case j.started == nil:
		return Validating
	case len(j.winner) == int(j.started.Total):
		return Finalizing
	}
	return InProgress
}

// compareWithNaive compares a table with the naive state.
func compareWithNaive(t *rapid.T, table *Table, n *naiveState) {
	files, jobs := n.files(), n.jobs()
	for _, ws := range []string{"a", "b"} {
		list, _, err := table.Files(ws, "", "", 1000, now)
		assert.NilError(t, err)
		var got, want []string
		for _, f := range list {
			got = append(got, f.ID)
		}
		for id, f := range files {
			if f.Workspace == ws {
				want = append(want, id)
			}
		}
		slices.Sort(got)
		slices.Sort(want)
		assert.DeepEqual(t, got, want)
		for id, j := range jobs {
			v, err := table.Job(ws, id, now)
			if j.job.Workspace != ws {
				assert.Assert(t, errkind.Is(err, errkind.NotFound))
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, v.Status, j.status())
			if j.end != nil {
				assert.Equal(t, v.SucceededItems, j.end.OK)
				assert.Equal(t, v.SucceededItems+v.FailedItems, j.end.Done)
				continue
			}
			assert.Equal(t, int(v.SucceededItems+v.FailedItems), len(j.winner))
			assert.Equal(t, int(v.FailedItems), j.failedCount)
			if j.status().Terminal() {
				continue
			}
			compareWinners(t, table, j)
		}
	}
}

func compareWinners(t *rapid.T, table *Table, j *naiveJobState) {
	if j.started == nil {
		return
	}
	for item := range j.started.Total {
		_, done := j.winner[item]
		assert.Equal(t, table.ItemDone(j.job.ID, item), done)
	}
}

// history generates entries that two owners, retrying callers and operators could
// have appended, in any order.
type history struct {
	pos   commitlog.Offset
	total map[string]uint32
	files []File
	jobs  []string
	// unkeyedFiles generates files without idempotency keys.
	unkeyedFiles bool
	// done returns how many items of a job have results, as its owner has folded
	// them.
	done func(job string) uint32
}

// newHistory returns a history that begins with a job that has started.
func newHistory(t *rapid.T) (*history, []logEntry) {
	f := File{ID: "f", Workspace: "a", SHA256: hash64, Created: now.Unix()}
	h := &history{total: map[string]uint32{}, files: []File{f}, jobs: []string{"j"}, pos: 2}
	return h, []logEntry{
		{commitlog.Position{}, KindFile, f},
		{commitlog.Position{Offset: 1}, KindJob, Job{ID: "j", Workspace: "a", InputFile: "f", Created: now.Unix(), Deadline: now.Unix() + 9}},
		{commitlog.Position{Offset: 2}, KindStarted, h.started(t, "j")},
	}
}

func (h *history) next(t *rapid.T) logEntry {
	h.pos++
	l := logEntry{pos: commitlog.Position{Offset: h.pos}}
	file := rapid.SampledFrom(h.files).Draw(t, "file")
	job := rapid.SampledFrom(h.jobs).Draw(t, "job")
	ws := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "workspace")
	key := rapid.SampledFrom([]string{"", "k"}).Draw(t, "key")
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		f := File{ID: fmt.Sprint("f", h.pos), Workspace: ws, SHA256: hash64, Created: now.Unix(), Key: key}
		if h.unkeyedFiles {
			f.Key = ""
		}
		h.files = append(h.files, f)
		l.kind, l.body = KindFile, f
	case 1:
		l.kind, l.body = KindDeleteFile, DeleteFile{ID: file.ID, Workspace: ws, At: now.Unix()}
	case 2, 3:
		j := Job{ID: fmt.Sprint("j", h.pos), Workspace: ws, InputFile: file.ID, Key: key, Created: now.Unix(), Deadline: now.Unix() + 86400}
		h.jobs = append(h.jobs, j.ID)
		l.kind, l.body = KindJob, j
	case 4:
		l.kind, l.body = KindStarted, h.started(t, job)
	case 5:
		l.kind, l.body = KindFailed, Failed{Job: job, Errors: []LineError{{Code: "x"}}, At: 5}
	case 6:
		l.kind, l.body = KindCancel, Cancel{Job: job, Workspace: ws, At: 6}
	case 7:
		l.kind, l.body = KindFinished, h.finished(t, job)
	default:
		l.kind, l.body = KindSegment, h.segment(t, job)
	}
	return l
}

// finished returns the record of an owner that had folded up to a position of its
// own, which determines what the output contains.
func (h *history) finished(t *rapid.T, job string) Finished {
	f := Finished{
		Job: job, At: 7, Expired: rapid.Bool().Draw(t, "expired"),
		Base:   commitlog.Position{Offset: rapid.SampledFrom([]commitlog.Offset{h.pos - 1, h.pos - 1, h.pos / 2}).Draw(t, "base")},
		Output: &File{ID: fmt.Sprint("out", h.pos), Workspace: "a", SHA256: hash64, Created: now.Unix()},
	}
	if h.done != nil {
		f.Done = h.done(job)
		f.OK = f.Done / 2
	}
	return f
}

// started returns the same record for every owner of a job.
func (h *history) started(t *rapid.T, job string) Started {
	if h.total[job] == 0 {
		h.total[job] = rapid.Uint32Range(1, 6).Draw(t, "total")
	}
	return Started{Job: job, Service: "s", Total: h.total[job], Blocks: []int64{0}, At: 4}
}

func (h *history) segment(t *rapid.T, job string) Segment {
	var rs []Result
	for i := range max(h.total[job], 1) {
		if rapid.Bool().Draw(t, "item") {
			rs = append(rs, Result{Index: i, Status: rapid.SampledFrom([]int{200, 400}).Draw(t, "status")})
		}
	}
	if len(rs) == 0 {
		rs = []Result{{Index: 0, Status: 200}}
	}
	s, err := NewSegment(job, rs, now.Unix())
	assert.NilError(t, err)
	return s
}

func TestTableMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, naive := NewTable(), &naiveState{}
		h, prefix := newHistory(t)
		h.done = table.done
		for _, l := range prefix {
			assert.NilError(t, l.apply(table))
			naive.history = append(naive.history, l)
		}
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			l := h.next(t)
			_ = l.apply(table) // a refused entry has no effect
			naive.history = append(naive.history, l)
			compareWithNaive(t, table, naive)
		}
	})
}

// done returns how many items of a job have results.
func (t *Table) done(job string) uint32 {
	if r, ok := t.jobs[job]; ok {
		return r.done()
	}
	return 0
}

func TestIdempotencyKeys(t *testing.T) {
	table := NewTable()
	entries := []logEntry{
		{commitlog.Position{Offset: 0}, KindFile, File{ID: "f", Workspace: "a", SHA256: hash64, Content: blob.Manifest{}}},
		{commitlog.Position{Offset: 1}, KindJob, Job{ID: "j1", Workspace: "a", InputFile: "f", Key: "k", KeyHash: "h"}},
	}
	for _, l := range entries {
		assert.NilError(t, l.apply(table))
	}
	again := logEntry{commitlog.Position{Offset: 2}, KindJob, Job{ID: "j2", Workspace: "a", InputFile: "f", Key: "k", KeyHash: "h"}}
	assert.ErrorIs(t, again.apply(table), ErrRefused)
	v, ok, err := table.JobByKey("a", "k", "h")
	assert.NilError(t, err)
	assert.Assert(t, ok)
	assert.Equal(t, v.ID, "j1")
	_, _, err = table.JobByKey("a", "k", "other")
	assert.Assert(t, errkind.Is(err, errkind.KeyReused))
	_, ok, err = table.JobByKey("b", "k", "h")
	assert.NilError(t, err)
	assert.Assert(t, !ok)
	assert.Equal(t, table.CountOpenJobs("a"), 1)
}

func TestLineURLs(t *testing.T) {
	for url, ok := range map[string]bool{
		"/services/book/slots": true, "/services/book/slots?x=1": true, "/services/book/slots/7": true,
		"/services/book/slotsx": false, "/services/book/slots/../x": false, "/services/book/slots/%2e%2e/x": false,
		"/services/book/slots/..": false, "//host/services/book/slots": false, "http://h/services/book/slots": false,
		"/services/other/slots": false, "": false,
	} {
		assert.Equal(t, matchesEndpoint("/services/book/slots", url), ok, url)
	}
	assert.Assert(t, !matchesEndpoint(EndpointChat, EndpointChat+"/x"))
	for endpoint, ok := range map[string]bool{
		EndpointChat: true, "/services/book": true, "/services/book/slots": true, "/services/": false,
		"/services/book/../x": false, "/services/book?x": false, "/services/book/%2e%2e/x": false, "/v1/embeddings": false,
	} {
		assert.Equal(t, ValidEndpoint(endpoint), ok, endpoint)
	}
}
