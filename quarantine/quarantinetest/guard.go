// Package quarantinetest provides a quarantine for tests.
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

// NewGuard returns a guard without peers that probes backend servers by a pool.
func NewGuard(pool *upstream.Pool) *quarantine.Guard { return NewGuardWithPeers(pool, noPeers{}) }

// NewGuardWithPeers returns a guard that probes backend servers by a pool.
func NewGuardWithPeers(pool *upstream.Pool, peers quarantine.Peers) *quarantine.Guard {
	return newGuard(func(ctx context.Context, b catalog.Backend, useHealth bool) error {
		expected := upstream.Expected{BackendID: b.ID, Address: b.Address, StartedMs: b.StartedMs}
		if useHealth {
			expected.HealthPath = healthPath
		}
		return pool.Probe(ctx, expected)
	}, peers)
}

// NewGuardWithProbe returns a guard without peers.
func NewGuardWithProbe(probe func(ctx context.Context, b catalog.Backend, useHealth bool) error) *quarantine.Guard {
	return newGuard(probe, noPeers{})
}

// newGuard returns a guard without a store, of a process that has run for some time.
func newGuard(probe func(ctx context.Context, b catalog.Backend, useHealth bool) error, peers quarantine.Peers) *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Options{
		StartedAt: time.Now().Add(-time.Minute),
		Probe:     probe, Eject: func(catalog.Backend) {}, Backends: func(string) []catalog.Backend { return nil }, Peers: func() quarantine.Peers { return peers },
		Logger: log.New(io.Discard), Store: func(context.Context, keyedlog.Record) error { return nil },
	})
}

// noPeers implements quarantine.Peers for a gateway that is alone.
type noPeers struct{}

func (noPeers) BroadcastCrash(quarantine.CrashReport) {}

func (noPeers) BroadcastHeld([]string) {}

func (noPeers) BroadcastCompleted([]string) {}

func (noPeers) BroadcastHolds([]quarantine.HoldState) {}

func (noPeers) Priority(string) uint64 { return 0 }
