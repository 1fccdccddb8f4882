// Package examples_test checks that the settings files of every example are valid
// and consistent with each other.
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

// Numbers of availability zones and sidecars in each example deployment.
const (
	zones    = 3
	sidecars = 9 + 3
)

func TestExamplesParse(t *testing.T) {
	for _, dir := range []string{"magnolia-keys", "bois-traite"} {
		t.Run(dir, func(t *testing.T) {
			d, _, err := desired.Load(filepath.Join(dir, "desired.toml"))
			assert.NilError(t, err)
			standins, err := standin.Load(filepath.Join(dir, "standin.toml"))
			assert.NilError(t, err)
			checkProcesses(t, dir, d, standins)
		})
	}
}

func checkProcesses(t *testing.T, dir string, d desired.Document, standins standin.Settings) {
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
		checkStandins(t, s, standins)
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

// checkStandins checks that the platform's stand-ins listen at the addresses that
// the process uses, that the instance list contains the process, and that a
// stand-in serves its backend server.
func checkStandins(t *testing.T, s settings.Settings, standins standin.Settings) {
	assert.Equal(t, s.Platform.Log, standins.Log.Listen)
	assert.Equal(t, s.Platform.Instances, standins.Instances.Listen)
	row := standin.InstanceRow{
		Name: s.Instance, Role: string(s.Role), Service: s.Backend.Service,
		Region: s.Region, Zone: s.Zone, PeerAddr: s.PeerListen,
	}
	assert.Assert(t, slices.Contains(standins.Instances.List, row), "%s is not in the list of instances as %+v", s.Instance, row)
	served := slices.ContainsFunc(standins.Engines, func(e standin.EngineSettings) bool { return e.Listen == s.Backend.Address }) ||
		slices.ContainsFunc(standins.Plain, func(p standin.PlainSettings) bool { return p.Listen == s.Backend.Address })
	assert.Assert(t, served || s.Role == settings.RoleEntry, "no stand-in serves %s", s.Backend.Address)
}

func expectedName(s settings.Settings) string {
	if s.Role == settings.RoleEntry {
		return s.Instance
	}
	return "sidecar-" + s.Instance
}
