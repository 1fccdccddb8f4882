package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sidecar = `instance = "charlotte-1"
role = "sidecar"
region = "carolinas"
availability_zone = "charlotte"
peer_listen = "127.0.0.1:7101"
operator_listen = "127.0.0.1:7201"
[platform]
log = "127.0.0.1:7001"
instances = "127.0.0.1:7002"
[backend]
address = "127.0.0.1:7301"
service = "tuner-assistant"
`

func TestParseFile(t *testing.T) {
	s, err := ParseFile("s.toml", []byte(sidecar))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
}

func TestParseFileReportsLocationAndFix(t *testing.T) {
	tests := []struct {
		name, old, replacement, want string
	}{
		{"unknown key", "peer_listen", "peer_lisen", `s.toml:5:1: peer_lisen: unknown key (did you mean "peer_listen"?)`},
		{"role", `"sidecar"`, `"entri"`, `s.toml:2:1: role: unknown role "entri" (did you mean "entry"?)`},
		{"host name", "127.0.0.1:7301", "engine:7301", `s.toml:11:1: backend.address: host "engine" is not an IP number`},
		{"no port", "127.0.0.1:7101", "127.0.0.1", `s.toml:5:1: peer_listen: "127.0.0.1" is not IP:port`},
		{"port", "127.0.0.1:7101", "127.0.0.1:70000", `port "70000" is not between 0 and 65535`},
		{"address twice", "127.0.0.1:7201", "127.0.0.1:7101", `s.toml:6:1: operator_listen: 127.0.0.1:7101 is already that of peer_listen`},
		{"missing service", `service = "tuner-assistant"`, "", `s.toml:10:2: backend.service: must be set`},
		{"type", `"charlotte-1"`, "1", `s.toml:1:12: instance: the value is of type integer, but string is wanted`},
		{"half of TLS", "[backend]", "[tls]\ncert_file = \"c.pem\"\n[backend]", `s.toml:10:2: tls.key_file: must be set with tls.cert_file`},
		{"unknown table", "[backend]", "[platform.x]\n[backend]", `s.toml:10:2: platform.x: unknown key`},
		{"short retention", "instances =", "log_retention = \"1s\"\ninstances =", `s.toml:9:1: platform.log_retention: 1s is below the least of 10s`},
		{"rate", "[backend]", "[limits]\nappends_per_second = -1\n[backend]", `s.toml:11:1: limits.appends_per_second: -1 is not a rate`},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseFile("s.toml", []byte(strings.Replace(sidecar, tc.old, tc.replacement, 1)))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestLoadReportsFileName(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	assert.NilError(t, os.WriteFile(path, []byte("rol = 1\n"), 0o600))
	_, err := Load(path)
	assert.ErrorContains(t, err, "entry.toml:1:1: rol: unknown key")
	_, err = Load(path + ".missing")
	assert.ErrorIs(t, err, os.ErrNotExist)
}
