// Package examples_test checks that every example parses and fits together.
package examples_test

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/standin"
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
			stands, err := standin.Load(filepath.Join(dir, "standin.toml"))
			assert.NilError(t, err)
			checkProcesses(t, dir, d, stands)
		})
	}
}

func checkProcesses(t *testing.T, dir string, d desired.Document, stands standin.Settings) {
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
		checkStandins(t, s, stands)
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

// checkStandins checks that the platform's stand-ins are where the process looks
// for them, know it, and serve its backend server.
func checkStandins(t *testing.T, s settings.Settings, stands standin.Settings) {
	assert.Equal(t, s.Platform.Log, stands.Log.Listen)
	assert.Equal(t, s.Platform.Instances, stands.Instances.Listen)
	row := standin.InstanceRow{
		Name: s.Instance, Role: string(s.Role), Service: s.Backend.Service,
		Region: s.Region, Zone: s.Zone, PeerAddr: s.PeerListen,
	}
	assert.Assert(t, slices.Contains(stands.Instances.List, row), "%s is not in the list of instances as %+v", s.Instance, row)
	served := slices.ContainsFunc(stands.Engines, func(e standin.EngineSettings) bool { return e.Listen == s.Backend.Address }) ||
		slices.ContainsFunc(stands.Plain, func(p standin.PlainSettings) bool { return p.Listen == s.Backend.Address })
	assert.Assert(t, served || s.Role == settings.RoleEntry, "no stand-in serves %s", s.Backend.Address)
}

func expectedName(s settings.Settings) string {
	if s.Role == settings.RoleEntry {
		return s.Instance
	}
	return "sidecar-" + s.Instance
}
