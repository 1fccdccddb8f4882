package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
)

// FuzzChatRequest parses callers' chat requests: each body must give a call or an
// error with the outcome not_run, and never a panic.
func FuzzChatRequest(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hello"}]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":-1}`,
		`{"model":"m","messages":[{}],"stream":true,"n":2}`,
		`{"model":7}`, `[]`, `null`, "", "{\"model\":\"m\",\"messages\":[{\"content\":null}]}",
	} {
		f.Add([]byte(seed))
	}
	doc := &desired.Document{Services: []desired.Service{{Name: "s", Kind: desired.Model, Models: []string{"m"}}}}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, req, err := newChatCall(doc, "workspace", body)
		if err != nil {
			assert.Equal(t, errkind.From(err).Response().Outcome, errkind.NotRun)
			return
		}
		assert.Equal(t, c.service, "s")
		assert.Assert(t, len(req.Messages) > 0 && c.maxTokens >= 0)
	})
}
