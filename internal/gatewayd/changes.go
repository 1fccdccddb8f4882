package gatewayd

import (
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/serving"
)

func (d *Daemon) backendChanged(c discovery.Change) {
	b := c.Backend
	if c.Kind == discovery.Refused {
		event.Log(d.log, event.RecordSkipped, "topic", platform.BackendTopic, "key", b.ID, "cause", c.Cause)
		return
	}
	if c.Kind == discovery.Outdated {
		event.Log(d.log, event.RecordOutdated, "topic", platform.BackendTopic, "key", b.ID, "started", b.StartedMs, "seq", b.Seq, "draining", b.State == catalog.Draining)
		return
	}
	kv := []any{"backend", b.ID, "service", b.Service, "address", b.Address, "zone", b.Zone, "version", b.Version, "slots", b.Slots}
	switch c.Kind {
	case discovery.DrainStarted:
		event.Log(d.log, event.BackendLeaving, kv...)
	case discovery.Lapsed:
		event.Log(d.log, event.BackendLapsed, kv...)
	case discovery.Removed:
		event.Log(d.log, event.BackendGone, kv...)
		d.pool.CloseIdle(b.Address)
		d.gateway.Table.RemoveBackend(b.ID)
		d.limits.Remove(b.ID)
		d.gateway.Metrics.RemoveBackend(b.ID)
	default:
		d.gateway.Metrics.AddBackend(b.ID)
		event.Log(d.log, event.BackendSeen, kv...)
	}
	d.gateway.Table.NotifyWaiters()
}

// responseReceived records what the head of a response says about its backend server.
func (d *Daemon) responseReceived(a serving.Attempt, info serving.ResponseInfo) {
	if info.Leaving {
		d.backends.SetLeaving(a.BackendID, a.StartedMs)
	}
	if info.HasLoad && info.Load.HasPace {
		d.gateway.Table.ObservePace(a.BackendID, info.Load.Pace, time.Now())
	}
	d.limits.Observe(a.BackendID, info.RateLimit)
}

// backendID returns the id of the backend server with the given key of package
// balance, or an empty string if it is no longer registered.
func (d *Daemon) backendID(key uint32) (id string) {
	d.backends.ForEach(func(b catalog.Backend) {
		if balance.Key(b.ID) == key {
			id = b.ID
		}
	})
	return id
}

func (d *Daemon) configChanged(old, current *catalog.Config) {
	before := int64(0)
	if old != nil {
		before = old.Version
	}
	d.gateway.Metrics.SetWorkspaces(current)
	event.Log(d.log, event.ConfigInForce, "version", current.Version, "before", before, "routes", len(current.Routes),
		"workspaces", len(current.Workspaces()))
}

func (d *Daemon) configRefused(offset int64, err error) {
	event.Log(d.log, event.ConfigRefused, "offset", offset, "cause", err)
}

func (d *Daemon) storeAvailabilityChanged(p keyedlog.Partition, err error) {
	if p.Topic == platform.BackendTopic {
		d.backends.SetStoreUnavailable(err != nil)
	}
	if err != nil {
		event.Log(d.log, event.LogDown, "topic", p.Topic, "part", p.Index, "cause", err)
		return
	}
	event.Log(d.log, event.LogUp, "topic", p.Topic, "part", p.Index)
}
