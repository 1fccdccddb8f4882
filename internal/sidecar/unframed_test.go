package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// callUnframed makes a call whose response ends with its connection.
func callUnframed(t *testing.T, fault platformtest.Fault) (body string, err error) {
	t.Helper()
	b := platformtest.NewBackend(t, "b")
	b.SetFault(func(platformtest.Request) platformtest.Fault { return fault })
	request := &peerv1.RunRequest{
		Method: "POST", Path: "/call", AttemptId: "1", NonIdempotent: true,
		Headers: []*peerv1.Header{{Name: "Request-Id", Value: "1"}, {Name: "Expect-Instance", Value: "b"}},
	}
	_, err = newBackend(b.Address).callPlain(t.Context(), request, func(e *peerv1.RunEvent) bool {
		body += string(e.GetDelta().GetData())
		return true
	})
	return body, err
}

func TestUnframedResponseThatItsServersEndCutsIsNotComplete(t *testing.T) {
	_, err := callUnframed(t, platformtest.CrashUnframed)
	assert.Assert(t, err != nil)
}

func TestUnframedResponseOfALivingServerIsComplete(t *testing.T) {
	body, err := callUnframed(t, platformtest.CloseDelimited)
	assert.NilError(t, err)
	assert.Equal(t, body, "answer 1")
}
