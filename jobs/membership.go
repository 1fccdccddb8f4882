package jobs

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/boottime"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	groupName = "shards"
	// membershipTTL is how long the group waits for a heartbeat of a member, unless the
	// log requires a longer time; heartbeatInterval is the time between heartbeats.
	membershipTTL     = 1200 * time.Millisecond
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout bounds the wait for the answer to a heartbeat. If it is lost, another heartbeat is answered within
	// membershipTTL.
	heartbeatTimeout = 800 * time.Millisecond
	// maxExtraRTT is how much longer this process's calls to the log may take than
	// those of the nearest peer before it leaves the shards to others. It is also the
	// call time above which a process that has no reachable peer yet waits for
	// peerDiscoveryWait before it joins.
	maxExtraRTT       = 20 * time.Millisecond
	peerDiscoveryWait = 1500 * time.Millisecond
	// maxNearerPeerHeartbeats is the number of consecutive heartbeats at which another
	// process has to be nearer to the log before this one leaves the group.
	maxNearerPeerHeartbeats = 3
	// rttSamples is the number of measured calls that are kept.
	rttSamples = 5
	// handoverTimeout bounds the time that a stopping process takes to hand its shards
	// over.
	handoverTimeout = 1500 * time.Millisecond
)

// runMembership keeps this process in the group that assigns the shards as long as it
// is near enough to the log. The group only proposes the owner of a shard; the
// epoch on the log proves who owns it.
func (s *Service) runMembership(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	m := &member{service: s, startedAt: time.Now()}
	for {
		if !s.stopping.Load() {
			m.heartbeat(ctx)
			s.releaseSuperseded()
			s.recordReports()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// member is this process's membership in the group.
type member struct {
	service    *Service
	startedAt  time.Time
	generation int64
	joined     bool
	// nearerPeerHeartbeats counts consecutive heartbeats at which another process was
	// nearer.
	nearerPeerHeartbeats int
	// strongerPeerHeartbeats counts consecutive heartbeats at which others were stronger.
	strongerPeerHeartbeats int
	// leftToStronger states that this process has left the shards to stronger ones.
	leftToStronger bool
}

// heartbeat joins the group or renews the membership, or leaves the group to processes
// that are nearer to the log. In both cases it calls the log, which measures the
// round-trip time.
func (m *member) heartbeat(ctx context.Context) {
	s := m.service
	if s.StoreRTT() == 0 {
		s.measureRTT(ctx)
	}
	if !m.eligible(time.Now()) {
		s.measureRTT(ctx)
		m.leave(ctx)
		return
	}
	began := boottime.Now()
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	membership, err := s.opts.Groups.Join(callCtx, groupName, s.opts.Member, s.opts.ResultTopic, max(membershipTTL, s.opts.MinTTL), m.generation)
	if err != nil || s.stopping.Load() {
		return
	}
	s.recordRTT(boottime.Now() - began)
	if m.brokenBy(membership) {
		m.reportBreak(membership)
		s.breaks.Add(1) // before the confirmation, which holds for proved shards only
	}
	s.lastJoin.SetAt(began)
	m.generation, m.joined = membership.Generation, true
	s.proveOwned(ctx)
	s.assign(ctx, membership.Generation, ownedShards(membership.Owned, s.opts.ResultTopic, len(s.shards)))
}

// eligible reports whether this process should own shards. It should not if a
// reachable peer is nearer to the log by more than maxExtraRTT, because every result
// that is written and every shard that is taken over would cross the link between
// regions. A member leaves only once this holds at maxNearerPeerHeartbeats consecutive
// heartbeats. A process that has just started far from the log first waits for peers.
func (m *member) eligible(now time.Time) bool {
	own := m.service.StoreRTT()
	nearest, known := m.service.opts.Peers.NearestRTT()
	if !known {
		m.nearerPeerHeartbeats = 0
		return own > 0 && (own <= maxExtraRTT || now.Sub(m.startedAt) > peerDiscoveryWait)
	}
	if own > 0 && own <= nearest+maxExtraRTT {
		m.nearerPeerHeartbeats = 0
		return m.strongEnough(nearest + maxExtraRTT)
	}
	m.nearerPeerHeartbeats++
	return m.joined && m.nearerPeerHeartbeats < maxNearerPeerHeartbeats
}

// strongEnough reports whether this process should own shards beside those near the log,
// to which it answers within maxRTT. A member leaves only once stronger ones hold most of the
// capacity at maxNearerPeerHeartbeats consecutive heartbeats.
func (m *member) strongEnough(maxRTT time.Duration) bool {
	own, peers := m.service.opts.Peers.Capacities(maxRTT)
	if !leavesToStronger(own, peers, m.leftToStronger) {
		m.strongerPeerHeartbeats, m.leftToStronger = 0, false
		return true
	}
	m.strongerPeerHeartbeats++
	if m.joined && m.strongerPeerHeartbeats < maxNearerPeerHeartbeats {
		return true
	}
	if !m.leftToStronger {
		event.Log(m.service.opts.Logger, event.ShardsLeft, "capacity", own, "peers", len(peers))
	}
	m.leftToStronger = true
	return false
}

// measureRTT makes a short call to the log to measure the round-trip time.
func (s *Service) measureRTT(ctx context.Context) {
	begin := time.Now()
	_, err := s.opts.Log.Read(ctx, keyedlog.Partition{Topic: s.opts.JobTopic}, s.jobs.Next(), 0)
	if err == nil || errors.Is(err, keyedlog.ErrTruncated) {
		s.recordRTT(time.Since(begin))
	}
}

// leave leaves the group and releases all shards.
func (m *member) leave(ctx context.Context) {
	if !m.joined {
		return
	}
	m.joined = false
	s := m.service
	if err := s.opts.Groups.Leave(ctx, groupName, s.opts.Member); err != nil {
		event.Log(s.opts.Logger, event.LogDown, "call", "leave", "cause", err)
	}
	s.assign(ctx, m.generation, nil)
}

// recordRTT records the duration of a short call to the log.
func (s *Service) recordRTT(d time.Duration) {
	s.rttMu.Lock()
	defer s.rttMu.Unlock()
	s.rtts[s.rttNext%rttSamples] = d
	s.rttNext++
}

// StoreRTT returns the shortest of the last measured durations of a call to the
// log, or 0 before the first one.
func (s *Service) StoreRTT() time.Duration {
	s.rttMu.Lock()
	defer s.rttMu.Unlock()
	if s.rttNext == 0 {
		return 0
	}
	return slices.Min(s.rtts[:min(s.rttNext, rttSamples)])
}

// releaseSuperseded releases shards that a peer reports under a higher epoch: this
// process may have been fenced without having received an error from the log.
func (s *Service) releaseSuperseded() {
	for i, sh := range s.shards {
		epoch := sh.currentEpoch()
		report, known := s.opts.Peers.ShardReport(i)
		if epoch > 0 && known && report.Epoch > epoch {
			sh.release(noGeneration, "a peer reports a higher epoch", "epoch", epoch, "peer_epoch", report.Epoch)
		}
	}
}

// assign claims newly assigned shards and releases the others.
func (s *Service) assign(ctx context.Context, generation int64, owned map[int]bool) {
	for i, sh := range s.shards {
		switch {
		case owned[i] && sh.claim(ctx):
			event.Log(s.opts.Logger, event.ShardAssigned, "shard", i, "generation", generation)
			go sh.takeOver(ctx)
		case !owned[i]:
			sh.release(generation, "assigned elsewhere")
		}
	}
	s.runner.wake()
}

// Stop hands the shards over: running items stop, their partial output is written
// to the log, and the group reassigns the shards.
func (s *Service) Stop(ctx context.Context) {
	s.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	s.runner.stop(ctx)
	for _, sh := range s.shards {
		sh.flush(ctx)
	}
	if err := s.opts.Groups.Leave(ctx, groupName, s.opts.Member); err != nil {
		event.Log(s.opts.Logger, event.LogDown, "call", "leave", "cause", err)
	}
	for _, sh := range s.shards {
		sh.release(noGeneration, "stopped")
	}
}
