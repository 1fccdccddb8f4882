package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/intake"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// fullFixture is a gateway whose budget for responses is used up, and whose backend server sends body.
func fullFixture(t *testing.T, contentType, body string) *fixture {
	t.Helper()
	address := platformtest.ServeConns(t, func(c net.Conn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
				req.Header.Get("Request-Id"), contentType, len(body), body) // a dropped response is closed
		}
	})
	b := platformtest.NewBackend(t, "a")
	b.Address = address
	f := newFixture(t, b)
	budget := intake.NewBudget(intake.LargestFirst, 0, nil)
	other := budget.Open(nil)
	assert.NilError(t, other.Keep(8<<20+intake.FreeBytes))
	other.Pin()
	f.Pool = upstream.NewPool(upstream.Options{Codec: platform.Codec{}, DialTimeout: time.Second, Memory: budget})
	return f
}

func TestResponseIsPassedOnUnbufferedWithoutRoom(t *testing.T) {
	body := strings.Repeat("x", 40<<10)
	w, err := fullFixture(t, "text/plain", body).serve(request("1", "/call"), route(catalog.Call, idempotent))
	assert.NilError(t, err)
	assert.Equal(t, w.Body.String(), body)
}

func TestShortEventsArePassedOnWithoutRoom(t *testing.T) {
	body := streamBody("1", 5)
	w, err := fullFixture(t, "text/event-stream", body).serve(request("1", "/stream"), route(catalog.Stream, resumable))
	assert.NilError(t, err)
	assert.Equal(t, w.Body.String(), body)
}

func TestLongEventWithoutRoomIsAnHonestError(t *testing.T) {
	body := "id: 1\ndata: " + strings.Repeat("x", 100<<10) + "\n\n"
	w, err := fullFixture(t, "text/event-stream", body).serve(request("1", "/stream"), route(catalog.Stream, resumable))
	var e *errkind.Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	assert.Equal(t, e.Kind, errkind.BackendFailed)
	assert.Assert(t, errors.Is(err, intake.ErrDropped), "%v", err)
	assert.Equal(t, w.Body.Len(), 0)
}
