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

// catchUpTimeout bounds how long a read waits for what is in the log by then.
const catchUpTimeout = 5 * time.Second

// keeping says what is kept of one chat reply.
type keeping struct {
	service *desired.Service
	// store keeps the reply under its id, key keeps it under the caller's
	// idempotency key.
	store bool
	key   string
	hash  string
}

func (k *keeping) any() bool { return k.store || k.key != "" }

func newKeeping(c *call, svc *desired.Service, req *chatRequest, key string) *keeping {
	k := &keeping{service: svc, store: svc.Store, key: key}
	if req.Store != nil {
		k.store = *req.Store
	}
	if key != "" {
		k.hash = requestHash(c)
	}
	return k
}

// keep commits a whole reply before its end is told to the caller. recorded is
// false if the log is down and the service answers unrecorded then. first is
// false if the key's answer had been recorded by another request.
func (e *Server) keep(ctx context.Context, c *call, k *keeping, body completion) (recorded, first bool, err error) {
	if !k.any() {
		return false, true, nil
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return false, false, err
	}
	ctx, cancel := e.claims.patience(context.WithoutCancel(ctx), c)
	defer cancel()
	first = true
	var g errgroup.Group
	if k.store {
		g.Go(func() error { return e.storeReply(ctx, c, k, raw) })
	}
	if k.key != "" {
		g.Go(func() (err error) { first, err = e.recordAnswer(ctx, c, k, raw); return err })
	}
	if err := g.Wait(); err == nil {
		return true, first, nil
	} else if k.service.LogDown != desired.AnswerUnrecorded {
		return false, first, errkind.Wrap(err, errkind.LogUnavailable, "the reply could not be recorded").WithOutcome(errkind.Unknown)
	}
	return false, true, nil
}

func (e *Server) storeReply(ctx context.Context, c *call, k *keeping, raw []byte) error {
	return e.claims.claimer.StoreReply(ctx, claim.Reply{
		Workspace:        c.workspace,
		ID:               completionID(c.id),
		Service:          c.service,
		At:               time.Now().Unix(),
		RetentionSeconds: int64(retentionOf(k.service).Seconds()),
		Body:             raw,
	})
}

// recordAnswer keeps the answer under the caller's key and reports whether it
// was the first.
func (e *Server) recordAnswer(ctx context.Context, c *call, k *keeping, raw []byte) (bool, error) {
	row, err := e.claims.claimer.RecordResponse(ctx, claim.Claim{
		Workspace:        c.workspace,
		Key:              k.key,
		RequestHash:      k.hash,
		Attempt:          c.id,
		Service:          c.service,
		At:               time.Now().Unix(),
		RetentionSeconds: int64(retentionOf(k.service).Seconds()),
	}, claim.Response{Status: http.StatusOK, Body: raw})
	return err == nil && row.Claim.Attempt == c.id, err
}

// replay answers a chat from its key's recorded answer; done is false if there
// is none.
func (e *Server) replay(ctx context.Context, c *app.RequestContext, cl *call, k *keeping, req *chatRequest) (done bool) {
	if k.key == "" {
		return false
	}
	row, ok := e.claims.claimer.Lookup(cl.workspace, k.key)
	if !ok || !row.Phase.Ended() {
		return false
	}
	if row.Claim.RequestHash != k.hash {
		e.fail(c, errkind.New(errkind.KeyReused, "the idempotency key was used for another request").WithParam(idempotencyKeyHeader))
		return true
	}
	e.answerRecorded(ctx, c, cl, row, req)
	return true
}

// answerRecorded gives the recorded answer of a row in the form asked for.
func (e *Server) answerRecorded(ctx context.Context, c *app.RequestContext, cl *call, row claim.Row, req *chatRequest) {
	rec, _, err := e.claims.recorded(ctx, row)
	if err != nil {
		e.fail(c, err)
		return
	}
	c.Header(recordedHeader, strconv.FormatBool(true))
	if !req.Stream {
		c.Data(http.StatusOK, "application/json", rec.Body)
		return
	}
	var body completion
	if err := json.Unmarshal(rec.Body, &body); err != nil || len(body.Choices) == 0 {
		e.fail(c, errkind.New(errkind.Internal, "the recorded answer can't be read").WithOutcome(errkind.Complete))
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

// loadReply reads a stored reply. One that is not known here may have been
// stored through another entry, so everything in the log is folded first.
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

// storedReply answers GET /v1/chat/completions/{id}.
func (e *Server) storedReply(ctx context.Context, c *app.RequestContext) {
	ws, err := e.workspace(c)
	if err != nil {
		e.fail(c, err)
		return
	}
	id := c.Param("id")
	if !strings.HasPrefix(id, completionID("")) {
		e.failKept(c, errkind.New(errkind.NotFound, "no stored reply %q", id).WithParam("id"))
		return
	}
	reply, err := e.loadReply(ctx, ws, id)
	switch {
	case err == nil:
		c.Data(http.StatusOK, "application/json", reply.Body)
	case errors.Is(err, claim.ErrNoResponse):
		e.failKept(c, errkind.New(errkind.NotFound, "no stored reply %q", id).WithParam("id"))
	case errors.Is(err, commitlog.ErrNotRetained):
		e.fail(c, errkind.Wrap(err, errkind.Expired, "the reply is not kept any more"))
	default:
		e.fail(c, errkind.Wrap(err, errkind.LogUnavailable, "the reply can't be read now").WithOutcome(errkind.Complete))
	}
}
