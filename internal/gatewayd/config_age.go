package gatewayd

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/gateway"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/platform"
)

const (
	// catchUpDelay is the time that a process waits for a newer configuration from the store once a
	// peer has one. The store has it first as a rule.
	catchUpDelay = 400 * time.Millisecond
	// catchUpSources is the number of peers that are asked for it.
	catchUpSources = 1
)

// revocation returns the bound for the use of withdrawn keys that the settings ask for. Only the
// store's answers to the follower of the configuration confirm that none was withdrawn.
func revocation(s platform.Settings, configs *keyedlog.Follower) gateway.Revocation {
	if !s.StrictRevocation {
		return gateway.Revocation{}
	}
	return gateway.Revocation{Limit: s.RevocationTime, ConfirmedAge: configs.ConfirmedAge}
}

// configVersion returns the version of the configuration in force, or 0 if there is none.
func (d *Daemon) configVersion() int64 {
	if config := d.gateway.Configs.Current(); config != nil {
		return config.Version
	}
	return 0
}

// peerConfigVersion returns the version of the configuration in force and whether it has workspaces.
// Peers are then informed of it, as a process that is behind could still accept withdrawn keys.
func (d *Daemon) peerConfigVersion() (version int64, announced bool) {
	config := d.gateway.Configs.Current()
	if config == nil {
		return 0, false
	}
	return config.Version, config.HasWorkspaces()
}

// catchUpConfig fetches the configuration from a peer while one has a newer configuration than this
// process: after a restart beside a store that was set back, or while the store is out of reach.
func (d *Daemon) catchUpConfig(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.peering.NewerConfig():
		}
		delay.Wait(ctx, catchUpDelay)
		if d.gateway.Configs.Current() == nil || !d.peering.ConfigBehind() {
			continue
		}
		before := d.configVersion()
		fetch, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		s, ok := d.peering.FetchSnapshot(fetch, catchUpSources)
		cancel()
		if ok && s.ConfigVersion > before {
			event.Log(d.log, event.ConfigFromPeer, "version", s.ConfigVersion, "before", before)
			d.gateway.Configs.Apply(s.Config)
		}
	}
}
