package sidecar

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// uploadBytes is the length of a request that takes a while to write.
const uploadBytes = 8 << 20

// callEarly makes calls to a server that answers early, and returns those that were complete.
func callEarly(t *testing.T, rounds int, response platformtest.EarlyResponse) (complete int) {
	t.Helper()
	server := platformtest.NewBackend(t, "b")
	server.SetEarly(&response)
	b := newBackend(server.Address)
	for round := range rounds {
		id := fmt.Sprint(round)
		request := &peerv1.RunRequest{
			Method: "POST", Path: "/call", AttemptId: id, Body: make([]byte, uploadBytes),
			Headers: []*peerv1.Header{{Name: "Request-Id", Value: id}, {Name: "Expect-Instance", Value: "b"}},
		}
		var body string
		_, err := b.callPlain(t.Context(), request, func(e *peerv1.RunEvent) bool {
			body += string(e.GetDelta().GetData())
			return true
		})
		if err == nil {
			assert.Equal(t, body, response.Body(id))
			complete++
		}
	}
	return complete
}

// TestPartOfAnEarlyResponseIsNotComplete guards against a part of a response without length that counts as the whole,
// because the connection was reset while the request was still being written.
func TestPartOfAnEarlyResponseIsNotComplete(t *testing.T) {
	complete := callEarly(t, 40, platformtest.EarlyResponse{Reset: true, Body: func(id string) string { return "answer " + id }})
	assert.Equal(t, complete, 0)
}

// TestEarlyResponseOfASoundServerIsComplete guards against a whole response that is broken off, because its server ends
// its side of the connection before it has read the request.
func TestEarlyResponseOfASoundServerIsComplete(t *testing.T) {
	const rounds = 10
	complete := callEarly(t, rounds, platformtest.EarlyResponse{Body: func(id string) string { return "answer " + id }})
	assert.Equal(t, complete, rounds)
}
