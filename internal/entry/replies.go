package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrudder/catkinrudder/claim"
	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

// catchUpTimeout limits how long a read waits until the log's content is folded.
const catchUpTimeout = 5 * time.Second

// replyStorage describes whether and how one chat reply is stored.
type replyStorage struct {
	service *desired.Service
	// store stores the reply under its id; key, if set, stores it under the
	// caller's idempotency key.
	store bool
	key   string
	hash  string
}

func (s *replyStorage) enabled() bool { return s.store || s.key != "" }

func newReplyStorage(c *call, svc *desired.Service, req *chatRequest, key string) *replyStorage {
	s := &replyStorage{service: svc, store: svc.Store, key: key}
	if req.Store != nil {
		s.store = *req.Store
	}
	if key != "" {
		s.hash = requestHash(c)
	}
	return s
}

// persist commits a complete reply before its end is sent to the caller. recorded
// is false if the log is down and the service allows unrecorded responses then.
// first is false if another request has recorded the key's response before.
func (e *Server) persist(ctx context.Context, c *call, storage *replyStorage, body completion) (recorded, first bool, err error) {
	if !storage.enabled() {
		return false, true, nil
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return false, false, err
	}
	ctx, cancel := e.claims.withLogTimeout(context.WithoutCancel(ctx), c)
	defer cancel()
	first = true
	var g errgroup.Group
	if storage.store {
		g.Go(func() error { return e.storeReply(ctx, c, storage, raw) })
	}
	if storage.key != "" {
		g.Go(func() (err error) { first, err = e.recordResponse(ctx, c, storage, raw); return err })
	}
	if err := g.Wait(); err == nil {
		return true, first, nil
	} else if storage.service.LogDown != desired.AnswerUnrecorded {
		return false, first, errkind.Wrap(err, errkind.LogUnavailable, "the reply could not be recorded").WithOutcome(errkind.Unknown)
	}
	return false, true, nil
}

func (e *Server) storeReply(ctx context.Context, c *call, storage *replyStorage, raw []byte) error {
	return e.claims.claimer.StoreReply(ctx, claim.Reply{
		Workspace:        c.workspace,
		ID:               completionID(c.id),
		Service:          c.service,
		At:               time.Now().Unix(),
		RetentionSeconds: int64(retentionOf(storage.service).Seconds()),
		Body:             raw,
	})
}

// recordResponse records the response under the caller's key and reports whether
// it is the first one.
func (e *Server) recordResponse(ctx context.Context, c *call, storage *replyStorage, raw []byte) (bool, error) {
	row, err := e.claims.claimer.RecordResponse(ctx, claim.Claim{
		Workspace:        c.workspace,
		Key:              storage.key,
		RequestHash:      storage.hash,
		Attempt:          c.id,
		Service:          c.service,
		At:               time.Now().Unix(),
		RetentionSeconds: int64(retentionOf(storage.service).Seconds()),
	}, claim.Response{Status: http.StatusOK, Body: raw})
	return err == nil && row.Claim.Attempt == c.id, err
}

// replay sends the recorded response of the request's key; done is false if there
// is none.
func (e *Server) replay(ctx context.Context, c *app.RequestContext, cl *call, storage *replyStorage, req *chatRequest) (done bool) {
	if storage.key == "" {
		return false
	}
	row, ok := e.claims.claimer.Lookup(cl.workspace, storage.key)
	if !ok || !row.Phase.Ended() {
		return false
	}
	if row.Claim.RequestHash != storage.hash {
		e.writeError(c, errkind.New(errkind.KeyReused, "the idempotency key was used for another request").WithParam(idempotencyKeyHeader))
		return true
	}
	e.writeRecorded(ctx, c, cl, row, req)
	return true
}

// writeRecorded sends the recorded response of a row in the requested format.
func (e *Server) writeRecorded(ctx context.Context, c *app.RequestContext, cl *call, row claim.Row, req *chatRequest) {
	rec, _, err := e.claims.recordedResponse(ctx, row)
	if err != nil {
		e.writeError(c, err)
		return
	}
	c.Header(recordedHeader, strconv.FormatBool(true))
	if !req.Stream {
		c.Data(http.StatusOK, "application/json", rec.Body)
		return
	}
	var body completion
	if err := json.Unmarshal(rec.Body, &body); err != nil || len(body.Choices) == 0 {
		e.writeError(c, errkind.New(errkind.Internal, "the recorded answer can't be read").WithOutcome(errkind.Complete))
		return
	}
	out := &streamSink{call: cl, ctx: c}
	choice := body.Choices[0]
	if out.delta(&peerv1.Delta{Data: []byte(choice.Message.Content)}) != nil {
		return
	}
	end := &peerv1.End{FinishReason: choice.FinishReason}
	if body.Usage != nil {
		end.PromptTokens = uint32(body.Usage.PromptTokens)
		cl.resumeTokens = body.Usage.CompletionTokens
	}
	_ = out.finish(end, req.StreamOptions.IncludeUsage)
}

// loadReply reads a stored reply. A reply that is not found may have been stored
// through another entry, so everything in the log is folded before a second read.
func (e *Server) loadReply(ctx context.Context, workspace, id string) (claim.Reply, error) {
	reply, err := e.claims.claimer.LoadReply(ctx, workspace, id)
	if !errors.Is(err, claim.ErrNoResponse) {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := e.claims.stream.CatchUp(ctx); err != nil {
		return claim.Reply{}, err
	}
	return e.claims.claimer.LoadReply(ctx, workspace, id)
}

// storedReply serves GET /v1/chat/completions/{id}.
func (e *Server) storedReply(ctx context.Context, c *app.RequestContext) {
	ws, err := e.workspace(c)
	if err != nil {
		e.writeError(c, err)
		return
	}
	id := c.Param("id")
	if !strings.HasPrefix(id, completionID("")) {
		e.writeStoredError(c, errkind.New(errkind.NotFound, "no stored reply %q", id).WithParam("id"))
		return
	}
	reply, err := e.loadReply(ctx, ws, id)
	switch {
	case err == nil:
		c.Data(http.StatusOK, "application/json", reply.Body)
	case errors.Is(err, claim.ErrNoResponse):
		e.writeStoredError(c, errkind.New(errkind.NotFound, "no stored reply %q", id).WithParam("id"))
	case errors.Is(err, commitlog.ErrNotRetained):
		e.writeError(c, errkind.Wrap(err, errkind.Expired, "the reply is not kept any more"))
	default:
		e.writeError(c, errkind.Wrap(err, errkind.LogUnavailable, "the reply can't be read now").WithOutcome(errkind.Complete))
	}
}
