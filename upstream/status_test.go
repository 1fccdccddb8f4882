package upstream_test

import (
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/serving"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// hiddenResponse stands in the body of a response that must not be read as a head. It answers the request 1.
const hiddenResponse = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nInstance-Id: b\r\nContent-Length: 6\r\n\r\nhidden"

// withStatus returns a response with a status, whose body is a response.
func withStatus(status string) string {
	return fmt.Sprintf("HTTP/1.1%s\r\nRequest-Id: 1\r\nInstance-Id: b\r\nContent-Length: %d\r\n\r\n%s", status, len(hiddenResponse), hiddenResponse)
}

// noStatuses are status lines without a status that ends a request; 101 answers a question that is never asked.
var noStatuses = []string{
	" 000 X", " 000", " 001 X", " 099 X", " 099", " 99 X", " 9 X", " -1 X", " -01 X", " -00 X", " +99 X", " +20 X", " 1000 X", " 0200 X", " 2 00", " 20", " ", "",
	" 2OO X", " 0x1 X", " 101 Switching Protocols",
}

// TestResponseWithoutAStatusIsNoResponse guards against a status below 100 that reaches a caller, and against a body that is read as the
// head of a response.
func TestResponseWithoutAStatusIsNoResponse(t *testing.T) {
	for _, status := range noStatuses {
		address := platformtest.ServeBytes(t, withStatus(status))
		resp, err := newPool().Do(t.Context(), request("1", "/call"), serving.Attempt{BackendID: "b", Address: address})
		if assert.Check(t, err != nil, "%q", status) {
			continue
		}
		body, _ := io.ReadAll(resp)
		t.Errorf("%q: status %d, body %q", status, resp.Status, body)
		resp.Close()
	}
}

func TestResponseAfterAnInformationalOneIsRead(t *testing.T) {
	for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 199 X\r\n\r\n"} {
		for status, want := range map[string]int{" 200 OK": 200, " 200": 200, " 200 ": 200, " 299 X": 299, " 404 Not Found": 404, " 599 X": 599} {
			address := platformtest.ServeBytes(t, before+withStatus(status))
			resp, err := newPool().Do(t.Context(), request("1", "/call"), serving.Attempt{BackendID: "b", Address: address})
			assert.NilError(t, err, "%q", status)
			assert.Equal(t, resp.Status, want)
			body, err := io.ReadAll(resp)
			assert.NilError(t, err)
			assert.Equal(t, string(body), hiddenResponse)
			resp.Close()
		}
	}
}

// TestIdentityWithoutAStatusProvesNothing guards against a process that counts as serving by a response that is none.
func TestIdentityWithoutAStatusProvesNothing(t *testing.T) {
	for _, status := range noStatuses {
		address := platformtest.ServeBytes(t, withStatus(status))
		err := newPool().Probe(t.Context(), upstream.Expected{BackendID: "b", Address: address, HealthPath: "/health"})
		assert.Check(t, err != nil, "%q", status)
	}
}
