package desired

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/desired/stricttoml"
)

const validDocument = `
[[service]]
name = "tuner-assistant"
models = ["tuner-1"]
`

func TestParseReportsLocationAndFix(t *testing.T) {
	const service = "[[service]]\nname = \"a\"\nmodels = [\"m\"]\n"
	tests := []struct {
		name, raw, want string
	}{
		{"unknown key", service + "deadlne = \"3s\"\n", `f.toml:4:1: service.deadlne: unknown key (did you mean "deadline"?)`},
		{"unknown table", service + "[workspaces]\n", `f.toml:4:2: workspaces: unknown key (did you mean "workspace"?)`},
		{"bad unit", service + "deadline = \"3 sec\"\n", `unknown unit " sec" in duration`},
		{"no unit", service + "deadline = 30\n", `f.toml:4:1: deadline: not a string with a unit`},
		{"no unit inline", "service = [{name = \"a\", models = [\"m\"], deadline = 30}]\n", `f.toml:1:41: deadline: not a string with a unit`},
		{"wrong type", service + "slots = \"x\"\n", `f.toml:4:9: service.slots: the value is of type string, but int is wanted`},
		{"syntax", service + "slots = \"x\n", `f.toml:4:11: `},
		{"kind", service + "kind = \"modell\"\n", `f.toml:4:1: service[0].kind: unknown kind "modell" (did you mean "model"?)`},
		{"method case", "[[service]]\nname = \"p\"\nkind = \"plain\"\n[[service.call]]\nmethod = \"post\"\npath = \"/x\"\n", `f.toml:5:1: service[0].call[0].method: unknown method "post" (did you mean "POST"?)`},
		{"name twice", service + "[[service]]\nname = \"a\"\nkind = \"plain\"\n", `f.toml:5:1: service[1].name: name "a" is used twice`},
		{"model twice", service + "[[service]]\nname = \"b\"\nmodels = [\"m\"]\n", `f.toml:6:1: service[1].models: model "m" is already served by service "a"`},
		{"no models", "[[service]]\nname = \"a\"\n", `f.toml:1:3: service[0].models: a model service needs a model`},
		{"no service", "base = 1\n", `f.toml:1:1: service: at least one service is needed`},
		{"key itself", service + "[[workspace]]\nname = \"w\"\nkey_sha256 = [\"secret\"]\n", `f.toml:6:1: workspace[0].key_sha256: not a SHA-256 hash`},
		{"target above deadline", service + "ttft_target = \"2h\"\n", `f.toml:4:1: service[0].ttft_target: longer than the deadline of 1m0s`},
		{"negative", service + "[[workspace]]\nname = \"w\"\n[workspace.limits]\nmax_jobs = -1\n", `f.toml:7:1: workspace[0].limits.max_jobs: -1 is negative`},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(tc.raw))
			var list *stricttoml.Error
			assert.Assert(t, errors.As(err, &list), "%v", err)
			assert.Assert(t, strings.Contains(err.Error(), tc.want), "%v", err)
		})
	}
}

func TestParseSetsDefaultsAndMarshalsBack(t *testing.T) {
	d, err := Parse("f.toml", []byte(validDocument))
	assert.NilError(t, err)
	s, ok := d.ServiceForModel("tuner-1")
	assert.Assert(t, ok)
	assert.Equal(t, s.Name, "tuner-assistant")
	assert.Equal(t, time.Duration(s.Deadline), DefaultDeadline)
	raw, err := d.Marshal()
	assert.NilError(t, err)
	again, err := Parse("again", raw)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, d)
}

func TestWithBase(t *testing.T) {
	for raw, want := range map[string]string{
		"# [x]\n base = 3 # why\n" + validDocument: "# [x]\n base = 12 # why\n" + validDocument,
		validDocument: "base = 12\n" + validDocument,
	} {
		out, err := WithBase([]byte(raw), 12)
		assert.NilError(t, err)
		assert.Equal(t, string(out), want)
	}
}

func TestDiffNamesElements(t *testing.T) {
	from, err := Parse("f", []byte(validDocument))
	assert.NilError(t, err)
	to, err := Parse("f", []byte("base = 9\n[[service]]\nname = \"book\"\nkind = \"plain\"\n"+validDocument+"deadline = \"5s\"\n"))
	assert.NilError(t, err)
	changes := Diff(from, to)
	assert.Equal(t, changes[len(changes)-1].String(), "~ service[tuner-assistant].deadline: 1m0s -> 5s")
	assert.Equal(t, changes[0].String(), "+ service[book].batch_weight = 1")
	assert.Equal(t, len(Diff(to, to)), 0)
}

func TestDiffTellsDeploymentsApart(t *testing.T) {
	document := func(versions ...string) Document {
		var d Document
		d.Services = []Service{{Name: "s", Deploy: []Deployment{{Model: "a", Version: versions[0]}, {Model: "b", Version: versions[1]}}}}
		return d
	}
	changes := Diff(document("1", "1"), document("2", "1"))
	assert.DeepEqual(t, changes, []Change{{Key: "service[s].deploy[a].version", Old: "1", New: "2"}})
}

func TestWorkspaceForKey(t *testing.T) {
	open := Document{}
	name, ok := open.WorkspaceForKey("")
	assert.Assert(t, ok && name == DefaultWorkspace)
	closed := Document{Workspaces: []Workspace{{Name: "a", KeySHA256: []string{strings.ToUpper(HashKey("ka"))}}, {Name: "b", KeySHA256: []string{HashKey("kb")}}}}
	for key, want := range map[string]string{"ka": "a", "kb": "b", "": "", "kc": ""} {
		name, ok := closed.WorkspaceForKey(key)
		assert.Equal(t, name, want)
		assert.Equal(t, ok, want != "")
	}
}

func TestNonIdempotentUsesMostSpecificCall(t *testing.T) {
	s := Service{Calls: []Call{
		{Method: "*", Path: "/serials/*", NonIdempotent: true},
		{Method: "GET", Path: "/serials/*"},
		{Method: "GET", Path: "/serials/next", NonIdempotent: true},
	}}
	assert.Assert(t, s.NonIdempotent("POST", "/serials/7"))
	assert.Assert(t, !s.NonIdempotent("GET", "/serials/7"))
	assert.Assert(t, s.NonIdempotent("GET", "/serials/next"))
	assert.Assert(t, !s.NonIdempotent("GET", "/other"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("[[service]]\nname = \"a\"\n[[service.call]]\npath = \"/*\"\n"))
	f.Add([]byte("service = [{deadline = 3}]\n[a.b]\n'' = 1\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := Parse("f", raw)
		if err != nil {
			return
		}
		out, err := d.Marshal()
		assert.NilError(t, err)
		again, err := Parse("again", out)
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(d, again)), 0)
	})
}
