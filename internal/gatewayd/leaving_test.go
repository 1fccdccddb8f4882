package gatewayd_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestServerThatSaysItLeavesGetsNoMoreRequests covers a backend server whose responses say that
// it leaves while its registration still says that it is ready.
func TestServerThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for name, path := range map[string]string{"call": "/call/1", "stream": "/stream/1"} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 2)
			leaving := d.backends[0]
			leaving.SetLeaving()
			g := d.start("a")
			for i := range 20 {
				resp, _ := g.send(t, http.MethodPost, path, fmt.Sprint("r", i), "x")
				assert.Equal(t, resp.StatusCode, http.StatusOK)
			}
			assert.Assert(t, len(leaving.Requests()) <= 1, "%d requests", len(leaving.Requests()))
		})
	}
}
