package jobs

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// The group proposes the owner of a shard, and the epoch on the log proves who owns it. A membership breaks when the
// group answers after the time to live, or under another generation: another process may have owned any shard in between,
// even if the group lists it for this process again. A shard that was owned through a break has to be proved on the log
// before this process answers from what it lacks.

// verifyTimeout bounds the check on the log for a caller who waits.
const verifyTimeout = 300 * time.Millisecond

// brokenBy reports whether the answer next of the group does not continue the membership.
func (m *member) brokenBy(next keyedlog.Membership) bool {
	age, joined := m.service.lastJoin.Age()
	return !joined || age > membershipTTL || next.Generation != m.generation
}

// reportBreak logs an answer of the group that does not continue the membership.
func (m *member) reportBreak(next keyedlog.Membership) {
	s := m.service
	age, joined := s.lastJoin.Age()
	if !joined {
		return
	}
	event.Log(s.opts.Logger, event.MembershipBroken, "unconfirmed", age, "from", m.generation, "generation", next.Generation,
		"owned", s.Work().OwnedShards, "listed", len(next.Owned))
}

// membershipConfirmed reports whether the group has confirmed the membership within
// membershipTTL. A suspension of the machine counts.
func (s *Service) membershipConfirmed() bool {
	age, joined := s.lastJoin.Age()
	return joined && age <= membershipTTL
}

// proveOwned begins to prove the owned shards that have not been proved since the membership broke.
func (s *Service) proveOwned(ctx context.Context) {
	for _, sh := range s.shards {
		if sh.owned() && !sh.proved() && sh.proving.CompareAndSwap(false, true) {
			go sh.prove(ctx)
		}
	}
}

// prove checks once on the log whether the shard is still owned.
func (sh *shard) prove(ctx context.Context) {
	defer sh.proving.Store(false)
	if err := sh.verify(ctx); err != nil {
		event.Log(sh.s.opts.Logger, event.LogDown, "call", "prove ownership", "shard", sh.part.Index, "cause", err)
	}
}

// proved reports whether the ownership has been proved since the membership broke.
func (sh *shard) proved() bool { return sh.provedBreaks.Load() >= sh.s.breaks.Load() }

// confirmed reports whether this process owns the shard and no other can have claimed it.
func (sh *shard) confirmed() bool { return sh.owned() && sh.s.membershipConfirmed() && sh.proved() }

// confirmedOwner reports whether the shard of a job is confirmed.
func (s *Service) confirmedOwner(id string) bool {
	return s.shards[shardOf(id, len(s.shards))].confirmed()
}

// verify releases the shard if another process has claimed it since this one has last appended to it or checked it.
// Otherwise this proves the ownership. Without an error the shard is either released or owned.
func (sh *shard) verify(ctx context.Context) error {
	breaks := sh.s.breaks.Load()
	sh.mu.Lock()
	owned, epoch, from := sh.phase == owning, sh.epoch, sh.checked
	sh.mu.Unlock()
	if !owned {
		return nil
	}
	end, claimed, err := sh.claimedSince(ctx, from)
	if err != nil {
		return err
	}
	if claimed {
		sh.releaseEpoch(epoch, noGeneration, "another process may have claimed it")
		return nil
	}
	sh.recordProof(epoch, end, breaks)
	return nil
}

// claimedSince reports whether a process has claimed the shard at offset from or later, and returns the end of the
// partition up to which it has not. Other records can be those of appends of this process that had no response.
func (sh *shard) claimedSince(ctx context.Context, from int64) (end int64, claimed bool, err error) {
	for {
		h, err := sh.s.opts.Log.Read(ctx, sh.part, from, 0)
		switch {
		case errors.Is(err, keyedlog.ErrTruncated):
			return 0, true, nil // a claim may have been among what is no longer retained
		case err != nil:
			return 0, false, err
		case claimedBy(h.Records) != "":
			return 0, true, nil
		case h.Next >= h.End:
			return h.Next, false, nil
		}
		from = h.Next
	}
}

// recordProof records that no other process had claimed the shard before offset end when the membership had broken breaks
// times.
func (sh *shard) recordProof(epoch, end, breaks int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.phase != owning || sh.epoch != epoch {
		return
	}
	sh.checked = max(sh.checked, end)
	sh.provedBreaks.Store(max(sh.provedBreaks.Load(), breaks))
}
