package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
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
