package entry

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/claim"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

// hopHeaders are not passed on in either direction.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Host": true, "Content-Length": true, "Authorization": true, "Date": true,
	requestIDHeader: true,
}

// plainSink gathers a plain service's answer, so that only a whole one is
// passed on.
type plainSink struct {
	limit   int
	status  int
	headers []*peerv1.Header
	body    bytes.Buffer
}

// head starts an answer; a new attempt replaces what an earlier one left.
func (p *plainSink) head(h *peerv1.Head) error {
	p.status = int(h.Status)
	p.headers = h.Headers
	p.body.Reset()
	return nil
}

func (p *plainSink) delta(d *peerv1.Delta) error {
	if p.body.Len()+len(d.Data) > p.limit {
		return errkind.New(errkind.TooLarge, "the service's answer is over the limit of %d bytes", p.limit)
	}
	p.body.Write(d.Data)
	return nil
}

// plainPath is what follows /services/{service}.
func plainPath(c *app.RequestContext) string {
	path := "/" + strings.TrimPrefix(c.Param("path"), "/")
	if q := c.URI().QueryString(); len(q) > 0 {
		path += "?" + string(q)
	}
	return path
}

func (e *Server) newPlainCall(doc *desired.Document, c *app.RequestContext, workspace string) (*call, error) {
	name := c.Param("service")
	svc, ok := doc.Service(name)
	if !ok || svc.Kind != desired.Plain {
		return nil, errkind.New(errkind.UnknownService, "no plain service is called %q", name).WithParam("service")
	}
	raw, err := e.readBody(c)
	if err != nil {
		return nil, err
	}
	method := string(c.Method())
	path := plainPath(c)
	bare, _, _ := strings.Cut(path, "?")
	cl := &call{
		id:            requestID(c),
		workspace:     workspace,
		service:       svc.Name,
		class:         admission.Online,
		method:        method,
		path:          path,
		body:          raw,
		nonIdempotent: svc.NonIdempotent(method, bare),
		deadline:      time.Now().Add(deadlineOf(svc)),
	}
	c.Request.Header.VisitAll(func(k, v []byte) {
		if name := http.CanonicalHeaderKey(string(k)); !hopHeaders[name] {
			cl.headers = append(cl.headers, &peerv1.Header{Name: name, Value: string(v)})
		}
	})
	return cl, nil
}

func (e *Server) plain(ctx context.Context, c *app.RequestContext) {
	doc, ws, err := e.admit(c)
	if err != nil {
		e.fail(c, err)
		return
	}
	defer e.limiter.leave(ws)
	cl, err := e.newPlainCall(doc, c, ws)
	if err != nil {
		e.fail(c, err)
		return
	}
	svc, _ := doc.Service(cl.service)
	key := string(c.GetHeader(idempotencyKeyHeader))
	if key != "" && cl.nonIdempotent {
		e.plainClaimed(ctx, c, cl, svc, key)
		return
	}
	if cl.nonIdempotent {
		// A caller that goes away does not stop what may not be repeated.
		ctx = context.WithoutCancel(ctx)
	}
	out := &plainSink{limit: e.settings.Limits.MaxBodyBytes}
	if _, kerr := e.run(ctx, cl, out); kerr != nil {
		e.fail(c, kerr)
		return
	}
	event.Log(e.logger, event.RequestDone, "request", cl.id)
	out.write(c)
}

// plainClaimed answers a keyed call that may not be repeated.
func (e *Server) plainClaimed(ctx context.Context, c *app.RequestContext, cl *call, svc *desired.Service, key string) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), cl.deadline)
	defer cancel()
	rec, recorded, err := e.claims.run(ctx, cl, svc, key)
	if err != nil {
		e.fail(c, err)
		return
	}
	event.Log(e.logger, event.RequestDone, "request", cl.id, "key", key)
	c.Header(recordedHeader, strconv.FormatBool(recorded))
	newPlainAnswer(rec).write(c)
}

func newPlainAnswer(r claim.Response) *plainSink {
	p := &plainSink{status: r.Status}
	for _, h := range r.Headers {
		p.headers = append(p.headers, &peerv1.Header{Name: h.Name, Value: h.Value})
	}
	p.body.Write(r.Body)
	return p
}

// recorded is the answer in the form that is kept.
func (p *plainSink) recorded() claim.Response {
	r := claim.Response{Status: p.status, Body: p.body.Bytes()}
	for _, h := range p.headers {
		r.Headers = append(r.Headers, claim.Header{Name: h.Name, Value: h.Value})
	}
	return r
}

func (p *plainSink) write(c *app.RequestContext) {
	for _, h := range p.headers {
		if !hopHeaders[http.CanonicalHeaderKey(h.Name)] {
			c.Response.Header.Add(h.Name, h.Value)
		}
	}
	c.SetStatusCode(p.status)
	c.Response.SetBody(p.body.Bytes())
}
