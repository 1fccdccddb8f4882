// Package batchapi serves the OpenAI surface for files and batches.
//
// A request that is wrong in itself (malformed JSON, a missing field, an
// unknown endpoint, a file that does not exist) is refused when the batch is
// created. What is wrong inside the input file (a line that is not JSON, a
// duplicated custom_id, an unknown model) makes the batch fail before any of
// it has run, with one entry in errors.data for each fault that names the line
// and the parameter; this is what OpenAI clients expect. What a backend server
// answers to a single valid line, good or bad, concerns that line alone.
//
// completion_window is a duration from one minute to seven days, like "24h".
//
// A file or batch that was created with an Idempotency-Key is returned again
// when the same request is sent under the same key, and other content under
// that key is refused.
package batchapi

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/batch"
	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/errkind"
)

// Defaults and limits.
const (
	// DefaultMaxFileBytes bounds an uploaded file if Deps sets no bound.
	DefaultMaxFileBytes = 200 << 20
	// DefaultCommitTimeout bounds the wait for the log if Deps sets no bound.
	DefaultCommitTimeout = 10 * time.Second
	keyHeader            = "Idempotency-Key"
	maxKeyBytes          = 255
)

// Deps are what the handlers need. The server must stream request bodies
// (server.WithStreamBody) and allow bodies of MaxFileBytes, or uploads are
// bounded by the server's own limit.
type Deps struct {
	Shards batch.Shards
	// Fail answers with an error.
	Fail func(ctx *app.RequestContext, err error)
	// Workspace returns the caller's workspace.
	Workspace func(ctx *app.RequestContext) (string, error)
	// MaxJobs returns how many open jobs a workspace may have, zero for any
	// number; may be nil.
	MaxJobs func(workspace string) int
	// MaxFileBytes bounds an uploaded file; zero is DefaultMaxFileBytes.
	MaxFileBytes int64
	// CommitTimeout bounds the wait for the log; zero is DefaultCommitTimeout.
	CommitTimeout time.Duration
	// Now returns the time; nil is time.Now.
	Now func() time.Time
}

type api struct{ Deps }

// Register adds the routes for files and batches.
func Register(h *server.Hertz, deps Deps) {
	if deps.MaxFileBytes <= 0 {
		deps.MaxFileBytes = DefaultMaxFileBytes
	}
	if deps.CommitTimeout <= 0 {
		deps.CommitTimeout = DefaultCommitTimeout
	}
	if deps.Now == nil {
		deps.Now = time.Now
	}
	a := &api{deps}
	h.POST("/v1/files", a.handle(a.createFile))
	h.GET("/v1/files", a.handle(a.listFiles))
	h.GET("/v1/files/:id", a.handle(a.getFile))
	h.DELETE("/v1/files/:id", a.handle(a.deleteFile))
	h.GET("/v1/files/:id/content", a.handle(a.fileContent))
	h.POST("/v1/batches", a.handle(a.createBatch))
	h.GET("/v1/batches", a.handle(a.listBatches))
	h.GET("/v1/batches/:id", a.handle(a.getBatch))
	h.POST("/v1/batches/:id/cancel", a.handle(a.cancelBatch))
}

// call is one request of a known workspace.
type call struct {
	*app.RequestContext
	workspace string
	shard     batch.Shard
	store     *blob.Store
}

func (a *api) handle(f func(context.Context, call) error) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		ws, err := a.Workspace(rc)
		if err != nil {
			a.Fail(rc, err)
			return
		}
		shard := a.Shards.ForWorkspace(ws)
		c := call{RequestContext: rc, workspace: ws, shard: shard, store: blob.NewStore(timedStream{shard.Stream, a.CommitTimeout})}
		if err := f(ctx, c); err != nil {
			a.Fail(rc, err)
		}
	}
}

// reply sends v as JSON.
func (c call) reply(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "batchapi: encode answer")
	}
	c.Data(200, "application/json", b)
	return nil
}

// timedStream bounds the wait of each commit, so that an upload is answered
// while the log is down.
type timedStream struct {
	batch.Stream
	timeout time.Duration
}

// Commit implements blob.Stream.
func (s timedStream) Commit(ctx context.Context, entries ...commitlog.Entry) (commitlog.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.Stream.Commit(ctx, entries...)
}

// commit appends one entry and returns once it is folded.
func (a *api) commit(ctx context.Context, c call, kind commitlog.EntryKind, body any) error {
	e, err := commitlog.NewEntry(kind, body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, a.CommitTimeout)
	defer cancel()
	_, err = c.shard.Stream.Commit(ctx, e)
	if errors.Is(err, commitlog.ErrUnconfirmed) {
		return errkind.Wrap(err, errkind.LogUnavailable, "the log service did not confirm").WithOutcome(errkind.Unknown)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.LogUnavailable, "the log service is not available")
	}
	return nil
}

// fresh calls look, and once more after folding everything in the log if what
// it looked for was not there.
func fresh[T any](ctx context.Context, a *api, c call, look func() (T, error)) (T, error) {
	v, err := look()
	if !errkind.Is(err, errkind.NotFound) {
		return v, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.CommitTimeout)
	defer cancel()
	if cerr := c.shard.Stream.CatchUp(ctx); cerr != nil {
		return v, errkind.Wrap(cerr, errkind.LogUnavailable, "the log service is not available")
	}
	return look()
}

// key returns the caller's idempotency key, or "".
func (c call) key() (string, error) {
	k := string(c.GetHeader(keyHeader))
	if len(k) > maxKeyBytes {
		return "", errkind.New(errkind.BadRequest, "the idempotency key is longer than %d bytes", maxKeyBytes).WithParam(keyHeader)
	}
	return k, nil
}

// listQuery is the pagination that a list call asks for.
type listQuery struct {
	after string
	limit int
}

func (c call) listQuery(def, most int) (listQuery, error) {
	q := listQuery{after: c.Query("after"), limit: def}
	s := c.Query("limit")
	if s == "" {
		return q, nil
	}
	n := json.Number(s)
	v, err := n.Int64()
	if err != nil || v < 1 || v > int64(most) {
		return q, errkind.New(errkind.BadRequest, "limit must be a number from 1 to %d", most).WithParam("limit")
	}
	q.limit = int(v)
	return q, nil
}

// list is a page of objects.
type list[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

func newList[T any](data []T, more bool, id func(T) string) list[T] {
	l := list[T]{Object: "list", Data: data, HasMore: more}
	if len(data) > 0 {
		l.FirstID, l.LastID = id(data[0]), id(data[len(data)-1])
	}
	return l
}
