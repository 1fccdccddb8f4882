// Package examples_test checks that every example parses and fits together.
package examples_test

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/settings"
)

// Sizes of each example deployment.
const (
	zones    = 3
	sidecars = 9 + 3
)

func TestExamplesParse(t *testing.T) {
	for _, dir := range []string{"magnolia-keys", "bois-traite"} {
		t.Run(dir, func(t *testing.T) {
			d, _, err := desired.Load(filepath.Join(dir, "desired.toml"))
			assert.NilError(t, err)
			checkProcesses(t, dir, d)
		})
	}
}

func checkProcesses(t *testing.T, dir string, d desired.Document) {
	files, err := filepath.Glob(filepath.Join(dir, "*-*.toml"))
	assert.NilError(t, err)
	entryZones := make(map[string]bool)
	used := make(map[string]string)
	count := 0
	for _, file := range files {
		s, err := settings.Load(file)
		assert.NilError(t, err)
		for _, addr := range []string{s.Listen, s.PeerListen, s.OperatorListen, s.Backend.Address} {
			assert.Assert(t, addr == "" || used[addr] == "", "%s and %s both use %s", file, used[addr], addr)
			used[addr] = file
		}
		assert.Equal(t, strings.TrimSuffix(filepath.Base(file), ".toml"), expectedName(s))
		if s.Role == settings.RoleEntry {
			entryZones[s.Zone] = true
			continue
		}
		_, ok := d.Service(s.Backend.Service)
		assert.Assert(t, ok, "%s: service %q is not in the desired state", file, s.Backend.Service)
		count++
	}
	assert.Equal(t, len(entryZones), zones)
	assert.Equal(t, count, sidecars)
}

func expectedName(s settings.Settings) string {
	if s.Role == settings.RoleEntry {
		return s.Instance
	}
	return "sidecar-" + s.Instance
}
