package sidecar

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/errkind"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestResponseWithoutAStatusIsNoResponse guards against a status below 200 that reaches a caller, or that counts as an order which an
// engine has accepted.
func TestResponseWithoutAStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000 X", "000", "001 X", "099 X", "-00 X", "+99 X", "101 Switching Protocols", "99 X", "1000 X", "2 00", "-1 X"} {
		b := newBackend(platformtest.ServeBytes(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nno"))
		head := 0
		_, err := b.callPlain(t.Context(), &peerv1.RunRequest{Method: "POST", Path: "/call"}, func(e *peerv1.RunEvent) bool {
			if e.GetHead() != nil {
				head++
			}
			return true
		})
		assert.Check(t, err != nil && head == 0, "%q: a call has %d heads, %v", status, head, err)
		_, err = b.chat(t.Context(), &peerv1.RunRequest{Method: "POST", Model: true, Body: []byte("{}")}, func(*peerv1.Delta) bool { return true })
		var e *errkind.Error
		refused := errors.As(err, &e) && e.Kind == errkind.BackendRefused
		assert.Check(t, err != nil && !refused, "%q: a completion: %v", status, err)
		assert.Check(t, b.order(t.Context(), &peerv1.Order{Spec: &peerv1.Spec{}}) != nil, "%q: an order", status)
	}
}
