package gatewayd

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/peering"
	"github.com/catkinrudder/catkinrudder/platform"
)

const (
	// bootstrapDelay is how long a starting process waits for the store before it
	// queries its peers, and the time between two rounds of queries.
	bootstrapDelay   = 300 * time.Millisecond
	bootstrapTimeout = 500 * time.Millisecond
	// bootstrapSources is the number of peers that a starting process asks at the same time.
	bootstrapSources = 2
)

// snapshot returns the state that a process which starts while the store is
// unavailable can fetch from this one.
func (d *Daemon) snapshot() peering.Snapshot {
	s := peering.Snapshot{Backends: d.backends.Records()}
	r, known := d.gateway.Configs.Record()
	if !known {
		return s
	}
	value, err := platform.WithoutKeys(r.Value)
	if err != nil {
		event.Log(d.log, event.RecordSkipped, "topic", platform.ConfigTopic, "offset", r.Offset, "cause", err)
		return s
	}
	s.Config = []keyedlog.Record{{Key: r.Key, Value: value, Offset: r.Offset}}
	s.ConfigVersion = d.configVersion()
	return s
}

// bootstrap queries peers for the configuration and the backend servers until both
// are known. The followers replace this state once the store responds.
func (d *Daemon) bootstrap(ctx context.Context) {
	ticker := time.NewTicker(bootstrapDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.gateway.Configs.Current() != nil && d.backends.Len() > 0 {
			return
		}
		fetch, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		s, ok := d.peering.FetchSnapshot(fetch, bootstrapSources)
		cancel()
		if !ok {
			continue
		}
		event.Log(d.log, event.PeerSnapshot, "backends", len(s.Backends), "config", len(s.Config))
		if d.gateway.Configs.Current() == nil {
			d.gateway.Configs.Apply(s.Config)
		}
		if d.backends.Len() == 0 {
			d.backends.Apply(s.Backends)
		}
	}
}
