package entry

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
)

const (
	requestIDHeader      = "X-Request-Id"
	idempotencyKeyHeader = "Idempotency-Key"
	// recordedHeader reports whether a response is stored and can be read again.
	recordedHeader = "X-Catkinrudder-Recorded"
	bearerPrefix   = "Bearer "
	requestIDKey   = "catkinrudder.request_id"
)

// errorBody is the OpenAI error object, extended by kind and outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Param   *string         `json:"param"`
	Code    string          `json:"code"`
	Kind    errkind.Kind    `json:"kind"`
	Outcome errkind.Outcome `json:"outcome"`
}

func newErrorBody(err *errkind.Error) errorBody {
	r := err.Response()
	d := errorDetail{
		Message: err.Message,
		Type:    r.Type,
		Code:    string(err.Kind),
		Kind:    err.Kind,
		Outcome: r.Outcome,
	}
	if err.Param != "" {
		d.Param = &err.Param
	}
	return errorBody{d}
}

// writeError logs and counts a failed request and sends its final error response.
func (e *Server) writeError(c *app.RequestContext, err error) {
	kerr := errkind.From(err)
	r := kerr.Response()
	e.metrics.refused(kerr.Kind).Inc()
	event.Log(e.logger, event.RequestRefused, "request", requestID(c), "kind", kerr.Kind, "outcome", r.Outcome, "err", kerr)
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		c.Header("Retry-After", strconv.Itoa(seconds))
	}
	c.JSON(r.Status, newErrorBody(kerr))
}

// track counts a request as in progress while it is handled and assigns its id.
func (e *Server) track(ctx context.Context, c *app.RequestContext) {
	e.inProgress.Add(1)
	defer e.inProgress.Add(-1)
	id := uuid.NewString()
	c.Set(requestIDKey, id)
	c.Header(requestIDHeader, id)
	if e.draining.Load() {
		c.SetConnectionClose()
	}
	started := time.Now()
	c.Next(ctx)
	e.metrics.requestSeconds.UpdateDuration(started)
}

// checkHeader rejects a request whose header exceeds the limit.
func (e *Server) checkHeader(ctx context.Context, c *app.RequestContext) {
	if n := len(c.Request.Header.RawHeaders()); n > maxHeaderBytes {
		c.SetConnectionClose()
		e.writeError(c, errkind.New(errkind.HeaderTooLarge, "header of %d bytes is over the limit of %d", n, maxHeaderBytes))
		c.Abort()
		return
	}
	c.Next(ctx)
}

// readBody reads a request's body and rejects one that exceeds the limit.
func (e *Server) readBody(c *app.RequestContext) ([]byte, error) {
	limit := e.settings.Limits.MaxBodyBytes
	if !c.Request.IsBodyStream() {
		raw := c.Request.Body()
		if len(raw) > limit {
			return nil, tooLarge(limit)
		}
		return append([]byte(nil), raw...), nil
	}
	if c.Request.Header.ContentLength() > limit {
		c.SetConnectionClose()
		return nil, tooLarge(limit)
	}
	raw, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), int64(limit)+1))
	if err != nil {
		c.SetConnectionClose()
		return nil, errkind.Wrap(err, errkind.BadRequest, "the body ended early")
	}
	if len(raw) > limit {
		c.SetConnectionClose()
		return nil, tooLarge(limit)
	}
	return raw, nil
}

func tooLarge(limit int) error {
	return errkind.New(errkind.TooLarge, "the body is over the limit of %d bytes", limit)
}

func requestID(c *app.RequestContext) string { return c.GetString(requestIDKey) }

// workspace returns the workspace that the request's bearer key belongs to.
func (e *Server) workspace(c *app.RequestContext) (string, error) {
	doc, err := e.document()
	if err != nil {
		return "", err
	}
	return workspaceOf(doc, c)
}

func workspaceOf(doc *desired.Document, c *app.RequestContext) (string, error) {
	auth := string(c.GetHeader("Authorization"))
	key := strings.TrimPrefix(auth, bearerPrefix)
	ws, ok := doc.WorkspaceForKey(key)
	if !ok {
		return "", errkind.New(errkind.Unauthorized, "the bearer key belongs to no workspace")
	}
	return ws, nil
}

// admit authenticates an online request and admits it within its workspace's
// limits. It returns the configuration document in force and the workspace's name.
// Each admitted request must end with a call of e.limiter.release.
func (e *Server) admit(c *app.RequestContext) (*desired.Document, string, error) {
	doc, err := e.document()
	if err != nil {
		return nil, "", err
	}
	name, err := workspaceOf(doc, c)
	if err != nil {
		return nil, "", err
	}
	ws, ok := doc.Workspace(name)
	if !ok {
		ws = desired.Workspace{Name: name}
	}
	return doc, name, e.limiter.acquire(ws, e.fleet.entryCount())
}

func (e *Server) noRoute(_ context.Context, c *app.RequestContext) {
	e.writeError(c, errkind.New(errkind.NotFound, "no such path: %s", c.Path()))
}

func (e *Server) noMethod(_ context.Context, c *app.RequestContext) {
	e.writeError(c, errkind.New(errkind.MethodNotAllowed, "%s is not allowed on %s", c.Method(), c.Path()))
}

func (e *Server) writeJSON(c *app.RequestContext, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		e.writeError(c, err)
		return
	}
	c.Data(http.StatusOK, "application/json", b)
}
