package jobs

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	groupName = "shards"
	// memberTTL is how long the group waits for a member, unless the log asks
	// for more; memberHeartbeat is the time between heartbeats.
	memberTTL       = 1200 * time.Millisecond
	memberHeartbeat = 250 * time.Millisecond
	// farther is the difference in the time of a call to the log that makes a
	// process leave the shards to others, and the time from which one that hears
	// nobody yet waits for hearOthers.
	farther    = 20 * time.Millisecond
	hearOthers = 1500 * time.Millisecond
	// outrankedBeats is for how many beats in a row others have to be nearer.
	outrankedBeats = 3
	// rttSamples is the number of measured calls that count.
	rttSamples = 5
	// handover bounds the time that a stopping process takes to hand over.
	handover = 1500 * time.Millisecond
)

// membership keeps this process in the group that shares out the shards, if it
// is near enough to the log. The group only says who should own a shard; the
// epoch proves who does.
func (s *Service) membership(ctx context.Context) {
	ticker := time.NewTicker(memberHeartbeat)
	defer ticker.Stop()
	m := &member{s: s, began: time.Now()}
	for {
		if !s.stopping.Load() {
			m.beat(ctx)
			s.releaseOutdated()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// member is this process's part in the group.
type member struct {
	s          *Service
	began      time.Time
	generation int64
	in         bool
	// outranked counts the beats in a row at which another process was nearer.
	outranked int
}

// beat joins the group or stays in it, or leaves it to processes that are nearer
// to the log. Either way it calls the log, which tells how far that is.
func (m *member) beat(ctx context.Context) {
	s := m.s
	if s.StoreRTT() == 0 {
		s.measure(ctx)
	}
	if !m.eligible(time.Now()) {
		s.measure(ctx)
		m.leave(ctx)
		return
	}
	begin := time.Now()
	got, err := s.opts.Groups.Join(ctx, groupName, s.opts.Member, s.opts.ResultTopic, max(memberTTL, s.opts.MinTTL), m.generation)
	if err != nil || s.stopping.Load() {
		return
	}
	s.noteRTT(time.Since(begin))
	s.joinedAt.Store(time.Now().UnixNano())
	m.generation, m.in = got.Generation, true
	s.assign(ctx, got.Generation, ownedShards(got.Owned, s.opts.ResultTopic, len(s.shards)))
}

// eligible reports whether this process should own shards: unless others that
// are heard are nearer to the log by more than farther, as every result that is
// written and every shard that is taken over would cross the way between regions.
// A process that has just started far from the log waits to hear them first.
func (m *member) eligible(now time.Time) bool {
	own := m.s.StoreRTT()
	nearest, heard := m.s.opts.Peers.NearestRTT()
	if !heard {
		m.outranked = 0
		return own > 0 && (own <= farther || now.Sub(m.began) > hearOthers)
	}
	if own > 0 && own <= nearest+farther {
		m.outranked = 0
		return true
	}
	m.outranked++
	return m.in && m.outranked < outrankedBeats
}

// measure makes a short call to the log.
func (s *Service) measure(ctx context.Context) {
	begin := time.Now()
	_, err := s.opts.Log.Read(ctx, keyedlog.Partition{Topic: s.opts.JobTopic}, s.jobs.Next(), 0)
	if err == nil || errors.Is(err, keyedlog.ErrTruncated) {
		s.noteRTT(time.Since(begin))
	}
}

// leave leaves the group and gives up all shards.
func (m *member) leave(ctx context.Context) {
	if !m.in {
		return
	}
	m.in = false
	s := m.s
	if err := s.opts.Groups.Leave(ctx, groupName, s.opts.Member); err != nil {
		event.Log(s.opts.Logger, event.LogDown, "call", "leave", "cause", err)
	}
	s.assign(ctx, m.generation, nil)
}

// noteRTT takes a measured time of a short call to the log.
func (s *Service) noteRTT(d time.Duration) {
	s.rttGuard.Lock()
	defer s.rttGuard.Unlock()
	s.rtts[s.rttNext%rttSamples] = d
	s.rttNext++
}

// StoreRTT returns the shortest of the last measured times of a call to the log,
// 0 before the first.
func (s *Service) StoreRTT() time.Duration {
	s.rttGuard.Lock()
	defer s.rttGuard.Unlock()
	if s.rttNext == 0 {
		return 0
	}
	return slices.Min(s.rtts[:min(s.rttNext, rttSamples)])
}

// releaseOutdated gives up shards that another process reports under a higher
// epoch: the log may have turned this one away without a word.
func (s *Service) releaseOutdated() {
	for i, sh := range s.shards {
		epoch := sh.currentEpoch()
		report, known := s.opts.Peers.ShardReport(i)
		if epoch > 0 && known && report.Epoch > epoch && sh.release() {
			event.Log(s.opts.Logger, event.ShardReleased, "shard", i, "generation", 0, "cause", "a peer reports a higher epoch",
				"epoch", epoch, "peer_epoch", report.Epoch)
		}
	}
}

// joined returns when the group last confirmed the membership.
func (s *Service) joined() time.Time { return time.Unix(0, s.joinedAt.Load()) }

// assign takes on and gives up shards.
func (s *Service) assign(ctx context.Context, generation int64, owned map[int]bool) {
	for i, sh := range s.shards {
		switch {
		case owned[i] && sh.claim(ctx):
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
