package gateway_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// earlyResponses are responses to requests whose body is still being written, by the kind of the route. The stream has
// fewer events than the whole one.
var earlyResponses = map[catalog.RouteKind]platformtest.EarlyResponse{
	catalog.Call:   {ContentType: "text/plain", Body: func(id string) string { return "answer " + id }},
	catalog.Stream: {ContentType: "text/event-stream", Body: func(id string) string { return streamBody(id, 3) }},
}

// longBody returns a body that takes a while to write.
func longBody(round int) []byte {
	return make([]byte, (1+round%13)<<20)
}

// TestPartOfAnEarlyResponseIsNotComplete guards against a part of a response without length that reaches the caller as the
// whole, because the connection was reset while the request was still being written.
func TestPartOfAnEarlyResponseIsNotComplete(t *testing.T) {
	const rounds = 60
	for kind, response := range earlyResponses {
		b := platformtest.NewBackend(t, "b")
		response.Reset = true
		b.SetEarly(&response)
		f := newFixture(t, b)
		for round := range rounds {
			r := request(fmt.Sprint(round), "/upload")
			r.Body = longBody(round)
			w, err := f.serve(r, route(kind, nil))
			assert.Check(t, err != nil, "%v: %q passed on as complete", kind, w.Body)
		}
	}
}

// TestEarlyResponseOfASoundServerIsComplete guards against a whole response that is broken off, because its server ends
// its side of the connection before it has read the request.
func TestEarlyResponseOfASoundServerIsComplete(t *testing.T) {
	const rounds = 20
	for kind, response := range earlyResponses {
		b := platformtest.NewBackend(t, "b")
		b.SetEarly(&response)
		f := newFixture(t, b)
		for round := range rounds {
			r := request(fmt.Sprint(round), "/upload")
			r.Body = longBody(round)
			w, err := f.serve(r, route(kind, nil))
			assert.NilError(t, err)
			assert.Equal(t, w.Body.String(), response.Body(r.ID))
		}
	}
}
