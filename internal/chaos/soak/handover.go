package soak

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform"
)

const (
	// One in handoverEvery seeds has longJobs jobs whose items take seconds, with faults while their items are open.
	handoverEvery = 3
	longJobs      = 3
	longItems     = 12
	longMarker    = "-long"
	longInterval  = 100 * time.Millisecond
	// youngRun is how soon after a job was submitted backend servers end.
	youngRun = time.Second
	// resultTopic and ownerProducer are where and as whom the owner of a shard writes.
	resultTopic   = "results"
	ownerProducer = "owner"
	// maxRollDelay is the longest time between the stops of two gateways.
	maxRollDelay = 1100 * time.Millisecond
)

// intervalOf returns the time between the events of a request.
func intervalOf(id string) time.Duration {
	if strings.Contains(id, longMarker) {
		return longInterval
	}
	return eventInterval
}

// drawHandovers adds long jobs. While their items run, gateways are stopped in turn, once or twice, owners of shards
// are fenced, and backend servers end within a second of a job.
func (p *Plan) drawHandovers() {
	if p.Seed%handoverEvery != 0 {
		return
	}
	g := generator{chaos.NewRand(p.Seed, 5)}
	for i := range longJobs {
		op := g.jobOp(i)
		op.ID, op.At, op.Items, op.EndAfter = g.ID(longMarker[1:], i), g.Within(workloadDuration/2), longItems, 0
		op.Poison, op.Failing = min(op.Poison, longItems-1), -1
		p.Ops = append(p.Ops, op)
		p.Faults = append(p.Faults, g.endsOfServers(op.At)...)
	}
	if p.Profile == Backends {
		return
	}
	for range g.IntN(3) {
		p.Faults = append(p.Faults, Fault{At: g.Within(workloadDuration * 3 / 4), Kind: FenceShards})
	}
	for range 1 + g.IntN(2) {
		p.Faults = append(p.Faults, Fault{At: g.Within(workloadDuration * 3 / 4), Kind: RollGateways, Target: g.IntN(60), Delay: g.Within(maxRollDelay)})
	}
}

// endsOfServers draws backend servers that end shortly after a job was submitted.
func (g generator) endsOfServers(submitted time.Duration) []Fault {
	kinds := []FaultKind{KillBackend, RestartBackend}
	var out []Fault
	for range g.IntN(servers + 1) {
		out = append(out, Fault{
			At: submitted + g.Within(youngRun), For: g.Between(100*time.Millisecond, 3*time.Second),
			Kind: kinds[g.IntN(len(kinds))], Target: g.IntN(60), Share: int(newID),
		})
	}
	return out
}

// fenceShards raises the epoch of each shard. It tries again while the store is unavailable.
func (r *Round) fenceShards(ctx context.Context) {
	claim := keyedlog.Condition{Producer: ownerProducer, Epoch: time.Now().UnixMilli(), Sequence: 1}
	for i := range keyedlogtest.Shards {
		part := keyedlog.Partition{Topic: platform.KeyedTopic(resultTopic), Index: i}
		for ctx.Err() == nil {
			if _, err := r.store.Log.Append(ctx, part, nil, claim); err == nil || errors.Is(err, keyedlog.ErrFenced) {
				break
			}
			delay.Wait(ctx, pollInterval)
		}
	}
}
