package gatewayd

import (
	"context"
	"fmt"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/internal/ejection"
	"github.com/catkinrudder/catkinrudder/internal/gateway"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/peering"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/quarantine"
	"github.com/catkinrudder/catkinrudder/quota"
	"github.com/catkinrudder/catkinrudder/ratelimit"
	"github.com/catkinrudder/catkinrudder/upstream"
)

func (d *Daemon) guardOptions(configs *discovery.ConfigView, table *balance.Table) quarantine.Options {
	ejector := ejection.Ejector{Table: table, Pool: d.pool, Log: d.log}
	return quarantine.Options{
		StartedAt: time.Now(),
		Probe: func(ctx context.Context, b catalog.Backend, useHealth bool) error {
			expected := upstream.Expected{BackendID: b.ID, Address: b.Address, StartedMs: b.StartedMs}
			if config := configs.Current(); useHealth && config != nil {
				expected.HealthPath = config.Services[b.Service].HealthPath
			}
			return d.pool.Probe(ctx, expected)
		},
		Eject:    func(b catalog.Backend) { ejector.RecordFailure(b, true) },
		Backends: d.backends.OfService,
		Peers:    func() quarantine.Peers { return d.peering }, Logger: d.log,
		Store: func(ctx context.Context, r keyedlog.Record) error {
			part := keyedlog.Partition{Topic: platform.KeyedTopic(partTopic)}
			_, err := d.store.Append(ctx, part, []keyedlog.Record{r}, keyedlog.Condition{})
			return err
		},
	}
}

func (d *Daemon) limitOptions(table *balance.Table) ratelimit.Options {
	return ratelimit.Options{
		StartedAt: time.Now(), Peers: func() ratelimit.Peers { return d.peering }, Zone: d.backends.Zone, Logger: d.log,
		Denied: func(server string, batch bool, until, expected time.Time) {
			table.RecordDenial(server, classOf(batch), until, expected)
		},
		Freed: func(server string, batch bool) { table.ClearDenial(server, classOf(batch)) },
	}
}

func (d *Daemon) quotaOptions(configs *discovery.ConfigView, observer quota.Observer) quota.Options {
	s := d.settings.Quotas
	return quota.Options{
		StartedAt: time.Now(), Bounds: quota.Bounds{Window: s.Window, Overshoot: s.Overshoot, Slack: s.Slack},
		Peers: func() quota.Peers { return d.peering }, Observer: observer, Logger: d.log,
		Configured: func(workspace string) (quota.Limit, int64, bool) {
			return gateway.QuotaOf(configs.Current(), workspace)
		},
	}
}

func classOf(batch bool) balance.Class {
	if batch {
		return balance.Batch
	}
	return balance.Online
}

func (d *Daemon) jobOptions(configs *discovery.ConfigView, table *balance.Table, m *gateway.Metrics) jobs.Options {
	s := d.settings
	return jobs.Options{
		Log: d.store, Groups: d.store,
		Member:   fmt.Sprintf("%s-%d", s.Instance, time.Now().UnixNano()),
		Instance: s.Instance,
		JobTopic: platform.KeyedTopic(jobTopic), ContentTopic: platform.KeyedTopic(contentTopic), ResultTopic: platform.KeyedTopic(resultTopic),
		Shards: s.Store.Partitions, RecordBytes: s.Store.RecordBytes, CallBytes: s.Store.CallBytes,
		MinTTL: s.Store.MinTTL, Retention: s.JobRetention,
		Config: configs.Current, Backends: d.backends.OfService, AllBackends: d.backends.ForEach,
		Table: table, Pool: d.pool, Memory: d.outputs, Quarantine: d.guard, PromptParts: platform.SharedPromptParts, Logger: d.log, Peers: d.peering, StoreAge: d.store.Age, Observer: d.storeAvailabilityChanged,
		Decided: m.ItemDecided, ResponseEnded: m.ResponseEnded, OutOfOrder: m.ItemEventOutOfOrder, Capacity: peering.StatedCapacity(s.CPUShare, s.LinkMbps),
	}
}
