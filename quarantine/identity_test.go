package quarantine

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/serving"
)

func identifiedRequest(change func(*serving.Request)) *serving.Request {
	r := &serving.Request{
		ID: "1", Caller: "10.0.0.1", Method: http.MethodPost, Host: "h", Target: "/a?b=1", Path: "/a", Header: http.Header{"Deadline-Ms": {"5000"}},
		Body: []byte("body"), Deadline: time.Unix(9, 0),
	}
	if change != nil {
		change(r)
	}
	return r
}

func TestIdentitiesOfARequest(t *testing.T) {
	first := Identities(identifiedRequest(nil))
	for name, test := range map[string]struct {
		change              func(*serving.Request)
		sameRequest, caller bool
	}{
		"sent again": {func(r *serving.Request) {
			r.ID, r.Deadline, r.LastEventID = "2", time.Unix(5, 0), "7"
			r.Header = http.Header{"Deadline-Ms": {"3000"}, "Traceparent": {"x"}}
		}, true, true},
		"another caller":      {func(r *serving.Request) { r.Caller = "10.0.0.2" }, true, false},
		"another account":     {func(r *serving.Request) { r.Header = http.Header{"Authorization": {"b"}} }, true, false},
		"identified":          {func(r *serving.Request) { r.Identity = serving.Identity{Checked: true, Workspace: "w"} }, true, false},
		"another body":        {func(r *serving.Request) { r.Body = []byte("other") }, false, false},
		"another query":       {func(r *serving.Request) { r.Target = "/a?b=2" }, false, false},
		"another method":      {func(r *serving.Request) { r.Method = http.MethodPut }, false, false},
		"fields run together": {func(r *serving.Request) { r.Host, r.Target = "h/a", "?b=1" }, false, false},
	} {
		got := Identities(identifiedRequest(test.change))
		assert.Equal(t, got[0] == first[0], test.sameRequest, name)
		assert.Equal(t, got[1] == first[1], test.caller, name)
	}
	for _, identity := range first {
		assert.Assert(t, !strings.Contains(identity, "body") && len(identity) <= maxKeyBytes, identity)
	}
}

func BenchmarkIdentities(b *testing.B) {
	for name, n := range map[string]int{"1 KB": 1 << 10, "16 KB": 16 << 10, "1 MB": 1 << 20} {
		b.Run(name, func(b *testing.B) {
			r := identifiedRequest(func(r *serving.Request) { r.Body = make([]byte, n) })
			for b.Loop() {
				Identities(r)
			}
		})
	}
}
