package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/eventstream"
	"github.com/catkinrudder/catkinrudder/upstream"
)

const (
	// wholeAnswer bounds the answers that are read whole before they are sent
	// on, so that one that breaks off can be tried again.
	wholeAnswer = 64 << 10
	eventStream = "text/event-stream"
)

// hopHeaders concern the connection to the backend server only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade"}

// relay sends an answer on to the caller.
func (o *online) relay(ctx context.Context, b catalog.Backend, answer *upstream.Response, quiet *silence) (again bool, err error) {
	if answer.Status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStream) {
		return o.relayEvents(ctx, b, answer, quiet)
	}
	defer quiet.Stop()
	if o.headSent {
		return o.broken(ctx, b, errors.Errorf("resumed with status %d", answer.Status))
	}
	body, err := io.ReadAll(io.LimitReader(answer, wholeAnswer))
	if err != nil {
		return o.broken(ctx, b, err)
	}
	o.sendHead(answer, len(body) < wholeAnswer, len(body))
	if _, err := o.w.Write(body); err != nil {
		return false, errors.Wrap(ErrAborted, "caller: "+err.Error())
	}
	if len(body) == wholeAnswer {
		if _, err := io.Copy(o.w, answer); err != nil {
			return o.broken(ctx, b, err)
		}
	}
	o.succeeded(b, answer.Status)
	return false, nil
}

// sendHead sends the head of the answer. whole says that the body has n bytes.
func (o *online) sendHead(answer *upstream.Response, whole bool, n int) {
	h := o.w.Header()
	for name, values := range answer.Header {
		if !slices.Contains(hopHeaders, name) {
			h[name] = values
		}
	}
	if _, set := h["Content-Type"]; !set {
		h["Content-Type"] = nil // keeps the library from guessing one
	}
	switch {
	case whole:
		h.Set("Content-Length", strconv.Itoa(n))
	case answer.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	o.w.WriteHeader(answer.Status)
	o.headSent = true
	o.firstByte = time.Now()
	o.g.Metrics.answered(o.route.Kind.String(), o.firstByte.Sub(o.r.ReceivedAt).Seconds())
}

// relayEvents sends whole events on as they arrive. The head goes with the
// first of them, so that an attempt without any event can be repeated.
func (o *online) relayEvents(ctx context.Context, b catalog.Backend, answer *upstream.Response, quiet *silence) (again bool, err error) {
	defer quiet.Stop()
	events := eventstream.NewReader(answer)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			o.endOfEvents(b, answer)
			return false, nil
		}
		if err != nil {
			return o.broken(ctx, b, err)
		}
		quiet.Reset()
		id := e.ID()
		if !eventstream.Follows(o.lastEvent, id) {
			return o.broken(ctx, b, errors.Errorf("event %q follows %q", id, o.lastEvent))
		}
		if !o.headSent {
			o.sendHead(answer, false, 0)
		}
		if err := o.sendEvent(e, id, !events.Buffered()); err != nil {
			return false, errors.Wrap(ErrAborted, "caller: "+err.Error())
		}
	}
}

func (o *online) sendEvent(e eventstream.Event, id string, flush bool) error {
	if _, err := o.w.Write(e.Raw); err != nil {
		return err
	}
	if id != "" {
		o.lastEvent = id
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(o.w).Flush()
}

// endOfEvents ends an answer whose backend server has sent all of it.
func (o *online) endOfEvents(b catalog.Backend, answer *upstream.Response) {
	if !o.headSent {
		o.sendHead(answer, true, 0)
	}
	o.succeeded(b, answer.Status)
}

// broken decides after an answer that broke off.
func (o *online) broken(ctx context.Context, b catalog.Backend, err error) (again bool, _ error) {
	if ctx.Err() != nil {
		return false, o.giveUp(o.expired(ctx.Err()))
	}
	o.avoid(b, false)
	o.worst = errkind.Wrap(err, errkind.BackendFailed, "backend server %s broke off", b.ID)
	if !o.mayRepeat() || o.headSent && !o.route.Resumable {
		return false, o.giveUp(o.worst)
	}
	o.logRetry(b, err)
	return true, nil
}

// succeeded ends a request that has its whole answer. An error of the backend
// server is an answer too, but no success of it.
func (o *online) succeeded(b catalog.Backend, status int) {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		o.avoid(b, false)
	} else {
		o.g.Table.RecordSuccess(b.ID)
	}
	event.Log(o.g.Log, event.RequestDone, "request", o.r.ID, "backend", b.ID, "status", status,
		"attempts", o.attempts, "first_byte", o.firstByte.Sub(o.r.ReceivedAt), "after", time.Since(o.r.ReceivedAt))
}
