package gatewayd_test

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestItemCarriesNoSecondRequest guards against an item whose path, id or header holds another request, which its server
// would run with any header fields, those that name a workspace among them.
func TestItemCarriesNoSecondRequest(t *testing.T) {
	d := newDeployment(t, 1)
	g := d.start("a")
	const second = " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: item\r\nContent-Length: 0\r\n\r\n" +
		"POST /stream/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: foreign\r\nTenant: other\r\nContent-Length: 0\r\n\r\nPOST /batch/0"
	submit := func(job, id, path string, header map[string]string, body string) int {
		raw, err := json.Marshal(map[string]any{"Items": []any{map[string]any{
			"Id": id, "Path": path, "Headers": header, "Body": base64.StdEncoding.EncodeToString([]byte(body)), "Tokens": 10,
		}}})
		assert.NilError(t, err)
		resp, _ := g.send(t, http.MethodPost, "/batch/j", job, string(raw))
		return resp.StatusCode
	}
	for job, c := range map[string][2]string{
		"path":  {"item", "/batch/0" + second},
		"tab":   {"item", "/batch/0\tx"},
		"space": {"item", "/batch/0 x"},
		"bare":  {"item", "batch"},
		"id":    {"item\r\nTenant: other", "/batch/0"},
	} {
		assert.Equal(t, submit(job, c[0], c[1], map[string]string{"Model": "m"}, "body"), http.StatusBadRequest, job)
	}
	header := map[string]string{"Model": "m\r\nTenant: other", "Transfer-Encoding": "chunked", "Connection": "X-Own", "X\r\nTenant": "other"}
	assert.Equal(t, submit("header", "item", "/batch/0", header, "0\r\n\r\nPOST /stream/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: foreign\r\n\r\n"), http.StatusAccepted)
	g.results(t, "header", 1)
	for _, r := range d.backends[0].Requests() {
		assert.Equal(t, r.ID, "item")
		assert.Equal(t, r.Path, "/batch/0")
		assert.Equal(t, r.Header.Get("Tenant"), "")
	}
}
