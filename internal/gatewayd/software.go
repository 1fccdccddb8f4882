package gatewayd

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/platform"
)

// softwareCheckInterval is the time between two checks of the records of the software in service.
const softwareCheckInterval = 250 * time.Millisecond

// recordSoftware keeps the records of the software in service up to date until ctx ends.
func (d *Daemon) recordSoftware(ctx context.Context) {
	ticker := time.NewTicker(softwareCheckInterval)
	defer ticker.Stop()
	part := keyedlog.Partition{Topic: platform.KeyedTopic(softwareTopic)}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		records := d.software.Outdated()
		if len(records) == 0 {
			continue
		}
		if _, err := d.store.Append(ctx, part, records, keyedlog.Condition{}); err != nil {
			continue // the records stay outdated
		}
		event.Log(d.log, event.SoftwareRecorded, "records", len(records))
	}
}
