// Package batchapi serves the OpenAI API for files and batches.
//
// An invalid request (malformed JSON, a missing field, an unknown endpoint, a
// file that does not exist) is rejected when the batch is created. Invalid
// content of the input file (a line that is not JSON, a duplicated custom_id,
// an unknown model) makes the batch fail before any of its items runs, with one
// entry in errors.data for each error, which names the line and the parameter;
// this is what OpenAI clients expect. The response of a backend server to a
// single valid line, successful or not, affects only that line.
//
// completion_window is a duration from one minute to seven days, like "24h".
//
// A file or batch that was created with an Idempotency-Key is returned again
// when the same request is sent under the same key. A request with different
// content under that key is rejected.
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

// Default settings and limits.
const (
	// DefaultMaxFileBytes limits the size of an uploaded file if Deps sets no limit.
	DefaultMaxFileBytes = 200 << 20
	// DefaultCommitTimeout limits the wait for the log if Deps sets no limit.
	DefaultCommitTimeout = 10 * time.Second
	idempotencyKeyHeader = "Idempotency-Key"
	maxKeyBytes          = 255
)

// Deps holds the dependencies and settings of the handlers. The server must
// stream request bodies (server.WithStreamBody) and accept bodies of
// MaxFileBytes; otherwise the server's own limit applies to uploads.
type Deps struct {
	Shards batch.Shards
	// WriteError writes an error response.
	WriteError func(ctx *app.RequestContext, err error)
	// Workspace returns the caller's workspace.
	Workspace func(ctx *app.RequestContext) (string, error)
	// MaxJobs returns how many open jobs a workspace may have, zero for no
	// limit; may be nil.
	MaxJobs func(workspace string) int
	// MaxFileBytes limits the size of an uploaded file; zero means DefaultMaxFileBytes.
	MaxFileBytes int64
	// CommitTimeout limits the wait for the log; zero means DefaultCommitTimeout.
	CommitTimeout time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

type api struct{ Deps }

// Register adds the routes for files and batches to h.
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

// request is one HTTP request of an authenticated workspace.
type request struct {
	*app.RequestContext
	workspace string
	shard     batch.Shard
	store     *blob.Store
}

// handle authenticates a request, calls f for its workspace and writes the error that f
// returns.
func (a *api) handle(f func(context.Context, request) error) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		ws, err := a.Workspace(rc)
		if err != nil {
			a.WriteError(rc, err)
			return
		}
		shard := a.Shards.ForWorkspace(ws)
		c := request{RequestContext: rc, workspace: ws, shard: shard, store: blob.NewStore(timeoutStream{shard.Stream, a.CommitTimeout})}
		if err := f(ctx, c); err != nil {
			a.WriteError(rc, err)
		}
	}
}

// writeJSON sends v as a JSON response.
func (c request) writeJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "batchapi: encode response")
	}
	c.Data(200, "application/json", b)
	return nil
}

// timeoutStream limits the duration of each commit, so that an upload gets a
// response while the log is down.
type timeoutStream struct {
	batch.Stream
	timeout time.Duration
}

// Commit implements blob.Stream.
func (s timeoutStream) Commit(ctx context.Context, entries ...commitlog.Entry) (commitlog.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.Stream.Commit(ctx, entries...)
}

// commit appends one entry to the log and returns once the entry is folded.
func (a *api) commit(ctx context.Context, c request, kind commitlog.EntryKind, body any) error {
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

// lookupFresh calls lookup. If the object is not found, it folds everything
// that the log holds and calls lookup once more.
func lookupFresh[T any](ctx context.Context, a *api, c request, lookup func() (T, error)) (T, error) {
	v, err := lookup()
	if !errkind.Is(err, errkind.NotFound) {
		return v, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.CommitTimeout)
	defer cancel()
	if cerr := c.shard.Stream.CatchUp(ctx); cerr != nil {
		return v, errkind.Wrap(cerr, errkind.LogUnavailable, "the log service is not available")
	}
	return lookup()
}

// idempotencyKey returns the request's idempotency key, or "".
func (c request) idempotencyKey() (string, error) {
	k := string(c.GetHeader(idempotencyKeyHeader))
	if len(k) > maxKeyBytes {
		return "", errkind.New(errkind.BadRequest, "the idempotency key is longer than %d bytes", maxKeyBytes).WithParam(idempotencyKeyHeader)
	}
	return k, nil
}

// listQuery holds the pagination parameters of a list request.
type listQuery struct {
	after string
	limit int
}

func (c request) listQuery(defaultLimit, maxLimit int) (listQuery, error) {
	q := listQuery{after: c.Query("after"), limit: defaultLimit}
	s := c.Query("limit")
	if s == "" {
		return q, nil
	}
	n := json.Number(s)
	v, err := n.Int64()
	if err != nil || v < 1 || v > int64(maxLimit) {
		return q, errkind.New(errkind.BadRequest, "limit must be a number from 1 to %d", maxLimit).WithParam("limit")
	}
	q.limit = int(v)
	return q, nil
}

// list is one page of objects.
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
