package jobs

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/event"
)

const (
	groupName = "shards"
	// memberTTL is how long the group waits for a member, unless the log asks
	// for more; memberHeartbeat is the time between heartbeats.
	memberTTL       = 1600 * time.Millisecond
	memberHeartbeat = 500 * time.Millisecond
	// handover bounds the time that a stopping process takes to hand over.
	handover = 1500 * time.Millisecond
)

// membership keeps this process in the group that shares out the shards. The
// group only says who should own a shard; the epoch proves who does.
func (s *Service) membership(ctx context.Context) {
	generation := int64(0)
	ttl := max(memberTTL, s.opts.MinTTL)
	ticker := time.NewTicker(memberHeartbeat)
	defer ticker.Stop()
	for {
		if !s.stopping.Load() {
			m, err := s.opts.Groups.Join(ctx, groupName, s.opts.Member, s.opts.ResultTopic, ttl, generation)
			if err == nil && !s.stopping.Load() {
				s.joinedAt.Store(time.Now().UnixNano())
				generation = m.Generation
				s.assign(ctx, m.Generation, ownedShards(m.Owned, s.opts.ResultTopic, len(s.shards)))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// joined returns when the group last confirmed the membership.
func (s *Service) joined() time.Time { return time.Unix(0, s.joinedAt.Load()) }

// assign takes on and gives up shards.
func (s *Service) assign(ctx context.Context, generation int64, owned map[int]bool) {
	for i, sh := range s.shards {
		switch {
		case owned[i] && sh.claim():
			event.Log(s.opts.Logger, event.ShardAssigned, "shard", i, "generation", generation)
			go sh.takeOver(ctx)
		case !owned[i] && sh.release():
			event.Log(s.opts.Logger, event.ShardReleased, "shard", i, "generation", generation, "cause", "assigned elsewhere")
		}
	}
	s.runner.wake()
}

// Stop hands the shards over: items in progress stop, what they have produced
// is kept on the log, and the group deals the shards anew.
func (s *Service) Stop(ctx context.Context) {
	s.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, handover)
	defer cancel()
	s.runner.stop(ctx)
	for _, sh := range s.shards {
		sh.flush(ctx)
	}
	if err := s.opts.Groups.Leave(ctx, groupName, s.opts.Member); err != nil {
		event.Log(s.opts.Logger, event.LogDown, "call", "leave", "cause", err)
	}
	for _, sh := range s.shards {
		sh.release()
	}
}
