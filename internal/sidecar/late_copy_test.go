package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// answerTwice serves calls on a connection that stays open. Before the answer to a later call it sends the answer to the
// former one once more.
func answerTwice(c net.Conn) {
	r := bufio.NewReader(c)
	last := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body := "answer to " + req.URL.Path
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(c, last+answer); err != nil {
			return
		}
		last = answer
	}
}

// TestLateCopyOfAnAnswerReachesNobody covers a backend server that sends the answer of one caller a
// second time while another one waits on the connection. Engines and plain services name no request
// in their answers, so the second caller used to get the answer of the first.
func TestLateCopyOfAnAnswerReachesNobody(t *testing.T) {
	b := newBackend(platformtest.ServeConns(t, answerTwice))
	for i := range 5 {
		path := fmt.Sprintf("/call-%d", i)
		var body []byte
		_, err := b.callPlain(t.Context(), &peerv1.RunRequest{Method: http.MethodGet, Path: path}, func(e *peerv1.RunEvent) bool {
			body = append(body, e.GetDelta().GetData()...)
			return true
		})
		assert.NilError(t, err)
		assert.Equal(t, string(body), "answer to "+path)
	}
}
