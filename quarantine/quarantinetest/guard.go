// Package quarantinetest provides a quarantine for tests of a single process.
package quarantinetest

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/quarantine"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// healthPath is where the backend servers of tests state their health.
const healthPath = "/health"

// NewGuard returns a guard that probes backend servers by a pool.
func NewGuard(pool *upstream.Pool) *quarantine.Guard {
	return NewGuardWithProbe(func(ctx context.Context, b catalog.Backend, useHealth bool) error {
		expected := upstream.Expected{BackendID: b.ID, Address: b.Address, StartedMs: b.StartedMs}
		if useHealth {
			expected.HealthPath = healthPath
		}
		return pool.Probe(ctx, expected)
	})
}

// NewGuardWithProbe returns a guard without peers and without a store, of a process that has run for
// some time.
func NewGuardWithProbe(probe func(ctx context.Context, b catalog.Backend, useHealth bool) error) *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Options{
		StartedAt: time.Now().Add(-time.Minute),
		Probe:     probe, Eject: func(catalog.Backend) {}, Peers: func() quarantine.Peers { return noPeers{} },
		Logger: log.New(io.Discard), Store: func(context.Context, keyedlog.Record) error { return nil },
	})
}

// noPeers implements quarantine.Peers for a gateway that is alone.
type noPeers struct{}

func (noPeers) BroadcastCrash(quarantine.CrashReport) {}

func (noPeers) BroadcastHeld([]string) {}

func (noPeers) BroadcastCompleted([]string) {}

func (noPeers) FirstFor(string) bool { return true }
