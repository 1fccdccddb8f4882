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

// hopByHopHeaders are the headers that are not forwarded in either direction: hop-by-hop
// headers, headers that each hop sets itself, and the caller's key.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Host": true, "Content-Length": true, "Authorization": true, "Date": true,
	requestIDHeader: true,
}

// plainSink buffers the response of a plain service, so that only a complete
// response is forwarded.
type plainSink struct {
	limit   int
	status  int
	headers []*peerv1.Header
	body    bytes.Buffer
}

// head starts a response; a new attempt replaces the output of an earlier one.
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

// plainPath returns the path after /services/{service}, and the query.
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
		if name := http.CanonicalHeaderKey(string(k)); !hopByHopHeaders[name] {
			cl.headers = append(cl.headers, &peerv1.Header{Name: name, Value: string(v)})
		}
	})
	return cl, nil
}

func (e *Server) plain(ctx context.Context, c *app.RequestContext) {
	doc, ws, err := e.admit(c)
	if err != nil {
		e.writeError(c, err)
		return
	}
	defer e.limiter.release(ws)
	cl, err := e.newPlainCall(doc, c, ws)
	if err != nil {
		e.writeError(c, err)
		return
	}
	svc, _ := doc.Service(cl.service)
	key := string(c.GetHeader(idempotencyKeyHeader))
	if key != "" && cl.nonIdempotent {
		e.plainClaimed(ctx, c, cl, svc, key)
		return
	}
	if cl.nonIdempotent {
		// A caller that disconnects does not stop a non-idempotent call.
		ctx = context.WithoutCancel(ctx)
	}
	out := &plainSink{limit: e.settings.Limits.MaxBodyBytes}
	if _, kerr := e.run(ctx, cl, out); kerr != nil {
		e.writeError(c, kerr)
		return
	}
	event.Log(e.logger, event.RequestDone, "request", cl.id)
	out.write(c)
}

// plainClaimed serves a non-idempotent call with an idempotency key.
func (e *Server) plainClaimed(ctx context.Context, c *app.RequestContext, cl *call, svc *desired.Service, key string) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), cl.deadline)
	defer cancel()
	rec, recorded, err := e.claims.run(ctx, cl, svc, key)
	if err != nil {
		e.writeError(c, err)
		return
	}
	event.Log(e.logger, event.RequestDone, "request", cl.id, "key", key)
	c.Header(recordedHeader, strconv.FormatBool(recorded))
	newPlainResponse(rec).write(c)
}

func newPlainResponse(r claim.Response) *plainSink {
	p := &plainSink{status: r.Status}
	for _, h := range r.Headers {
		p.headers = append(p.headers, &peerv1.Header{Name: h.Name, Value: h.Value})
	}
	p.body.Write(r.Body)
	return p
}

// response returns the buffered response in its stored form.
func (p *plainSink) response() claim.Response {
	r := claim.Response{Status: p.status, Body: p.body.Bytes()}
	for _, h := range p.headers {
		r.Headers = append(r.Headers, claim.Header{Name: h.Name, Value: h.Value})
	}
	return r
}

func (p *plainSink) write(c *app.RequestContext) {
	for _, h := range p.headers {
		if !hopByHopHeaders[http.CanonicalHeaderKey(h.Name)] {
			c.Response.Header.Add(h.Name, h.Value)
		}
	}
	c.SetStatusCode(p.status)
	c.Response.SetBody(p.body.Bytes())
}
