package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/gateway"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

func TestUnframedCallThatItsServersEndCutsIsNotComplete(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	faultOnFirstRun(platformtest.CrashUnframed, a, b)
	f := newFixture(t, a, b)
	w, err := f.serve(request("1", "/call"), route(catalog.Call, idempotent))
	assert.NilError(t, err)
	assert.Equal(t, w.Body.String(), "answer 1")

	c := platformtest.NewBackend(t, "c")
	c.SetFault(always(platformtest.CrashUnframed))
	_, err = newFixture(t, c).serve(request("2", "/call"), route(catalog.Call, nil))
	assert.Equal(t, errkind.From(err).Kind, errkind.BackendFailed)
}

func TestUnframedCallOfALivingServerIsComplete(t *testing.T) {
	a := platformtest.NewBackend(t, "a")
	a.SetFault(always(platformtest.CloseDelimited))
	w, err := newFixture(t, a).serve(request("1", "/call"), route(catalog.Call, nil))
	assert.NilError(t, err)
	assert.Equal(t, w.Body.String(), "answer 1")
}

// byteCounter counts the bytes of a response that is too long to record.
type byteCounter struct {
	header http.Header
	n      int
	// delay is how long the caller takes to read what is written at once.
	delay time.Duration
}

// Header implements http.ResponseWriter.
func (c *byteCounter) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (*byteCounter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (*byteCounter) Flush() {}

// Write implements http.ResponseWriter.
func (c *byteCounter) Write(p []byte) (int, error) {
	<-time.After(c.delay)
	c.n += len(p)
	return len(p), nil
}

// callBytes serves a call whose backend server has a fault, and returns the length of the response.
func callBytes(t *testing.T, fault platformtest.Fault) (int, error) {
	t.Helper()
	return slowCallBytes(t, fault, 0)
}

// slowCallBytes is callBytes with a caller that takes delay for each write. The request may be repeated.
func slowCallBytes(t *testing.T, fault platformtest.Fault, delay time.Duration) (int, error) {
	t.Helper()
	b := platformtest.NewBackend(t, "b")
	b.SetFault(always(fault))
	r := request("1", "/call")
	r.Deadline = r.ReceivedAt.Add(time.Minute)
	w := &byteCounter{header: make(http.Header), delay: delay}
	rt := route(catalog.Call, func(rt *catalog.Route) {
		rt.Timeout = time.Minute
		if delay > 0 {
			idempotent(rt)
			rt.FirstByteObjective = slowCallerObjective
		}
	})
	err := newFixture(t, b).ServeOnline(t.Context(), w, r, rt)
	return w.n, err
}

// slowCallerObjective keeps a busy machine from counting as a silent server. Servers may be silent for twice as long.
const slowCallerObjective = time.Second

// TestSlowCallerGetsTheWholeOfALongResponse guards against a response that is cut off while its caller reads it, by
// a timer that is meant for servers that send nothing.
func TestSlowCallerGetsTheWholeOfALongResponse(t *testing.T) {
	n, err := slowCallBytes(t, platformtest.LongCall, 2*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, n, platformtest.LongCallBytes)
}

// TestSlowCallerKeepsItsStream guards against a stream that goes on elsewhere, and a sound server that counts as
// failed, while the caller has yet to read an event.
func TestSlowCallerKeepsItsStream(t *testing.T) {
	b := platformtest.NewBackend(t, "b")
	b.Events = 2
	f := newFixture(t, b)
	r := request("1", "/stream")
	r.Deadline = r.ReceivedAt.Add(time.Minute)
	w := &byteCounter{header: make(http.Header), delay: 5 * slowCallerObjective / 2}
	rt := route(catalog.Stream, func(rt *catalog.Route) {
		resumable(rt)
		rt.Timeout, rt.FirstByteObjective = time.Minute, slowCallerObjective
	})
	assert.NilError(t, f.ServeOnline(t.Context(), w, r, rt))
	assert.Equal(t, w.n, len(streamBody("1", 2)))
	assert.Equal(t, len(b.Requests()), 1)
}

func TestLongResponseOfKnownLengthIsNotCutOff(t *testing.T) {
	n, err := callBytes(t, platformtest.LongCall)
	assert.NilError(t, err)
	assert.Equal(t, n, platformtest.LongCallBytes)
}

func TestResponseWithoutEndIsCutOff(t *testing.T) {
	n, err := callBytes(t, platformtest.EndlessCall)
	assert.Assert(t, errors.Is(err, gateway.ErrAborted), "%v", err)
	assert.Assert(t, n < platformtest.LongCallBytes, "%d bytes", n)
}

// TestServerThatSendsBytesWithoutEndIsReplaced covers bytes that are no response, in a head or a
// body, and events without end.
func TestServerThatSendsBytesWithoutEndIsReplaced(t *testing.T) {
	for _, fault := range append(platformtest.Endless(), platformtest.EndlessEvent) {
		a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
		a.SetFault(always(fault))
		f := newFixture(t, a, b)
		for _, id := range []string{"1", "2", "3", "4"} {
			begin := time.Now()
			w, err := f.serve(request(id, "/stream"), route(catalog.Stream, resumable))
			assert.NilError(t, err)
			assert.Equal(t, w.Body.String(), streamBody(id, 5))
			assert.Assert(t, time.Since(begin) < 400*time.Millisecond, "fault %d: %v", fault, time.Since(begin))
		}
		assert.Assert(t, len(a.Requests()) <= 3, "fault %d: %d requests reach the server", fault, len(a.Requests()))
	}
}

// TestStreamThatGetsCommentsOnlyGoesOnElsewhere covers a stalled backend server that keeps the
// connection alive: the caller used to wait until its deadline.
func TestStreamThatGetsCommentsOnlyGoesOnElsewhere(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	faultOnFirstRun(platformtest.EndlessComments, a, b)
	w, err := newFixture(t, a, b).serve(request("1", "/stream"), route(catalog.Stream, resumable))
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(w.Body.String(), streamBody("1", 5)), "%d bytes", w.Body.Len())
}
