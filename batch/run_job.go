package batch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"math"
	"time"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
)

// validate reads the whole input of a job and appends the result of the check.
func (r *Runner) validate(ctx context.Context, s *shardState, v JobView, _ bool) error {
	input, _ := s.Table.input(v.ID)
	c, err := checkInput(s.store.Open(ctx, input, 0), v.Endpoint, r.opts.Services)
	if err != nil {
		return err
	}
	now := time.Now()
	if len(c.errors) > 0 {
		event.Log(r.opts.Logger, event.JobFailed, "job", v.ID, "errors", len(c.errors), "line", c.errors[0].Line, "code", c.errors[0].Code, "message", c.errors[0].Message)
		return commit(ctx, s.Stream, KindFailed, Failed{Job: v.ID, Errors: c.errors, At: now.Unix(), Expires: now.Add(DefaultRetention).Unix()})
	}
	event.Log(r.opts.Logger, event.JobAccepted, "job", v.ID, "service", c.service, "items", c.total)
	return commit(ctx, s.Stream, KindStarted, Started{Job: v.ID, Service: c.service, Total: c.total, Blocks: c.blocks, At: now.Unix()})
}

func commit(ctx context.Context, stream Stream, kind commitlog.EntryKind, body any) error {
	e, err := commitlog.NewEntry(kind, body)
	if err != nil {
		return err
	}
	_, err = stream.Commit(ctx, e)
	return err
}

// finish writes the output files of a job and appends the end of the job.
func (r *Runner) finish(ctx context.Context, s *shardState, v JobView, expired bool) error {
	job, v, ok := s.Table.outputJob(v.ID)
	if !ok {
		return nil
	}
	if expired && v.Total > 0 {
		job.missingReason = "expired"
	}
	out := &resultReader{stream: s.Stream, store: s.store, job: job, cache: make(map[int][]Result)}
	now := time.Now()
	end := Finished{
		Job: v.ID, At: now.Unix(), Expired: expired, Done: v.SucceededItems + v.FailedItems, Base: job.base,
		Expires: now.Add(r.retention(v.Service)).Unix(),
	}
	if job.ok {
		f, n, err := r.writeOutput(ctx, s, v, out, false)
		if err != nil {
			return err
		}
		end.Output, end.OK = f, uint32(n)
	}
	if job.failed || job.missingReason != "" {
		f, _, err := r.writeOutput(ctx, s, v, out, true)
		if err != nil {
			return err
		}
		end.Errors = f
	}
	event.Log(r.opts.Logger, event.JobFinished, "job", v.ID, "status", v.Status, "ok", end.OK, "failed", end.Done-end.OK, "total", v.Total, "expired", expired)
	return commit(ctx, s.Stream, KindFinished, end)
}

// writeOutput writes one output file. It returns the record that creates the file,
// or nil if the file would be empty, and the number of lines.
func (r *Runner) writeOutput(ctx context.Context, s *shardState, v JobView, out *resultReader, failed bool) (*File, int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pr, pw := io.Pipe()
	lines := make(chan int, 1)
	go func() {
		n, err := out.write(ctx, pw, failed)
		lines <- n
		pw.CloseWithError(err)
	}()
	w, err := s.store.Write(ctx, pr, math.MaxInt64)
	pr.CloseWithError(err)
	n := <-lines
	if err != nil || n == 0 {
		return nil, 0, err
	}
	name := v.ID + "_output.jsonl"
	if failed {
		name = v.ID + "_errors.jsonl"
	}
	now := time.Now()
	return &File{
		ID: NewID("file-"), Workspace: v.Workspace, Name: name, Purpose: PurposeOutput, SHA256: w.SHA256,
		Content: w.Manifest, Created: now.Unix(), Expires: now.Add(r.retention(v.Service)).Unix(),
	}, n, nil
}

func (r *Runner) retention(service string) time.Duration {
	if d := r.opts.Services.ResultRetention(service); d > 0 {
		return d
	}
	return DefaultRetention
}

// NewID returns a new id that cannot be guessed, with a prefix.
func NewID(prefix string) string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never returns an error
	return prefix + hex.EncodeToString(b[:])
}

// anyJob returns a job of any workspace.
func (t *Table) anyJob(id string) (JobView, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.jobs[id]
	if !ok {
		return JobView{}, errkind.New(errkind.NotFound, "no such batch: %s", id)
	}
	return r.view(), nil
}
