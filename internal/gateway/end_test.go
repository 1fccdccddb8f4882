package gateway_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/gateway"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// unprovedEnds are servers that cut off a response without length and chunks, and what hides their end.
var unprovedEnds = map[string]func(b *platformtest.Backend){
	"its address is in use again at once": func(b *platformtest.Backend) { b.SetFault(always(platformtest.ReplacedUnframed)) },
	"it answers nothing": func(b *platformtest.Backend) {
		b.SetFault(always(platformtest.ReplacedUnframed))
		b.OnIdentityRequest(func() { <-time.After(time.Second) })
	},
	"it does not say who it is": func(b *platformtest.Backend) {
		b.SetFault(always(platformtest.ReplacedUnframed))
		b.SetNameless()
	},
}

func TestCutStreamIsNotCompleteThoughItsServersAddressServes(t *testing.T) {
	for name, cut := range unprovedEnds {
		a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
		cut(a)
		f := newFixture(t, a)
		_, err := f.serve(request("1", "/stream"), route(catalog.Stream, nil))
		assert.Assert(t, errors.Is(err, gateway.ErrAborted), "%s: %v", name, err)

		f = newFixture(t, a, b)
		for _, id := range []string{"2", "3", "4", "5"} {
			w, err := f.serve(request(id, "/stream"), route(catalog.Stream, resumable))
			assert.NilError(t, err, name)
			assert.Equal(t, w.Body.String(), streamBody(id, 5), name)
		}
		assert.Assert(t, len(a.Requests()) > 1, "%s: no stream was cut", name)
	}
}

func TestCutCallIsNotCompleteThoughItsServersAddressServes(t *testing.T) {
	for name, cut := range unprovedEnds {
		a := platformtest.NewBackend(t, "a")
		cut(a)
		w, err := newFixture(t, a).serve(request("1", "/call"), route(catalog.Call, nil))
		assert.Equal(t, errkind.From(err).Kind, errkind.BackendFailed, "%s: body %q", name, w.Body)
	}
}
