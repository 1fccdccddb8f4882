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
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/eventstream"
	"github.com/catkinrudder/catkinrudder/upstream"
)

const (
	// maxBufferedBytes bounds the responses that are buffered whole before they are
	// sent, so that an attempt whose response is cut off can be repeated.
	maxBufferedBytes = 64 << 10
	// freelyBufferedBytes bounds them while the budget of the process has no room for more.
	freelyBufferedBytes = 8 << 10
	// maxResponseBytes bounds a response that is not a stream of events and states no length.
	maxResponseBytes = 64 << 20
	eventStreamType  = "text/event-stream"
)

// hopByHopHeaders lists the headers that concern the backend server's connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade"}

// relay sends a response to the caller. It returns true if the response was cut off and
// another attempt may be made.
func (o *onlineRequest) relay(ctx context.Context, b catalog.Backend, response *upstream.Response, idle *idleTimer) (retry bool, err error) {
	if response.Status == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType) {
		return o.relayEvents(ctx, b, response, idle)
	}
	defer idle.Stop()
	if o.headSent {
		return o.handleInterruption(ctx, b, errors.Errorf("resumed response has status %d", response.Status))
	}
	body, long, err := readShort(response)
	if err != nil {
		return o.handleInterruption(ctx, b, err)
	}
	if long {
		return o.relayLong(ctx, b, response, body, idle)
	}
	if examination, err := o.checkEnd(ctx, b, response); err != nil {
		return o.handleUnprovedEnd(ctx, b, err, examination)
	}
	o.sendHead(response, int64(len(body)))
	if _, err := o.w.Write(body); err != nil {
		return false, errors.Wrap(ErrAborted, "write to the caller: "+err.Error())
	}
	o.succeeded(b, response.Status)
	return false, nil
}

// readShort reads a response, or its first part if it is too long to be buffered whole.
func readShort(response *upstream.Response) (body []byte, long bool, err error) {
	body, err = io.ReadAll(io.LimitReader(response, freelyBufferedBytes))
	if err != nil || len(body) < freelyBufferedBytes {
		return body, false, err
	}
	if !response.TryKeep(maxBufferedBytes) {
		return body, true, nil
	}
	rest, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes-freelyBufferedBytes))
	body = append(body, rest...)
	return body, len(body) == maxBufferedBytes, err
}

// relayLong sends a response that begins with body as it arrives. No other attempt can replace it once its
// head is sent, so it has until the deadline, however slowly its caller reads.
func (o *onlineRequest) relayLong(ctx context.Context, b catalog.Backend, response *upstream.Response, body []byte, idle *idleTimer) (retry bool, err error) {
	idle.Stop()
	o.sendHead(response, response.Length)
	if _, err := o.w.Write(body); err != nil {
		return false, errors.Wrap(ErrAborted, "write to the caller: "+err.Error())
	}
	if err := o.copyRest(response); err != nil {
		return o.handleInterruption(ctx, b, err)
	}
	if examination, err := o.checkEnd(ctx, b, response); err != nil {
		return o.handleUnprovedEnd(ctx, b, err, examination)
	}
	o.succeeded(b, response.Status)
	return false, nil
}

// copyRest sends the rest of a response to the caller. If its head states no length, it may have no
// end.
func (o *onlineRequest) copyRest(response *upstream.Response) error {
	if response.Length >= 0 {
		_, err := io.Copy(o.w, response)
		return errors.Wrap(err, "copy response")
	}
	n, err := io.Copy(o.w, io.LimitReader(response, maxResponseBytes))
	if err == nil && n == maxResponseBytes {
		return errors.Errorf("the response is longer than %d bytes", maxResponseBytes)
	}
	return errors.Wrap(err, "copy response")
}

// unknownLength is the length of a body that more than one backend server may send.
const unknownLength = -1

// sendHead sends the head of the response, whose body has length bytes, or unknownLength.
func (o *onlineRequest) sendHead(response *upstream.Response, length int64) {
	h := o.w.Header()
	for name, values := range response.Header {
		if !slices.Contains(hopByHopHeaders, name) {
			h[name] = values
		}
	}
	if _, set := h["Content-Type"]; !set {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	o.w.WriteHeader(response.Status)
	o.headSent = true
	o.outliveShutdown() // an answer that has begun may still be complete before the process ends
	o.firstByte = time.Now()
	o.g.Metrics.firstByte(o.route.Kind.String(), o.firstByte.Sub(o.r.ReceivedAt).Seconds())
}

// relayEvents sends complete events as they arrive. The head is sent with the first
// event, so that an attempt without any event can be repeated.
func (o *onlineRequest) relayEvents(ctx context.Context, b catalog.Backend, response *upstream.Response, idle *idleTimer) (retry bool, err error) {
	defer idle.Stop()
	events := eventstream.NewReader(response, response.Keep)
	progress := o.g.Quarantine.Follow(func() []string { return o.suspectsIfNeeded(eagerIdentityBytes) })
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return o.endOfEvents(ctx, b, response)
		}
		if err != nil {
			return o.handleInterruption(ctx, b, err)
		}
		if e.HasData() {
			idle.Stop() // the caller may read slowly
			progress.Event()
		}
		id := e.ID()
		if err := o.sequence.Accept(id, e.HasData()); err != nil {
			o.reportOutOfOrder(b, err)
			return o.handleInterruption(ctx, b, err)
		}
		if !o.headSent {
			o.recordOrigin(b)
			o.sendHead(response, unknownLength)
		}
		if err := o.sendEvent(e, id, !events.Buffered()); err != nil {
			return false, errors.Wrap(ErrAborted, "write to the caller: "+err.Error())
		}
		if e.HasData() {
			idle.Reset()
		}
	}
}

// endOfEvents handles the end of a stream.
func (o *onlineRequest) endOfEvents(ctx context.Context, b catalog.Backend, response *upstream.Response) (retry bool, err error) {
	if examination, err := o.checkEnd(ctx, b, response); err != nil {
		return o.handleUnprovedEnd(ctx, b, err, examination)
	}
	if !o.headSent {
		o.sendHead(response, 0)
	}
	o.succeeded(b, response.Status)
	return false, nil
}

func (o *onlineRequest) sendEvent(e eventstream.Event, id string, flush bool) error {
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

// succeeded completes a request whose caller has the complete response. A server
// error is a complete response too, but it counts as a failure of the backend server.
func (o *onlineRequest) succeeded(b catalog.Backend, status int) {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		o.reportFailure(b, false)
	} else {
		o.g.Table.RecordSuccess(b.ID)
	}
	if status == http.StatusOK && o.firstByte.After(o.attemptBegan) {
		o.g.queue.completed(o.service, time.Since(o.attemptBegan), o.firstByte.Sub(o.attemptBegan))
	}
	if status == http.StatusOK {
		o.g.Quarantine.RunCompleted(o.suspectsIfNeeded(eagerIdentityBytes))
	}
	event.Log(o.g.Log, event.RequestDone, "request", o.r.ID, "backend", b.ID, "status", status,
		"attempts", o.attempts, "first_byte", o.firstByte.Sub(o.r.ReceivedAt), "after", time.Since(o.r.ReceivedAt))
}
