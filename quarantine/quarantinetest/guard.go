// Package quarantinetest provides a quarantine for tests.
package quarantinetest

import (
	"context"
	"io"
	"sync/atomic"
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
	return newGuard(probeOf(pool), peers, &Clock{})
}

// NewGuardWithClock returns a guard without peers that probes backend servers by a pool.
func NewGuardWithClock(pool *upstream.Pool, clock *Clock) *quarantine.Guard {
	return newGuard(probeOf(pool), noPeers{}, clock)
}

// NewGuardWithProbe returns a guard without peers.
func NewGuardWithProbe(probe Probe) *quarantine.Guard {
	return newGuard(probe, noPeers{}, &Clock{})
}

// Probe finds out whether a backend server serves on, as quarantine.Options.Probe does.
type Probe func(ctx context.Context, b catalog.Backend, useHealth bool) error

func probeOf(pool *upstream.Pool) Probe {
	return func(ctx context.Context, b catalog.Backend, useHealth bool) error {
		expected := upstream.Expected{BackendID: b.ID, Address: b.Address, StartedMs: b.StartedMs}
		if useHealth {
			expected.HealthPath = healthPath
		}
		return pool.Probe(ctx, expected)
	}
}

// Clock is a clock that tests move ahead of the real one. It is safe for concurrent use.
type Clock struct{ ahead atomic.Int64 }

// Advance moves the clock ahead by d.
func (c *Clock) Advance(d time.Duration) { c.ahead.Add(int64(d)) }

func (c *Clock) now() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }

// newGuard returns a guard without a store, of a process that has run for some time.
func newGuard(probe Probe, peers quarantine.Peers, clock *Clock) *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Options{
		StartedAt: time.Now().Add(-time.Minute), Now: clock.now,
		Probe: probe, Eject: func(catalog.Backend) {}, Backends: func(string) []catalog.Backend { return nil }, Peers: func() quarantine.Peers { return peers },
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
