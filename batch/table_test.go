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
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/journal"
)

var hash64 = strings.Repeat("ab", 32)

// now is when histories take place; nothing in them expires.
var now = time.Unix(1_000_000, 0)

type logEntry struct {
	pos  journal.Position
	kind journal.EntryKind
	body any
}

func (l logEntry) apply(t *Table) error {
	e, err := journal.NewEntry(l.kind, l.body)
	if err != nil {
		return err
	}
	return t.Apply(l.pos, e)
}

// naiveState answers every question by going through the whole history.
type naiveState struct{ history []logEntry }

type naiveJobState struct {
	job     Job
	started *Started
	failed  *Failed
	cancel  bool
	end     *Finished
	// winner of each item: the position of its segment, and whether it failed.
	winner map[uint32]journal.Position
	bad    int
}

func (n *naiveState) files() map[string]File {
	out := map[string]File{}
	jobs := n.jobs()
	for _, l := range n.history {
		switch b := l.body.(type) {
		case File:
			_, exists := out[b.ID]
			taken := false
			for _, f := range out {
				taken = taken || (b.Key != "" && f.Key == b.Key && f.Workspace == b.Workspace)
			}
			if !exists && !taken {
				out[b.ID] = b
			}
		case DeleteFile:
			if out[b.ID].Workspace == b.Workspace {
				delete(out, b.ID)
			}
		case Finished:
			if j := jobs[b.Job]; j != nil && j.end != nil && j.end.Output == b.Output && b.Output != nil {
				out[b.Output.ID] = *b.Output
			}
		}
	}
	return out
}

func (n *naiveState) jobs() map[string]*naiveJobState {
	jobs := map[string]*naiveJobState{}
	live := map[string]string{} // input files to workspaces
	for _, l := range n.history {
		switch b := l.body.(type) {
		case File:
			live[b.ID] = b.Workspace
		case DeleteFile:
			if live[b.ID] == b.Workspace {
				delete(live, b.ID)
			}
		case Job:
			ok := jobs[b.ID] == nil && live[b.InputFile] == b.Workspace
			for _, j := range jobs {
				ok = ok && (b.Key == "" || j.job.Key != b.Key || j.job.Workspace != b.Workspace)
			}
			if ok {
				jobs[b.ID] = &naiveJobState{job: b, winner: map[uint32]journal.Position{}}
			}
		case Started:
			if j := jobs[b.Job]; j != nil && !j.over() && j.started == nil {
				j.started = &b
			}
		case Failed:
			if j := jobs[b.Job]; j != nil && !j.over() && j.started == nil && !j.cancel {
				j.failed = &b
			}
		case Cancel:
			if j := jobs[b.Job]; j != nil && !j.over() && j.job.Workspace == b.Workspace {
				j.cancel = true
			}
		case Segment:
			if j := jobs[b.Job]; j != nil && !j.over() && j.started != nil {
				j.segment(l.pos, b)
			}
		case Finished:
			if j := jobs[b.Job]; j != nil && !j.over() {
				all := j.started != nil && len(j.winner) == int(j.started.Total)
				if int(b.Done) == len(j.winner) && (all || b.Expired || j.cancel) {
					j.end = &b
				}
			}
		}
	}
	return jobs
}

func (j *naiveJobState) over() bool { return j.end != nil || j.failed != nil }

func (j *naiveJobState) segment(pos journal.Position, s Segment) {
	for i, item := range s.Items {
		if _, ok := j.winner[item]; !ok {
			j.winner[item] = pos
			if s.failed(i) {
				j.bad++
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

// compare holds a table against the naive state.
func compare(t *rapid.T, table *Table, n *naiveState) {
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
			assert.Equal(t, int(v.OK+v.FailedN), len(j.winner))
			assert.Equal(t, int(v.FailedN), j.bad)
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
		assert.Equal(t, table.Done(j.job.ID, item), done)
	}
}

// history makes entries that two owners, resending callers and operators could
// have appended, in any order.
type history struct {
	pos   journal.Offset
	total map[string]uint32
}

func (h *history) next(t *rapid.T) logEntry {
	h.pos++
	l := logEntry{pos: journal.Position{Offset: h.pos}}
	file := rapid.SampledFrom([]string{"f0", "f1", "f2"}).Draw(t, "file")
	job := rapid.SampledFrom([]string{"j0", "j1"}).Draw(t, "job")
	ws := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "workspace")
	key := rapid.SampledFrom([]string{"", "k"}).Draw(t, "key")
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		l.kind, l.body = KindFile, File{ID: file + ws, Workspace: ws, SHA256: hash64, Created: now.Unix()}
	case 1:
		l.kind, l.body = KindDeleteFile, DeleteFile{ID: file + "a", Workspace: ws, At: now.Unix()}
	case 2, 3:
		l.kind, l.body = KindJob, Job{ID: job, Workspace: ws, InputFile: file + "a", Key: key, Created: now.Unix(), Deadline: now.Unix() + 86400}
	case 4:
		l.kind, l.body = KindStarted, h.started(t, job)
	case 5:
		l.kind, l.body = KindFailed, Failed{Job: job, Errors: []LineError{{Code: "x"}}, At: 5}
	case 6:
		l.kind, l.body = KindCancel, Cancel{Job: job, Workspace: ws, At: 6}
	case 7:
		l.kind, l.body = KindFinished, Finished{
			Job: job, At: 7, Expired: rapid.Bool().Draw(t, "expired"), Done: rapid.Uint32Range(0, 6).Draw(t, "done"),
			Output: &File{ID: fmt.Sprint("out", h.pos), Workspace: "a", SHA256: hash64, Created: now.Unix()},
		}
	default:
		l.kind, l.body = KindSegment, h.segment(t, job)
	}
	return l
}

// started is the same for every owner of a job.
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
		// A prefix makes jobs that the random entries can work on.
		h := &history{total: map[string]uint32{}}
		for _, l := range []logEntry{
			{journal.Position{}, KindFile, File{ID: "f0a", Workspace: "a", SHA256: hash64, Created: now.Unix()}},
			{journal.Position{Index: 1}, KindJob, Job{ID: "j0", Workspace: "a", InputFile: "f0a", Created: now.Unix(), Deadline: now.Unix() + 9}},
			{journal.Position{Index: 2}, KindStarted, h.started(t, "j0")},
		} {
			assert.NilError(t, l.apply(table))
			naive.history = append(naive.history, l)
		}
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			l := h.next(t)
			_ = l.apply(table) // a refused entry has no effect
			naive.history = append(naive.history, l)
			compare(t, table, naive)
		}
	})
}

func TestIdempotencyKeys(t *testing.T) {
	table := NewTable()
	entries := []logEntry{
		{journal.Position{Offset: 0}, KindFile, File{ID: "f", Workspace: "a", SHA256: hash64, Content: blob.Manifest{}}},
		{journal.Position{Offset: 1}, KindJob, Job{ID: "j1", Workspace: "a", InputFile: "f", Key: "k", KeyHash: "h"}},
	}
	for _, l := range entries {
		assert.NilError(t, l.apply(table))
	}
	again := logEntry{journal.Position{Offset: 2}, KindJob, Job{ID: "j2", Workspace: "a", InputFile: "f", Key: "k", KeyHash: "h"}}
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
	assert.Equal(t, table.OpenJobs("a"), 1)
}
